package httplink

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// earlyResponseTimeout limits the wait for the response of a peer that stopped reading
// the request.
const earlyResponseTimeout = 100 * time.Millisecond

// Exchange is a request whose response header has been received. The response body must
// be read with Read, and the exchange ended with Close.
type Exchange struct {
	pool          *Pool
	conn          *conn
	resp          *fasthttp.Response
	framed        *fasthttp.Response // reads a body with a length or in chunks; nil before the first Read
	ctx           context.Context
	stopAfterFunc func() bool // cancels closing conn at the end of ctx
	length        int64       // length of the response body in bytes, or chunked or unframed
	remaining     int64       // body bytes still expected, or chunked or unframed
	bodyEnded     bool        // the body was read to its end
	notReusable   bool        // the connection cannot be reused: the request was not sent completely, or DoNotReuse was called
	first         bool        // the connection carried no earlier exchange
	closed        bool        // the reader of the body may serve another exchange
	once          sync.Once
}

// Options are the conditions of an exchange. The zero value has none.
type Options struct {
	// MayWrite is called when there is a connection. If it returns an error, nothing is
	// sent and the exchange fails with it. Nil stands for a function that returns nil.
	MayWrite func() error
	// Carriers are the connections that carried earlier sends of the same request. The
	// exchange uses another one, and adds it. Nil if the request is sent once at most.
	Carriers *Carriers
}

// Do sends req once and reads the header of the response into resp. When ctx ends, the
// connection is closed and the exchange fails. Do never resends a request. If the
// request's body ends early, its end is not sent, so that the peer cannot take it for
// complete.
func (p *Pool) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (*Exchange, *Failure) {
	return p.DoWith(ctx, req, resp, Options{})
}

// DoWith is Do under the given conditions.
func (p *Pool) DoWith(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, o Options) (*Exchange, *Failure) {
	if ctx.Err() != nil {
		return nil, &Failure{Stage: StageDial, Peer: p.address, Err: context.Cause(ctx)}
	}
	c, err := p.acquire(ctx, o.Carriers)
	if err != nil {
		return nil, &Failure{Stage: StageDial, Peer: p.address, Err: err}
	}
	if ctx.Err() != nil {
		p.release(c)
		return nil, &Failure{Stage: StageDial, Peer: p.address, Err: context.Cause(ctx)}
	}
	if err := o.mayWrite(); err != nil {
		p.release(c)
		return nil, &Failure{Stage: StageDial, Peer: p.address, Err: err}
	}
	o.Carriers.add(c)
	e := &Exchange{pool: p, conn: c, resp: resp, ctx: ctx, first: !c.used}
	c.used, c.written, c.writeErr = true, 0, nil
	e.stopAfterFunc = context.AfterFunc(ctx, func() { _ = c.Close() })
	if failure := e.begin(req); failure != nil {
		e.stopAfterFunc()
		p.discard(c)
		return nil, failure
	}
	return e, nil
}

func (o *Options) mayWrite() error {
	if o.MayWrite == nil {
		return nil
	}
	return o.MayWrite()
}

// begin sends the request and reads the response header.
func (e *Exchange) begin(req *fasthttp.Request) *Failure {
	err := e.write(req)
	if err == nil {
		return e.readHeader(req)
	}
	failure := e.failure(StageWrite, e.conn.written > 0, err)
	failure.ShortUpload = e.conn.writeErr == nil
	if failure.Sent && !failure.ShortUpload && e.readEarlyRefusal(req) {
		return nil
	}
	return failure
}

func (e *Exchange) write(req *fasthttp.Request) error {
	if err := req.Write(e.conn.writer); err != nil {
		return err
	}
	return e.conn.writer.Flush()
}

func (e *Exchange) failure(stage Stage, sent bool, err error) *Failure {
	return &Failure{Stage: stage, Peer: e.pool.address, Sent: sent, Err: e.cause(err)}
}

// cause returns the cause of ctx's end if it has ended, since the connection was closed
// for that reason, or else err.
func (e *Exchange) cause(err error) error {
	if e.ctx.Err() != nil {
		return context.Cause(e.ctx)
	}
	return err
}

// readHeader reads the response header. It fails for an unframed body, unless the pool
// accepts those.
func (e *Exchange) readHeader(req *fasthttp.Request) *Failure {
	if err := readHead(e.conn.reader, e.resp); err != nil {
		return e.failure(StageRead, true, err)
	}
	e.length = bodyLength(req, e.resp)
	e.remaining = e.length
	if e.length == unframed && !e.pool.unframed {
		return e.failure(StageRead, true, ErrUnframed)
	}
	return nil
}

