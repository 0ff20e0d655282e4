package httplink

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Limits of a connection.
const (
	bufferBytes = 4096             // read and write buffer of one connection
	idleLimit   = 20 * time.Second // idle connections are closed after this
)

// Stage names the part of an exchange in which it failed.
type Stage string

// Stages.
const (
	StageDial  Stage = "dial"
	StageWrite Stage = "write"
	StageRead  Stage = "read"
	StageBody  Stage = "body"
)

// Failure describes a failed exchange.
type Failure struct {
	Stage Stage
	Peer  string
	// Sent says that a byte of the request may have reached the peer.
	Sent bool
	Err  error
}

// Error implements the error interface.
func (f *Failure) Error() string {
	return string(f.Stage) + " " + f.Peer + ": " + f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// ErrPoolFull says that all connections to the peer are in use.
var ErrPoolFull = errors.New("httplink: all connections in use")

// Dial opens a connection to an address.
type Dial func(address string) (net.Conn, error)

// Pool holds the connections to one peer. It is safe for concurrent use.
type Pool struct {
	address string
	dial    Dial
	limit   int

	mu   sync.Mutex
	idle []*conn
	open int
}

// NewPool returns a pool of at most limit connections to address.
func NewPool(address string, limit int, dial Dial) *Pool {
	return &Pool{address: address, dial: dial, limit: limit}
}

// conn counts the bytes written by the current exchange.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	written int64
	idleAt  time.Time
}

// Write implements io.Writer and counts.
func (c *conn) Write(p []byte) (int, error) {
	count, err := c.Conn.Write(p)
	c.written += int64(count)
	return count, err
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

func (p *Pool) acquire() (*conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if time.Since(c.idleAt) < idleLimit && quiet(c.Conn) {
			return c, nil
		}
		p.discard(c)
	}
	return p.dialNew()
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) dialNew() (*conn, error) {
	p.mu.Lock()
	if p.open >= p.limit {
		p.mu.Unlock()
		return nil, ErrPoolFull
	}
	p.open++
	p.mu.Unlock()
	raw, err := p.dial(p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: raw}
	c.reader = bufio.NewReaderSize(c, bufferBytes)
	c.writer = bufio.NewWriterSize(c, bufferBytes)
	return c, nil
}

func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *Pool) release(c *conn) {
	_ = c.SetDeadline(time.Time{})
	c.idleAt = time.Now()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// quiet reports that the peer neither closed the connection nor sent bytes
// that no request asked for.
func quiet(raw net.Conn) bool {
	sys, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errno == syscall.EAGAIN
		return true
	})
	return err == nil && alive
}

// Exchange is a request whose answer has begun. The body must be read through
// Read and the exchange ended by Close.
type Exchange struct {
	pool *Pool
	conn *conn
	resp *fasthttp.Response
	stop func() bool
	left int64 // body bytes still expected; -1 when the length is not known
	end  bool  // the body was read to its end
	once sync.Once
}

// Do sends req and reads the header of the answer into resp. When ctx ends, the
// connection is closed and the exchange fails.
func (p *Pool) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (*Exchange, *Failure) {
	c, err := p.acquire()
	if err != nil {
		return nil, &Failure{Stage: StageDial, Peer: p.address, Err: err}
	}
	c.written = 0
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	if failure := p.send(c, req); failure != nil {
		stop()
		p.discard(c)
		return nil, failure
	}
	resp.StreamBody = true
	resp.SkipBody = req.Header.IsHead()
	if err := resp.ReadLimitBody(c.reader, 0); err != nil {
		stop()
		p.discard(c)
		return nil, &Failure{Stage: StageRead, Peer: p.address, Sent: true, Err: err}
	}
	return &Exchange{pool: p, conn: c, resp: resp, stop: stop, left: bodyLength(resp)}, nil
}

func (p *Pool) send(c *conn, req *fasthttp.Request) *Failure {
	err := req.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	if err == nil {
		return nil
	}
	return &Failure{Stage: StageWrite, Peer: p.address, Sent: c.written > 0, Err: err}
}

func bodyLength(resp *fasthttp.Response) int64 {
	if resp.SkipBody {
		return 0
	}
	if length := resp.Header.ContentLength(); length >= 0 {
		return int64(length)
	}
	return -1
}

// Length returns the expected body length in bytes, or -1 when unknown.
func (e *Exchange) Length() int { return int(e.left) }

// Read reads the body. A body that ends early is io.ErrUnexpectedEOF, never io.EOF.
func (e *Exchange) Read(p []byte) (int, error) {
	if e.end || e.left == 0 {
		e.end = true
		return 0, io.EOF
	}
	count, err := e.resp.BodyStream().Read(p)
	if e.left > 0 {
		e.left -= int64(count)
	}
	if err == nil {
		return count, nil
	}
	return count, e.ended(err)
}

// Discard reads what is left of the body and ends the exchange.
func (e *Exchange) Discard() error {
	_, err := io.Copy(io.Discard, e)
	_ = e.Close()
	return err
}

func (e *Exchange) ended(err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if e.left > 0 {
		return io.ErrUnexpectedEOF
	}
	e.end = true
	return io.EOF
}

// Close ends the exchange. The connection is reused only when the body was
// read to its end and the peer keeps it open.
func (e *Exchange) Close() error {
	e.once.Do(e.close)
	return nil
}

func (e *Exchange) close() {
	intact := e.stop()
	whole := e.end || e.left == 0
	keep := intact && whole && !e.resp.ConnectionClose() && e.resp.Header.ContentLength() >= 0
	if !keep {
		e.pool.discard(e.conn)
		return
	}
	_ = e.resp.CloseBodyStream()
	e.pool.release(e.conn)
}
