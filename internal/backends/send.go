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
	maxResponseBytes    = 16 << 20              // size limit of a response body, which is buffered in memory
	responseTransitTime = 10 * time.Millisecond // reserved for the transfer of the response
)

// Execution says whether the server ran the request of an attempt.
type Execution int

// Values of Execution.
const (
	// NotRun: no byte of the request was sent, or the server reported that it did not run the request.
	NotRun Execution = iota
	// MayHaveRun: the request was sent, but no valid response was received.
	MayHaveRun
	// Ran: the server ran the request and a complete response was received.
	Ran
)

// Attempt is one send of a request to one server.
type Attempt struct {
	ID      model.RequestID
	Server  *catalog.Server
	Keyed   bool
	Request *fasthttp.Request
	// Deadline is the time by which the response is needed.
	Deadline time.Time
}

// Result is the outcome of one attempt.
type Result struct {
	Execution Execution
	// Response is the server's complete response; it is nil unless Execution is Ran.
	// The receiver must release it.
	Response *fasthttp.Response
	// Misdirected says that the server rejected the request because it does not own
	// the key or is not the expected server.
	Misdirected bool
	// Sent says that a byte of the request may have reached the server.
	Sent bool
	// Err is the reason why Response is nil; it is nil if Execution is Ran.
	Err  error
	Took time.Duration
}

// Errors of responses.
var (
	errWrongRequestID   = errors.New("response carries the ID of another request")
	errUnsigned         = errors.New("response is not signed by the server")
	errContentEncoded   = errors.New("response has a content encoding")
	errResponseTooLarge = errors.New("response body exceeds 16 MiB")
	errNotRun           = errors.New("server reported that it did not run the request")
)

// Send sends a request to a server once, reads the complete response and updates the
// server's state from the result.
func (b *Backends) Send(ctx context.Context, a *Attempt) Result {
	e := b.endpoint(a.Server)
	started := time.Now()
	b.dialect.WriteServerRequest(&a.Request.Header, time.Until(a.Deadline)-responseTransitTime, a.Server.ID)
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

// exchange sends the request and reads the response.
func (b *Backends) exchange(ctx context.Context, e *endpoint, a *Attempt, response *fasthttp.Response) Result {
	exchange, failure := e.pool.Do(ctx, a.Request, response)
	if failure != nil {
		if failure.Sent {
			return Result{Execution: MayHaveRun, Sent: true, Err: failure}
		}
		return Result{Execution: NotRun, Err: failure}
	}
	defer exchange.Close()
	headers := b.dialect.ReadServerResponse(response)
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
	if headers.IdleTimeout > 0 {
		e.pool.SetPeerIdleTimeout(headers.IdleTimeout)
	}
	response.SetBodyRaw(body)
	return b.classify(response, headers)
}

// classify returns the result for a complete response. A response that lacks the
// server's signature header or has a content encoding is not passed on, and the request
// counts as one that may have run.
func (b *Backends) classify(response *fasthttp.Response, headers dialect.ServerResponse) Result {
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

// readBody reads a response body of at most maxResponseBytes.
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
		return nil, errors.Wrap(err, "read response body")
	}
	if read > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	return body.Bytes(), nil
}

// recordResult updates the server's state and the statistics from the result of an
// attempt. cancelled says that the context ended during the attempt.
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
		// The key's owner has changed: this is not a failure of the server.
	case r.Execution == NotRun && r.Sent:
		e.state.eject(now, shedEjection)
		if a.Keyed {
			b.stats.recordShed(a.Server.Service, a.Server.ID, load.Running+load.Waiting)
		}
	case r.Execution == NotRun && errors.Is(r.Err, httplink.ErrPoolFull):
		// This daemon's limit of connections is reached: this is not a failure of the server.
	case r.Execution == NotRun:
		e.state.recordOutcome(true, now)
		e.state.eject(now, dialFailureEjection)
	case cancelled && now.Before(a.Deadline):
		// The caller closed its connection: this is not a failure of the server.
	default:
		e.state.recordOutcome(true, now)
		e.state.eject(now, noResponseEjection)
	}
}
