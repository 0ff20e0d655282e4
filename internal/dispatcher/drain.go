package dispatcher

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const drainPoll = 20 * time.Millisecond // interval at which Drain checks for requests in progress

// activeConns is the set of entry connections with a request in progress, until the
// last byte of its response is written. The zero value is ready to use.
type activeConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// setState adds or removes a connection when its state changes.
func (b *activeConns) setState(conn net.Conn, state fasthttp.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if state != fasthttp.StateActive {
		delete(b.conns, conn)
		return
	}
	if b.conns == nil {
		b.conns = map[net.Conn]struct{}{}
	}
	b.conns[conn] = struct{}{}
}

func (b *activeConns) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// Drain implements kernel.Drainer. It waits until no request is in progress or ctx
// ends. New requests are still accepted, so that no connection is closed while a
// request is in progress.
func (d *Dispatcher) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		left := d.activeConns.count()
		if left == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "finish requests in progress: %d were cut off", left)
		}
	}
}
