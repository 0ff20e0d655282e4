package httplink

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// tokens are the bytes that the name of a field may hold.
const tokens = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// exchangeWith returns the exchange for a response that consists of the bytes sent.
func exchangeWith(t *testing.T, sent string, response *fasthttp.Response) (*Exchange, *Failure) {
	pool := NewPool("peer", 1, func(string) (net.Conn, error) { return pipePeer([]byte(sent)), nil })
	pool.AcceptUnframed()
	exchange, failure := pool.Do(context.Background(), newGetRequest(), response)
	if failure != nil {
		must.Eq(t, StageRead, failure.Stage)
		must.True(t, failure.Sent)
		must.Eq(t, 0, pool.Open()) // the connection carries no other request
	}
	return exchange, failure
}

// A field whose name held a space passed: it was passed on, or counted as the field before the
// space.
func TestFieldNameHoldsTokenBytesOnly(t *testing.T) {
	places := map[string]string{ // of the byte in a line
		"first": "%sX: v\r\n",
		"inner": "X%sY: v\r\n",
		"last":  "X%s: v\r\n",
	}
	heads := map[string]string{ // of the line among others
		"only field":     "HTTP/1.1 200 OK\r\n%s\r\n",
		"after a length": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n",
		"after a fold":   "HTTP/1.1 200 OK\r\nBefore: v\r\n folded\r\n%s\r\n",
		"folded":         "HTTP/1.1 200 OK\r\n%s folded\r\n\r\n",
		"interim":        "HTTP/1.1 103 Early\r\n%s\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	}
	for b := range 256 {
		inserted := string([]byte{byte(b)})
		valid := strings.Contains(tokens, inserted)
		for place, line := range places {
			isFold := place == "first" && strings.Contains(" \t", inserted)
			if isFold || strings.Contains(":\n", inserted) {
				continue // ends the name or begins no line
			}
			for name, head := range heads {
				sent := fmt.Sprintf(head, fmt.Sprintf(line, inserted))
				exchange, failure := exchangeWith(t, sent, &fasthttp.Response{})
				must.Eq(t, valid, failure == nil, must.Sprintf("%s, %s: %q: %v", name, place, sent, failure))
				if failure == nil {
					_ = exchange.Close()
				}
			}
		}
	}
}

// A head that cannot become valid any more fails at once: its caller must not wait until the
// server sends more.
func TestInvalidFieldNameFailsBeforeItsLineEnds(t *testing.T) {
	address := startPeer(t, func(_ int, conn net.Conn) {
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX A"))
		time.Sleep(10 * time.Second)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, failure := NewPool(address, 1, dialTCP).Do(ctx, newGetRequest(), &fasthttp.Response{})
	must.NotNil(t, failure)
	must.ErrorIs(t, failure, ErrHead)
}

// The fields of a trailer came to stand among those of the head once the body had been read.
func TestTrailerIsDropped(t *testing.T) {
	sent := strings.Replace(chunkedResponse, "0\r\n\r\n", "0\r\nX-Last: v\r\nX Last: v\r\n\r\n", 1)
	response := &fasthttp.Response{}
	exchange, failure := exchangeWith(t, sent, response)
	must.Nil(t, failure)
	body, err := io.ReadAll(exchange)
	must.NoError(t, err)
	must.Eq(t, "hello", string(body))
	must.True(t, exchange.Complete())
	response.SetBodyRaw(body)
	must.StrNotContains(t, response.String(), "Last")
}
