package httplink

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// Limits of a connection.
const (
	readBufferBytes  = 20 * 1024        // read buffer of one connection, which limits the size of response headers
	writeBufferBytes = 4096             // write buffer of one connection
	maxIdleTime      = 20 * time.Second // idle connections are not reused after this time
)

// Dial opens a connection to an address (host:port).
type Dial func(address string) (net.Conn, error)

// Pool holds the connections to one peer. It is safe for concurrent use.
type Pool struct {
	address string
	dial    Dial
	limit   int
	// unframed allows responses that extend to the end of their connection.
	unframed bool

	mu          sync.Mutex
	idleTimeout time.Duration // idle connections are not reused after this time
	idle        []*conn
	open        int // connections in use, idle and being dialed
	closed      bool
}

// NewPool returns a pool of at most limit connections to address.
func NewPool(address string, limit int, dial Dial) *Pool {
	return &Pool{address: address, dial: dial, limit: limit, idleTimeout: maxIdleTime}
}

// AcceptUnframed accepts responses with neither a length nor chunked encoding. They are
// complete when the peer closes the connection without an error. AcceptUnframed must be
// called before the first exchange.
func (p *Pool) AcceptUnframed() { p.unframed = true }

// SetPeerIdleTimeout sets the time after which the peer closes idle connections. The
// pool reuses a connection only within half of that time, and within maxIdleTime.
func (p *Pool) SetPeerIdleTimeout(peerTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimeout = min(peerTimeout/2, maxIdleTime)
}

func (p *Pool) currentIdleTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleTimeout
}

// SetLimit changes the maximum number of connections. Excess connections are closed when
// their exchange ends.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// conn is a connection of the pool. It records what the current exchange wrote.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	used      bool  // an exchange has begun on it
	written   int64 // bytes written by the current exchange
	writeErr  error // of the last write
	idleSince time.Time
}

// Write implements io.Writer. It counts the bytes and keeps the error.
func (c *conn) Write(p []byte) (int, error) {
	count, err := c.Conn.Write(p)
	c.written += int64(count)
	c.writeErr = err
	return count, err
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections. Those in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// OldestIdle returns since when the connection that was used least recently is idle. It
// reports false if none is idle.
func (p *Pool) OldestIdle() (since time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return time.Time{}, false
	}
	return p.idle[0].idleSince, true
}

// CloseOldestIdle closes the idle connection that was used least recently. It reports false
// if none is idle.
func (p *Pool) CloseOldestIdle() bool {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return false
	}
	oldest := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	p.mu.Unlock()
	p.discard(oldest)
	return true
}

// acquire returns an idle connection that is still usable and none of the carriers, or a new
// one. It fails with the cause of ctx's end if ctx ends while a connection is opened.
func (p *Pool) acquire(ctx context.Context, carriers *Carriers) (*conn, error) {
	for {
		c := p.popIdle(carriers)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < p.currentIdleTimeout() && reusable(c.Conn) {
			return c, nil
		}
		p.discard(c)
	}
	return p.dialNew(ctx)
}

// popIdle returns the most recently used idle connection that is none of the carriers, or nil.
func (p *Pool) popIdle(carriers *Carriers) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if !carriers.include(c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// makeRoom counts a connection that is about to be dialed. At the limit, it closes an idle
// one in its place; it reports false if there is none.
func (p *Pool) makeRoom() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open < p.limit {
		p.open++
		return true
	}
	if len(p.idle) == 0 {
		return false
	}
	_ = p.idle[0].Close()
	p.idle = slices.Delete(p.idle, 0, 1)
	return true
}

// dialResult is the outcome of opening a connection.
type dialResult struct {
	raw net.Conn
	err error
}

// dialNew opens a connection, or returns ErrPoolFull if the limit is reached. If ctx ends
// meanwhile, the connection becomes an idle one of the pool once it is open.
func (p *Pool) dialNew(ctx context.Context) (*conn, error) {
	if !p.makeRoom() {
		return nil, ErrPoolFull
	}
	dialed := make(chan dialResult, 1)
	go func() {
		raw, err := p.dial(p.address)
		dialed <- dialResult{raw: raw, err: err}
	}()
	select {
	case d := <-dialed:
		return p.newConn(d)
	case <-ctx.Done():
		go p.keepIdle(dialed)
		return nil, context.Cause(ctx)
	}
}

// keepIdle waits for a connection that nobody needs any more and makes it an idle one.
func (p *Pool) keepIdle(dialed <-chan dialResult) {
	if c, err := p.newConn(<-dialed); err == nil {
		p.release(c)
	}
}

// newConn returns a connection that was opened.
func (p *Pool) newConn(d dialResult) (*conn, error) {
	if d.err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, d.err
	}
	c := &conn{Conn: d.raw}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.writer = bufio.NewWriterSize(c, writeBufferBytes)
	return c, nil
}

func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// release returns a connection to the pool for the next exchange, or closes it if the
// pool is closed or above its limit.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	keep := !p.closed && p.open <= p.limit
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}
