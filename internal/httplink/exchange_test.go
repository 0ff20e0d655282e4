package httplink

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// startPeer starts a server that runs script on each connection, with the connection's
// number from 0, and returns its address.
func startPeer(t *testing.T, script func(number int, conn net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				script(number, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func dialTCP(address string) (net.Conn, error) { return net.Dial("tcp", address) }

func newGetRequest() *fasthttp.Request {
	request := &fasthttp.Request{}
	request.SetRequestURI("/thing")
	request.Header.SetHost("server")
	return request
}

// readRequest reads one request without a body.
func readRequest(reader *bufio.Reader) bool {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			return true
		}
	}
}

const (
	fixedResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	chunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)

func fetch(pool *Pool) (string, error) {
	response := &fasthttp.Response{}
	exchange, failure := pool.Do(context.Background(), newGetRequest(), response)
	if failure != nil {
		return "", failure
	}
	defer func() { _ = exchange.Close() }()
	body, err := io.ReadAll(exchange)
	return string(body), err
}

func TestResponseCutAtAnyByteIsAnError(t *testing.T) {
	for _, complete := range []string{fixedResponse, chunkedResponse} {
		address := startPeer(t, func(number int, conn net.Conn) {
			if readRequest(bufio.NewReader(conn)) {
				_, _ = conn.Write([]byte(complete[:number]))
			}
		})
		pool := NewPool(address, 1, dialTCP)
		for range complete {
			_, err := fetch(pool)
			must.Error(t, err)
			must.False(t, errors.Is(err, ErrPoolFull))
		}
		body, err := fetch(pool)
		must.NoError(t, err)
		must.Eq(t, "hello", body)
	}
}

func TestResponseWithoutLengthIsRejected(t *testing.T) {
	address := startPeer(t, func(_ int, conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhel"))
	})
	_, err := fetch(NewPool(address, 1, dialTCP))
	must.ErrorIs(t, err, ErrUnframed)
}

func TestConnectionWithBytesAfterTheResponseIsNotReused(t *testing.T) {
	address := startPeer(t, func(number int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for readRequest(reader) {
			response := fixedResponse
			if number == 0 {
				response += strings.Replace(fixedResponse, "hello", "later", 1)
			}
			_, _ = conn.Write([]byte(response))
		}
	})
	pool := NewPool(address, 1, dialTCP)
	for range 3 {
		body, err := fetch(pool)
		must.NoError(t, err)
		must.Eq(t, "hello", body)
	}
}

func TestRequestIsNeverSentAgain(t *testing.T) {
	requests := make(chan int, 16)
	address := startPeer(t, func(number int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		readRequest(reader)
		requests <- number
		_, _ = conn.Write([]byte(fixedResponse))
		if readRequest(reader) {
			requests <- number
		}
	})
	pool := NewPool(address, 1, dialTCP)
	_, err := fetch(pool)
	must.NoError(t, err)
	_, failure := pool.Do(context.Background(), newGetRequest(), &fasthttp.Response{})
	must.NotNil(t, failure)
	must.True(t, failure.Sent)
	must.Eq(t, 0, pool.Open())
	must.Eq(t, 2, len(requests))
}

func TestNothingWasSentWhenTheDialFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	_, failure := NewPool(listener.Addr().String(), 1, dialTCP).Do(context.Background(), newGetRequest(), &fasthttp.Response{})
	must.Eq(t, StageDial, failure.Stage)
	must.False(t, failure.Sent)
}

