package keeper

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/httplink"
)

// listener serves until it is ended, as a process does.
type listener struct {
	net.Listener
	conns  atomic.Pointer[[]net.Conn]
	server *fasthttp.Server
	calls  atomic.Int64
}

func listen(t *testing.T, address string, handler func(number int64, ctx *fasthttp.RequestCtx)) *listener {
	t.Helper()
	inner, err := net.Listen("tcp", address)
	must.NoError(t, err)
	l := &listener{Listener: inner}
	l.conns.Store(&[]net.Conn{})
	l.server = &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { handler(l.calls.Add(1), ctx) }}
	go func() { _ = l.server.Serve(l) }()
	t.Cleanup(l.end)
	return l
}

// Accept implements net.Listener and keeps the connections.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		all := append(*l.conns.Load(), conn)
		l.conns.Store(&all)
	}
	return conn, err
}

func (l *listener) end() {
	_ = l.Close()
	for _, conn := range *l.conns.Load() {
		_ = conn.Close()
	}
}

func dialTCP(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }

// exchangeOnce makes one call and returns its failure.
func exchangeOnce(l *lineage) callResult {
	_, result := l.exchange(context.Background(), func(pool *httplink.Pool) (*fasthttp.Response, callResult) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		request, answer := &fasthttp.Request{}, &fasthttp.Response{}
		request.SetRequestURI("/x")
		request.Header.SetHost(l.address)
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

func TestALaterLifeAtTheAddressIsNotReached(t *testing.T) {
	first := listen(t, "127.0.0.1:0", answerOK)
	address := first.Addr().String()
	l := newLineage(address, dialTCP)
	for range 3 {
		must.NoError(t, exchangeOnce(l).err)
	}
	first.end()
	second := listen(t, address, answerOK)
	for range 3 {
		result := exchangeOnce(l)
		must.ErrorIs(t, result.err, errLineageLost)
		must.False(t, result.sent)
	}
	must.Zero(t, second.calls.Load())
}

func TestALaterLifeIsNotReachedOnASpareConnection(t *testing.T) {
	first := listen(t, "127.0.0.1:0", answerOK)
	address := first.Addr().String()
	l := newLineage(address, dialTCP)
	must.NoError(t, exchangeOnce(l).err)
	l.drop(l.lines[1])
	l.spareAt = time.Time{}
	first.end()
	second := listen(t, address, answerOK)
	// The spare one is opened to the second process, before the first one's
	// connection is found closed.
	must.Error(t, exchangeOnce(l).err)
	must.ErrorIs(t, exchangeOnce(l).err, errLineageLost)
	must.Zero(t, second.calls.Load())
}

func TestTheProcessIsReachedWhenItClosesConnections(t *testing.T) {
	const calls = 40
	server := listen(t, "127.0.0.1:0", func(number int64, ctx *fasthttp.RequestCtx) {
		if number%5 == 0 {
			ctx.SetConnectionClose()
		}
	})
	l := newLineage(server.Addr().String(), dialTCP)
	for range calls {
		must.NoError(t, exchangeOnce(l).err)
		l.spareAt = time.Time{} // as if the pause had passed
	}
	must.Eq(t, calls, server.calls.Load())
}

func TestARefusedConnectionIsTold(t *testing.T) {
	server := listen(t, "127.0.0.1:0", answerOK)
	server.end()
	result := exchangeOnce(newLineage(server.Addr().String(), dialTCP))
	must.True(t, errors.Is(result.err, errNotListening))
	must.False(t, result.sent)
}
