package rpc_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

type nextRequest struct {
	Term uint64 `json:"term"`
}

type nextResponse struct {
	Next uint64 `json:"next"`
}

const methodNext rpc.Method = "next"

func startServer(t *testing.T) (string, *metrics.Registry) {
	registry := metrics.New()
	server := rpc.NewServer(registry)
	rpc.Handle(server, methodNext, func(_ context.Context, request *nextRequest) (*nextResponse, error) {
		if request.Term == 0 {
			return nil, errors.New("term is missing")
		}
		return &nextResponse{Next: request.Term + 1}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go server.Serve(listener)
	t.Cleanup(server.Close)
	return listener.Addr().String(), registry
}

func newClient(t *testing.T, network *netx.Network) *rpc.Client {
	c := rpc.NewClient(network, metrics.New())
	t.Cleanup(c.Close)
	return c
}

func TestCallReturnsTheTypedResponseAndCountsBytes(t *testing.T) {
	address, registry := startServer(t)
	got, err := rpc.Call[nextResponse](context.Background(), newClient(t, &netx.Network{}), address, methodNext, &nextRequest{Term: 4})
	must.NoError(t, err)
	must.Eq(t, uint64(5), got.Next)
	must.Positive(t, registry.Int("control_bytes_in").Value())
	must.Positive(t, registry.Int("control_bytes_out").Value())
}

func TestRemoteErrorCarriesMethodAndPeer(t *testing.T) {
	address, _ := startServer(t)
	_, err := rpc.Call[nextResponse](context.Background(), newClient(t, &netx.Network{}), address, methodNext, &nextRequest{})
	var remote *rpc.RemoteError
	must.True(t, errors.As(err, &remote))
	must.Eq(t, address, remote.Peer)
	must.Eq(t, methodNext, remote.Method)
	must.StrContains(t, remote.Message, "term is missing")
}

func TestCallReconnectsAfterThePeerWasBlocked(t *testing.T) {
	address, _ := startServer(t)
	network := &netx.Network{}
	c := newClient(t, network)
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := rpc.Call[nextResponse](ctx, c, address, methodNext, &nextRequest{Term: 1})
		return err
	}
	must.NoError(t, call())
	network.SetFaults(netx.Faults{Blocked: []string{address}})
	must.Error(t, call())
	network.SetFaults(netx.Faults{})
	must.NoError(t, call())
}

func TestDialErrorNamesMethodAndAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	_, err = rpc.Call[nextResponse](context.Background(), newClient(t, &netx.Network{}), address, methodNext, &nextRequest{Term: 1})
	must.ErrorContains(t, err, "next: dial "+address)
}

// A call whose write blocks must not delay other calls to the same peer beyond their
// deadlines.
func TestCallsToABlockedPeerEndAtTheirDeadlines(t *testing.T) {
	address, _ := startServer(t)
	network := &netx.Network{}
	c := newClient(t, network)
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := rpc.Call[nextResponse](ctx, c, address, methodNext, &nextRequest{Term: 1})
		return err
	}
	must.NoError(t, call(time.Minute))
	network.SetFaults(netx.Faults{Blocked: []string{address}})
	results := make(chan error)
	for i := range 8 {
		go func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			results <- call(200 * time.Millisecond)
		}()
	}
	for range 8 {
		must.Error(t, <-results)
	}
}

// A keeper took the reset of a connection for a daemon's refusal, and stepped down.
func TestResetConnectionIsNoErrorOfThePeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1)) // the call has been sent
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	_, err = rpc.Call[nextResponse](t.Context(), newClient(t, &netx.Network{}), listener.Addr().String(), methodNext, &nextRequest{})
	must.Error(t, err)
	var remote *rpc.RemoteError
	must.False(t, errors.As(err, &remote), must.Sprint(err))
}

const methodWait rpc.Method = "wait"

// waitRequest asks the server to answer after a time.
type waitRequest struct {
	MS int64 `json:"ms"`
}

// startWaitingServer starts a server of methodWait. The channel receives the time for which
// each call waited that was cancelled.
func startWaitingServer(t *testing.T) (string, <-chan time.Duration) {
	cancelled := make(chan time.Duration, 1)
	server := rpc.NewServer(metrics.New())
	rpc.Handle(server, methodWait, func(ctx context.Context, request *waitRequest) (*nextResponse, error) {
		began := time.Now()
		select {
		case <-time.After(time.Duration(request.MS) * time.Millisecond):
			return &nextResponse{}, nil
		case <-ctx.Done():
			cancelled <- time.Since(began)
			return nil, ctx.Err()
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go server.Serve(listener)
	t.Cleanup(server.Close)
	return listener.Addr().String(), cancelled
}

// When one caller closed its connection while its request waited for a ticket, the requests
// of all others that waited at the same daemon lost their places: they were sent without
// tickets, and the daemon counted as down for 2 s.
func TestCancelledCallLeavesOtherCallsAlone(t *testing.T) {
	const wait, cancelledAfter = 400 * time.Millisecond, 100 * time.Millisecond
	for name, newContext := range map[string]func() (context.Context, context.CancelFunc){
		"cancelled": func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(cancelledAfter, cancel)
			return ctx, cancel
		},
		"out of time": func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), cancelledAfter)
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, cancelled := startWaitingServer(t)
			c := newClient(t, &netx.Network{})
			other := make(chan error, 1)
			go func() {
				_, err := rpc.Call[nextResponse](context.Background(), c, address, methodWait, &waitRequest{MS: wait.Milliseconds()})
				other <- err
			}()
			time.Sleep(cancelledAfter / 2)
			ctx, cancel := newContext()
			defer cancel()
			go func() {
				time.Sleep(cancelledAfter / 2)
				_, _ = rpc.Call[nextResponse](context.Background(), c, address, methodWait, &waitRequest{}) // the peer answers meanwhile
			}()
			_, err := rpc.Call[nextResponse](ctx, c, address, methodWait, &waitRequest{MS: time.Minute.Milliseconds()})
			must.Error(t, err)
			must.NoError(t, <-other)
			must.Less(t, wait, <-cancelled) // its place is free at once
		})
	}
}

// Requests that asked a dispatcher whose machine had gone waited for one dial after another,
// far beyond their deadlines: each call dialed for itself while the others waited.
func TestCallsToUnreachablePeerEndAtTheirDeadlines(t *testing.T) {
	const calls, timeout, slack = 16, 150 * time.Millisecond, 150 * time.Millisecond
	address, _ := startServer(t)
	network := &netx.Network{}
	network.SetFaults(netx.Faults{Blocked: []string{address}})
	c := newClient(t, network)
	took := make(chan time.Duration, calls)
	for range calls {
		go func() {
			began := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			_, err := rpc.Call[nextResponse](ctx, c, address, methodNext, &nextRequest{Term: 1})
			must.Error(t, err)
			took <- time.Since(began)
		}()
	}
	for range calls {
		must.Less(t, timeout+slack, <-took)
	}
	network.SetFaults(netx.Faults{})
	_, err := rpc.Call[nextResponse](context.Background(), c, address, methodNext, &nextRequest{Term: 1})
	must.NoError(t, err)
}