// readEarlyRefusal reads the response of a peer that refused the request before it had
// read all of it. It returns false if there is none in time, or if its status is not an
// error: a success without the complete request is not trusted. Nor is a response that ends
// with the connection: the failed write has taken the connection's error, so that a reset
// reads like an orderly close.
func (e *Exchange) readEarlyRefusal(req *fasthttp.Request) bool {
	if e.ctx.Err() != nil || e.conn.SetReadDeadline(time.Now().Add(earlyResponseTimeout)) != nil {
		return false
	}
	e.notReusable = true
	if e.readHeader(req) != nil || e.length == unframed || e.resp.StatusCode() < fasthttp.StatusBadRequest {
		return false
	}
	return e.conn.SetReadDeadline(time.Time{}) == nil
}

// Body lengths that are not a number of bytes, with the values that fasthttp uses for them.
const (
	chunked  = -1
	unframed = -2
)

// bodyLength returns the length of the response body in bytes, or chunked or unframed.
func bodyLength(req *fasthttp.Request, resp *fasthttp.Response) int64 {
	switch status := resp.StatusCode(); {
	case req.Header.IsHead(), status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified:
		return 0
	default:
		return int64(resp.Header.ContentLength())
	}
}

// First reports whether the exchange is the first one on its connection: no second answer to
// an earlier request can come in place of its own.
func (e *Exchange) First() bool { return e.first }

// DoNotReuse has the connection closed at the end of the exchange.
func (e *Exchange) DoNotReuse() { e.notReusable = true }

// Length returns the length of the response body in bytes, or a negative number if it
// is not known before the end of the body.
func (e *Exchange) Length() int { return int(e.length) }

// Read reads the response body. If the body ends early, it returns io.ErrUnexpectedEOF,
// never io.EOF. A body that extends to the end of the connection ends early if the
// connection does not end in order, or if the peer has not taken the whole request.
func (e *Exchange) Read(p []byte) (int, error) {
	if e.bodyEnded || e.remaining == 0 {
		e.bodyEnded = true
		return 0, io.EOF
	}
	if e.closed {
		return 0, ErrClosed
	}
	count, err := e.body().Read(p)
	if e.remaining > 0 {
		e.remaining -= int64(count)
	}
	if err == nil {
		return count, nil
	}
	return count, e.bodyError(err)
}

// body returns the reader of the response body. An unframed body extends to the end of
// the connection.
func (e *Exchange) body() io.Reader {
	if e.length == unframed {
		return e.conn.reader
	}
	if e.framed == nil {
		e.framed = e.openFramed()
	}
	return e.framed.BodyStream()
}

// openFramed returns a response that reads the body and has none of the head. fasthttp adds
// the fields of a trailer to the header of the response that reads them: there, nobody takes them
// for fields of the head.
func (e *Exchange) openFramed() *fasthttp.Response {
	framed := fasthttp.AcquireResponse()
	framed.StreamBody = true
	framed.Header.SetContentLength(int(e.length))
	_ = framed.ReadBody(e.conn.reader, 0) // reads nothing yet
	return framed
}

// bodyError returns the error of Read for an error of the body's reader.
func (e *Exchange) bodyError(err error) error {
	if !errors.Is(err, io.EOF) {
		return e.cause(err)
	}
	if e.remaining > 0 {
		return io.ErrUnexpectedEOF
	}
	if e.length == unframed && unacknowledged(e.conn.Conn) > 0 {
		return ErrRequestNotTaken
	}
	e.bodyEnded = true
	return io.EOF
}

// Complete reports whether the response body was read to its end.
func (e *Exchange) Complete() bool { return e.bodyEnded || e.remaining == 0 }

// Discard reads the rest of the response body and closes the exchange.
func (e *Exchange) Discard() error {
	_, err := io.Copy(io.Discard, e)
	_ = e.Close()
	return err
}

// Abort closes the connection. Unlike the other methods, it may be called while another
// goroutine reads.
func (e *Exchange) Abort() { _ = e.conn.Close() }

// Close ends the exchange. The connection is reused only if the request was sent
// completely, the response body was read to its end, no bytes follow it, and the peer
// keeps the connection open.
func (e *Exchange) Close() error {
	e.once.Do(e.close)
	return nil
}

func (e *Exchange) close() {
	notCancelled := e.stopAfterFunc()
	keep := notCancelled && e.Complete() && e.length != unframed && !e.notReusable && !e.resp.ConnectionClose()
	e.closed = true
	if e.framed != nil {
		fasthttp.ReleaseResponse(e.framed)
	}
	if keep && e.conn.reader.Buffered() == 0 {
		e.pool.release(e.conn)
		return
	}
	e.pool.discard(e.conn)
}
