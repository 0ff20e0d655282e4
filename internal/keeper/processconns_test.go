package keeper

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/httplink"
)

// listener serves HTTP until it is stopped. stop closes the connections too, as the
// end of a process does.
type listener struct {
	net.Listener
	server *fasthttp.Server
	calls  atomic.Int64

	mu      sync.Mutex
	conns   []net.Conn
	stopped bool
}

func startListener(t *testing.T, address string, handler func(number int64, ctx *fasthttp.RequestCtx)) *listener {
	t.Helper()
	inner, err := net.Listen("tcp", address)
	must.NoError(t, err)
	l := &listener{Listener: inner}
	l.server = &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { handler(l.calls.Add(1), ctx) }}
	go func() { _ = l.server.Serve(l) }()
	t.Cleanup(l.stop)
	return l
}

// Accept implements net.Listener and records the connections for stop. It closes one
// that it accepted while stop was called.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		_ = conn.Close()
	}
	l.conns = append(l.conns, conn)
	return conn, nil
}

func (l *listener) stop() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

func dialTCP(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }

// exchangeOnce makes one call and returns its result.
func exchangeOnce(p *processConns) callResult {
	_, result := p.exchange(context.Background(), func(pool *httplink.Pool) (*fasthttp.Response, callResult) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		request, answer := &fasthttp.Request{}, &fasthttp.Response{}
		request.SetRequestURI("/x")
		request.Header.SetHost(p.address)
		exchange, failure := pool.Do(ctx, request, answer)
		if failure != nil {
			return nil, callResult{sent: failure.Sent, err: failure}
		}
		defer exchange.Close()
		return answer, callResult{sent: true, err: exchange.Discard()}
	})
	return result
}

func answerOK(int64, *fasthttp.RequestCtx) {}

// A server process is replaced by another one at the same address: calls must fail
// instead of reaching the new process under the old one's fences.
func TestLaterProcessAtSameAddressIsNotReached(t *testing.T) {
	first := startListener(t, "127.0.0.1:0", answerOK)
	address := first.Addr().String()
	p := newProcessConns(address, dialTCP)
	for range 3 {
		must.NoError(t, exchangeOnce(p).err)
	}
	first.stop()
	second := startListener(t, address, answerOK)
	for range 3 {
		result := exchangeOnce(p)
		must.ErrorIs(t, result.err, errProcessConnsLost)
		must.False(t, result.sent)
	}
	must.Zero(t, second.calls.Load())
}

// A spare connection that is opened after the process was replaced leads to the new
// process, and must never be used for calls.
func TestLaterProcessIsNotReachedOnSpareConnection(t *testing.T) {
	first := startListener(t, "127.0.0.1:0", answerOK)
	address := first.Addr().String()
	p := newProcessConns(address, dialTCP)
	must.NoError(t, exchangeOnce(p).err)
	p.drop(p.conns[1])
	p.spareDialedAt = time.Time{}
	first.stop()
	second := startListener(t, address, answerOK)
	// The exchange opens the spare connection to the second process before it finds
	// the connection to the first one closed.
	must.Error(t, exchangeOnce(p).err)
	must.ErrorIs(t, exchangeOnce(p).err, errProcessConnsLost)
	must.Zero(t, second.calls.Load())
}

// A server that closes connections now and then must stay reachable by its spare one.
func TestProcessStaysReachableWhenItClosesConnections(t *testing.T) {
	const calls = 40
	server := startListener(t, "127.0.0.1:0", func(number int64, ctx *fasthttp.RequestCtx) {
		if number%5 == 0 {
			ctx.SetConnectionClose()
		}
	})
	p := newProcessConns(server.Addr().String(), dialTCP)
	for range calls {
		must.NoError(t, exchangeOnce(p).err)
		p.spareDialedAt = time.Time{} // as if spareDialPeriod had passed
	}
	must.Eq(t, calls, server.calls.Load())
}

func TestRefusedConnectionIsReported(t *testing.T) {
	server := startListener(t, "127.0.0.1:0", answerOK)
	server.stop()
	result := exchangeOnce(newProcessConns(server.Addr().String(), dialTCP))
	must.True(t, errors.Is(result.err, errNotListening))
	must.False(t, result.sent)
}