func TestEndedContextSendsNothing(t *testing.T) {
	address := startPeer(t, func(_ int, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	ctx, cancel := context.WithCancelCause(context.Background())
	cause := errors.New("caller gone")
	cancel(cause)
	_, failure := NewPool(address, 1, dialTCP).Do(ctx, newGetRequest(), &fasthttp.Response{})
	must.False(t, failure.Sent)
	must.ErrorIs(t, failure, cause)
}

func TestCancelClosesTheConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	address := startPeer(t, func(_ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		readRequest(reader)
		cancel()
		_, _ = reader.ReadByte()
		close(ended)
	})
	pool := NewPool(address, 1, dialTCP)
	_, failure := pool.Do(ctx, newGetRequest(), &fasthttp.Response{})
	must.True(t, failure.Sent)
	must.ErrorIs(t, failure, context.Canceled)
	<-ended
	must.Eq(t, 0, pool.Open())
}

// If the caller closes its connection during an upload, the server must not receive the
// end of the request and take the upload for complete.
func TestShortUploadIsNotEnded(t *testing.T) {
	for _, length := range []int{100, chunked} {
		received := make(chan string, 1)
		address := startPeer(t, func(_ int, conn net.Conn) {
			text, _ := io.ReadAll(conn)
			received <- string(text)
		})
		request := newGetRequest()
		request.Header.SetMethod(fasthttp.MethodPut)
		request.SetBodyStream(io.MultiReader(strings.NewReader("abc"), failingReader{}), length)
		_, failure := NewPool(address, 1, dialTCP).Do(context.Background(), request, &fasthttp.Response{})
		must.True(t, failure.ShortUpload)
		must.StrNotHasSuffix(t, "0\r\n\r\n", <-received)
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// A peer responds before it has read the whole request: an error status is accepted, a
// success is not, and the connection is not reused.
func TestEarlyResponses(t *testing.T) {
	for status, accepted := range map[string]bool{"503 Busy": true, "200 OK": false} {
		address := startPeer(t, func(_ int, conn net.Conn) {
			readRequest(bufio.NewReaderSize(conn, 16))
			_, _ = conn.Write([]byte("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"))
			_ = conn.(*net.TCPConn).CloseRead()
		})
		request := newGetRequest()
		request.Header.SetMethod(fasthttp.MethodPut)
		request.SetBodyStream(endlessReader{}, 1<<30)
		response := &fasthttp.Response{}
		pool := NewPool(address, 1, dialTCP)
		exchange, failure := pool.Do(context.Background(), request, response)
		if failure != nil {
			must.True(t, failure.Sent) // the connection may be reset before the response is read
			continue
		}
		must.True(t, accepted)
		_ = exchange.Close()
		must.Eq(t, 0, pool.Open())
	}
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// A cancelled request must not wait for a connection that it won't use: its caller is
// waiting for the refusal.
func TestNoDialForCancelledRequest(t *testing.T) {
	dial := func(string) (net.Conn, error) {
		t.Error("dialed")
		return nil, io.ErrClosedPipe
	}
	cause := errors.New("the daemon ends")
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(cause)
	_, failure := NewPool("127.0.0.1:1", 1, dial).Do(ctx, newGetRequest(), &fasthttp.Response{})
	must.ErrorIs(t, failure, cause)
	must.False(t, failure.Sent)
}

// At the end of a daemon's grace period, a request that was waiting for a connection got its
// answer only when the dial had ended, after the callers' connections were closed.
func TestCancelledRequestDoesNotWaitForItsConnection(t *testing.T) {
	const dialTime = 400 * time.Millisecond
	address := startPeer(t, func(_ int, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	opened := make(chan struct{})
	pool := NewPool(address, 1, func(address string) (net.Conn, error) {
		defer close(opened)
		time.Sleep(dialTime)
		return dialTCP(address)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(dialTime/10, cancel)
	started := time.Now()
	_, failure := pool.Do(ctx, newGetRequest(), &fasthttp.Response{})
	must.NotNil(t, failure)
	must.ErrorIs(t, failure, context.Canceled)
	must.False(t, failure.Sent)
	must.Less(t, dialTime/2, time.Since(started))
	must.Eq(t, 1, pool.Open())
	<-opened
	pool.Close()
	for end := time.Now().Add(time.Second); pool.Open() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, 0, pool.Open())
}

// The reader of a body that is closed early goes to another exchange. A later Read panicked, and could
// have returned a part of that one's body.
func TestReadAfterCloseReturnsNoBodyOfAnotherExchange(t *testing.T) {
	address := startPeer(t, func(_ int, conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = conn.Write([]byte(fixedResponse))
		_, _ = io.Copy(io.Discard, conn)
	})
	pool := NewPool(address, 2, dialTCP)
	begin := func() *Exchange {
		exchange, failure := pool.Do(context.Background(), newGetRequest(), &fasthttp.Response{})
		must.Nil(t, failure)
		_, err := exchange.Read(make([]byte, 1))
		must.NoError(t, err)
		return exchange
	}
	for range 100 { // the pool of readers keeps no order
		closed := begin()
		must.NoError(t, closed.Close())
		open := begin()
		count, err := closed.Read(make([]byte, 1))
		must.Zero(t, count)
		must.ErrorIs(t, err, ErrClosed)
		must.NoError(t, open.Close())
	}
}
