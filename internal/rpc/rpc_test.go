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

type question struct {
	Term uint64 `json:"term"`
}

type answer struct {
	Next uint64 `json:"next"`
}

const next rpc.Method = "next"

func serve(t *testing.T) (string, *metrics.Registry) {
	registry := metrics.New()
	server := rpc.NewServer(registry)
	rpc.Handle(server, next, func(_ context.Context, q *question) (*answer, error) {
		if q.Term == 0 {
			return nil, errors.New("term is missing")
		}
		return &answer{Next: q.Term + 1}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go server.Serve(listener)
	t.Cleanup(server.Close)
	return listener.Addr().String(), registry
}

func client(t *testing.T, network *netx.Network) *rpc.Client {
	c := rpc.NewClient(network, metrics.New())
	t.Cleanup(c.Close)
	return c
}

func TestCallReturnsTheTypedAnswerAndCountsBytes(t *testing.T) {
	address, registry := serve(t)
	got, err := rpc.Call[answer](context.Background(), client(t, &netx.Network{}), address, next, &question{Term: 4})
	must.NoError(t, err)
	must.Eq(t, uint64(5), got.Next)
	must.Positive(t, registry.Int("control_bytes_in").Value())
	must.Positive(t, registry.Int("control_bytes_out").Value())
}

func TestRemoteErrorCarriesMethodAndPeer(t *testing.T) {
	address, _ := serve(t)
	_, err := rpc.Call[answer](context.Background(), client(t, &netx.Network{}), address, next, &question{})
	var remote *rpc.RemoteError
	must.True(t, errors.As(err, &remote))
	must.Eq(t, address, remote.Peer)
	must.Eq(t, next, remote.Method)
	must.StrContains(t, remote.Message, "term is missing")
}

func TestCallReconnectsAfterACut(t *testing.T) {
	address, _ := serve(t)
	network := &netx.Network{}
	c := client(t, network)
	ask := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := rpc.Call[answer](ctx, c, address, next, &question{Term: 1})
		return err
	}
	must.NoError(t, ask())
	network.SetFaults(netx.Faults{Blocked: []string{address}})
	must.Error(t, ask())
	network.SetFaults(netx.Faults{})
	must.NoError(t, ask())
}

func TestCallToNobodyNamesTheStep(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	_, err = rpc.Call[answer](context.Background(), client(t, &netx.Network{}), address, next, &question{Term: 1})
	must.ErrorContains(t, err, "next: dial "+address)
}

// A call whose write does not end must not hold up others to the same peer
// beyond their own deadlines.
func TestCallsToACutPeerAllEnd(t *testing.T) {
	address, _ := serve(t)
	network := &netx.Network{}
	c := client(t, network)
	ask := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, err := rpc.Call[answer](ctx, c, address, next, &question{Term: 1})
		return err
	}
	must.NoError(t, ask(time.Minute))
	network.SetFaults(netx.Faults{Blocked: []string{address}})
	results := make(chan error)
	for i := range 8 {
		go func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			results <- ask(200 * time.Millisecond)
		}()
	}
	for range 8 {
		must.Error(t, <-results)
	}
}
