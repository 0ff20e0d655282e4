package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/netx"
)

// peer holds the connection to one address, which all calls share.
type peer struct {
	mu      sync.Mutex
	conn    *peerConn // nil before the first one and after a failure
	dialing *dialing  // nil unless a connection is being opened
	closed  bool
}

// dialing is the opening of a connection. conn and err are valid once done is closed.
type dialing struct {
	done chan struct{}
	conn *peerConn
	err  error
}

// connect returns the current connection. If there is none, or it has ended, it waits for a
// new one until ctx ends; all calls that wait share one dial.
func (p *peer) connect(ctx context.Context, c *Client, address string) (*peerConn, error) {
	p.mu.Lock()
	if p.conn != nil && !p.conn.stopped.Load() {
		defer p.mu.Unlock()
		return p.conn, nil
	}
	if p.dialing == nil {
		p.dialing = &dialing{done: make(chan struct{})}
		go p.dial(p.dialing, c, address)
	}
	d := p.dialing
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial opens a connection, unless the peer is closed meanwhile.
func (p *peer) dial(d *dialing, c *Client, address string) {
	raw, err := c.network.Dial(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(d.done)
	p.dialing = nil
	switch {
	case err != nil:
		d.err = err
	case p.closed:
		_ = raw.Close()
		d.err = netx.ErrClosed
	default:
		d.conn = newPeerConn(raw, c.meter)
		p.conn = d.conn
	}
}

func newPeerConn(raw net.Conn, m *meter) *peerConn {
	conn := &peerConn{Conn: &meteredConn{Conn: raw, meter: m}}
	conn.client = jrpc2.NewClient(channel.Line(conn, conn), &jrpc2.ClientOptions{
		OnCancel: sendCancel,
		OnStop:   func(*jrpc2.Client, error) { conn.stopped.Store(true) },
	})
	return conn
}

// dropBroken closes the connection of a call that began at a time and whose context has
// ended with err, if the connection does not work: a write blocks, which nothing else ends,
// or the peer has sent nothing in the whole time that the call had.
func (p *peer) dropBroken(conn *peerConn, began time.Time, err error) {
	outOfTime := errors.Is(err, context.DeadlineExceeded)
	if (outOfTime && conn.silentSince(began)) || conn.writeBlocks() {
		p.drop(conn)
	}
}

// drop closes a connection after a failed call, unless it was already replaced.
func (p *peer) drop(conn *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != conn {
		return
	}
	_ = conn.Close()
	p.conn = nil
}

// close closes the connection, and one that is being opened.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.conn != nil {
		_ = p.conn.Close()
	}
	p.conn = nil
}
