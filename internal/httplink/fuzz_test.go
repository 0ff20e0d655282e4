package httplink

import (
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// FuzzResponse sends arbitrary bytes as a response and closes the connection. The exchange must
// end. Its head must follow the grammar, its status must be one that was sent and that HTTP has,
// and a body that it reports as complete must not be longer than the bytes that were sent, nor
// differ from the length that the response states.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		fixedResponse,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nto the end",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX A: v\r\nContent-Length : 2\r\n\r\nhello",
		"HTTP/1.1 200 O\rK\r\n\r\nhello",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX A: v\r\n\r\n",
		"\x00\x01\x02",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		pool := NewPool("peer", 1, func(string) (net.Conn, error) { return pipePeer(sent), nil })
		pool.AcceptUnframed()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		started := time.Now()
		defer func() { must.Less(t, 2*time.Second, time.Since(started)) }()
		request, response := newGetRequest(), &fasthttp.Response{}
		exchange, failure := pool.Do(ctx, request, response)
		if failure != nil {
			return
		}
		defer exchange.Close()
		must.True(t, headsForm.Match(sent))
		must.Between(t, 200, response.StatusCode(), 599)
		must.StrContains(t, string(sent), strconv.Itoa(response.StatusCode()))
		body, err := io.ReadAll(io.LimitReader(exchange, int64(len(sent))+1))
		must.LessEq(t, len(sent), len(body))
		if err == nil && exchange.Complete() && exchange.Length() >= 0 {
			must.Eq(t, exchange.Length(), len(body))
		}
	})
}

// pipePeer returns a connection to a peer that reads a request, sends the bytes and
// closes the connection.
func pipePeer(sent []byte) net.Conn {
	ours, theirs := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, theirs) }()
	go func() {
		_, _ = theirs.Write(sent)
		_ = theirs.Close()
	}()
	return ours
}
