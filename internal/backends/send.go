package backends

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/model"
)

const (
	maxResponseBytes    = 16 << 20              // an answer is held whole up to this size
	responseTransitTime = 10 * time.Millisecond // time kept back for the way of the answer
)

// Execution says whether an attempt ran at its server.
type Execution int

// What is known of an attempt.
const (
	// NotRun: no byte reached the server, or the server said that it did not run it.
	NotRun Execution = iota
	// MayHaveRun: the request was sent and no answer of its own came.
	MayHaveRun
	// Ran: the server answered it.
	Ran
)

// Attempt is a request on its way to one server.
type Attempt struct {
	ID      model.RequestID
	Server  *catalog.Server
	Keyed   bool
	Request *fasthttp.Request
	// Deadline is the moment by which the answer is wanted.
	Deadline time.Time
}

// Result is the outcome of one attempt.
type Result struct {
	Execution Execution
	// Response is the server's whole answer; it is nil unless Ran is RanYes.
	Response *fasthttp.Response
	// Misdirected says that the server does not own the key or is another one.
	Misdirected bool
	// Sent says that the server saw the request, run or not.
	Sent bool
	// Err tells what went wrong; nil when the answer is the server's own.
	Err  error
	Took time.Duration
}

// Errors of answers.
var (
	errWrongRequestID   = errors.New("the answer is for another request")
	errUnsigned         = errors.New("the answer bears no signature")
	errContentEncoded   = errors.New("the answer is encoded")
	errResponseTooLarge = errors.New("the answer is too large")
	errNotRun           = errors.New("the server did not run the request")
)

// Send sends a request to a server once and reads the whole answer.
func (b *Backends) Send(ctx context.Context, a *Attempt) Result {
	e := b.endpoint(a.Server)
	started := time.Now()
	b.dialect.WriteServer(&a.Request.Header, time.Until(a.Deadline)-responseTransitTime, a.Server.ID)
	e.state.requestStarted()
	defer e.state.requestEnded()
	response := fasthttp.AcquireResponse()
	result := b.exchange(ctx, e, a, response)
	result.Took = time.Since(started)
	b.recordResult(e, a, &result, ctx.Err() != nil)
	if result.Response == nil {
		fasthttp.ReleaseResponse(response)
	}
	return result
}

func (b *Backends) exchange(ctx context.Context, e *endpoint, a *Attempt, response *fasthttp.Response) Result {
	exchange, failure := e.pool.Do(ctx, a.Request, response)
	if failure != nil {
		if failure.Sent {
			return Result{Execution: MayHaveRun, Sent: true, Err: failure}
		}
		return Result{Execution: NotRun, Err: failure}
	}
	defer exchange.Close()
	headers := b.dialect.ReadServer(response)
	if headers.ID != "" && headers.ID != a.ID {
		exchange.Abort()
		return Result{Execution: MayHaveRun, Sent: true, Err: errWrongRequestID}
	}
	body, err := readBody(exchange)
	if err != nil {
		exchange.Abort()
		return Result{Execution: MayHaveRun, Sent: true, Err: err}
	}
	if headers.HasLoad {
		e.state.setLoad(headers.Load, time.Now())
	}
	if headers.KeepIdle > 0 {
		e.pool.SetPeerIdleTimeout(headers.KeepIdle)
	}
	response.SetBodyRaw(body)
	return b.classify(response, headers)
}

// classify tells what a whole answer means.
func (b *Backends) classify(response *fasthttp.Response, headers dialect.ServerAnswer) Result {
	switch {
	case headers.Misdirected:
		return Result{Execution: NotRun, Sent: true, Misdirected: true, Err: errNotRun}
	case headers.NotRun:
		return Result{Execution: NotRun, Sent: true, Err: errNotRun}
	case !headers.Signed:
		return Result{Execution: MayHaveRun, Sent: true, Err: errUnsigned}
	case len(response.Header.ContentEncoding()) > 0:
		return Result{Execution: MayHaveRun, Sent: true, Err: errContentEncoded}
	default:
		return Result{Execution: Ran, Sent: true, Response: response}
	}
}

func readBody(exchange *httplink.Exchange) ([]byte, error) {
	if length := exchange.Length(); length > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	var body bytes.Buffer
	if length := exchange.Length(); length > 0 {
		body.Grow(length + bytes.MinRead)
	}
	read, err := io.Copy(&body, io.LimitReader(exchange, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if read > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	return body.Bytes(), nil
}

// recordResult learns from the outcome of an attempt.
func (b *Backends) recordResult(e *endpoint, a *Attempt, r *Result, cancelled bool) {
	now := time.Now()
	e.state.mu.Lock()
	load := e.state.load
	e.state.mu.Unlock()
	switch {
	case r.Execution == Ran:
		took := time.Duration(-1)
		if load.Waiting == 0 && load.Running <= a.Server.Slots {
			took = r.Took
			e.state.recordServiceTime(took)
		}
		b.stats.recordResponseSize(a.Server.Service, len(r.Response.Body()))
		e.state.recordOutcome(r.Response.StatusCode() >= fasthttp.StatusInternalServerError, now)
		b.stats.recordResponse(a.Server.Service, a.Server.ID, a.Keyed, took, load.Running+load.Waiting)
	case r.Misdirected:
	case r.Execution == NotRun && r.Sent:
		e.state.eject(now, shedEjection)
		if a.Keyed {
			b.stats.recordShed(a.Server.Service, a.Server.ID, load.Running+load.Waiting)
		}
	case r.Execution == NotRun && errors.Is(r.Err, httplink.ErrPoolFull):
	case r.Execution == NotRun:
		e.state.recordOutcome(true, now)
		e.state.eject(now, dialFailureEjection)
	case cancelled && now.Before(a.Deadline):
		// The caller left: the server is not to blame.
	default:
		e.state.recordOutcome(true, now)
		e.state.eject(now, noResponseEjection)
	}
}
