package backends

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/attemptlimit"
	"github.com/chicorylug/chicorylug/internal/bytebudget"
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
	ID     model.RequestID
	Server *catalog.Server
	// Route is the route of the request.
	Route model.RouteName
	// Reservation is that of Reserve; nil if the server is the owner of the request's key.
	Reservation *Reservation
	Keyed       bool
	Request     *fasthttp.Request
	// Carriers are the connections that carried earlier sends of the request.
	Carriers *httplink.Carriers
	// Memory holds the bytes of the response, also after Send has returned.
	Memory *bytebudget.Holder
	// Deadline is the time by which the response is needed.
	Deadline time.Time
	// MayGiveUp says whether the attempt may still end when the server takes longer than
	// the service does, so that the request can be sent to another one. It is called from
	// another goroutine at that time, and from time to time after it until it says so. Nil
	// means that the attempt lasts until the deadline.
	MayGiveUp func() bool
	// LatencyObjective is the time within which the response is wanted; zero if there is none.
	LatencyObjective time.Duration
	// ColdPermitUntil is the time until which another daemon permits to send the request to
	// a cold server; zero if none did.
	ColdPermitUntil time.Time
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
	// Paused says that the server asked for a pause in its response.
	Paused bool
	// Sent says that a byte of the request may have reached the server.
	Sent bool
	// Err is the reason why Response is nil; it is nil if Execution is Ran.
	Err  error
	Took time.Duration

	load *dialect.Load // that came with the response; nil if none did
}

// Errors of responses.
var (
	errWrongRequestID   = errors.New("response carries the ID of another request")
	errNoRequestID      = errors.New("response carries no request ID and follows others on its connection")
	errUnsigned         = errors.New("response is not signed by the server")
	errContentEncoded   = errors.New("response has a content encoding")
	errResponseTooLarge = errors.New("response body exceeds 16 MiB")
	errNotRun           = errors.New("server reported that it did not run the request")
)

// ErrNoMemory says that this daemon has no memory for the response. The request ran, or may
// have; another server's response would find no room either.
var ErrNoMemory = errors.New("response body exceeds the memory left for responses")

// ErrNoAnswer says that the server did not answer within the time limit of an attempt,
// before the deadline. The request may still run there.
var ErrNoAnswer = errors.New("no complete response within the time limit of an attempt")

// Send sends a request to a server once, reads the complete response and updates the
// server's state from the result. The request is not sent, and the error is a HeldError,
// if the server has said meanwhile that it leaves or wants no requests for a time.
func (b *Backends) Send(ctx context.Context, a *Attempt) Result {
	e := b.reservedEndpoint(a)
	defer e.state.requestEnded()
	if held := b.heldAttempt(a, time.Now()); held != nil {
		return Result{Execution: NotRun, Err: held}
	}
	started := time.Now()
	b.dialect.WriteServerRequest(&a.Request.Header, time.Until(a.Deadline)-responseTransitTime, a.Server.ID)
	response := fasthttp.AcquireResponse()
	limited, release := b.limit(ctx, e, a)
	defer release()
	result := b.exchange(limited, e, a, response)
	result.Took = time.Since(started)
	b.recordResult(e, a, &result, ctx.Err() != nil, time.Now())
	if result.Response == nil {
		fasthttp.ReleaseResponse(response)
	}
	return result
}

// reservedEndpoint returns the endpoint of an attempt, which counts as a request there.
func (b *Backends) reservedEndpoint(a *Attempt) *endpoint {
	if a.Reservation != nil {
		return a.Reservation.endpoint
	}
	e := b.endpoint(a.Server)
	e.state.requestStarted()
	return e
}

// limit returns the context of an attempt. It ends with ErrNoAnswer when the attempt
// takes longer than the service's attempts do and may be given up.
func (b *Backends) limit(ctx context.Context, e *endpoint, a *Attempt) (context.Context, func()) {
	if a.MayGiveUp == nil {
		return ctx, func() {}
	}
	now := time.Now()
	limit, exists := b.limits.Limit(&attemptlimit.Attempt{
		Service:          a.Server.Service,
		Slowness:         b.slowness(e, now),
		LatencyObjective: a.LatencyObjective,
		Left:             a.Deadline.Sub(now),
	}, now)
	if !exists {
		return ctx, func() {}
	}
	limited, cancel := context.WithCancelCause(ctx)
	asks := askToGiveUp(limit, a.MayGiveUp, func() { cancel(ErrNoAnswer) })
	return limited, func() {
		asks.stop()
		cancel(nil)
	}
}

// ExpectedTime returns the time within which a server answers nearly all requests, by the
// recent ones of its service.
func (b *Backends) ExpectedTime(server *catalog.Server) time.Duration {
	now := time.Now()
	expected, known := b.limits.Tail(server.Service, now)
	if !known {
		expected = b.stats.averageServiceTime(server.Service)
	}
	slowness := max(b.slowness(b.endpoint(server), now), 1)
	return time.Duration(slowness * float64(expected))
}

// exchange sends the request and reads the response.
func (b *Backends) exchange(ctx context.Context, e *endpoint, a *Attempt, response *fasthttp.Response) Result {
	exchange, failure := e.pool.DoWith(ctx, a.Request, response, httplink.Options{
		MayWrite: func() error { return b.mayWrite(a) },
		Carriers: a.Carriers,
	})
	if failure != nil {
		if failure.Sent {
			return Result{Execution: MayHaveRun, Sent: true, Err: failure}
		}
		return Result{Execution: NotRun, Err: failure}
	}
	defer exchange.Close()
	headers := b.dialect.ReadServerResponse(response)
	if err := checkAnswers(a.ID, &headers, exchange); err != nil {
		exchange.Abort()
		return Result{Execution: MayHaveRun, Sent: true, Err: err}
	}
	pause := b.RecordSigns(a.Server, a.ID, &headers)
	body, err := readBody(ctx, exchange, a.Memory)
	if err != nil {
		exchange.Abort()
		return Result{Execution: MayHaveRun, Sent: true, Err: err}
	}
	if headers.HasLoad {
		b.setLoad(e, headers.Load, time.Now())
	}
	if headers.IdleTimeout > 0 {
		e.pool.SetPeerIdleTimeout(headers.IdleTimeout)
	}
	response.SetBodyRaw(body)
	result := b.classify(response, headers, pause)
	if headers.HasLoad {
		result.load = &headers.Load
	}
	return result
}

// checkAnswers returns an error unless a response certainly belongs to the request with the
// given ID. One that states no ID does only if it is the first one on its connection; none
// follows it there.
func checkAnswers(id model.RequestID, headers *dialect.ServerResponse, exchange *httplink.Exchange) error {
	switch {
	case headers.ID == id && id != "":
		return nil
	case headers.ID != "":
		return errWrongRequestID
	case !exchange.First():
		return errNoRequestID
	}
	exchange.DoNotReuse()
	return nil
}

// mayWrite returns an error if the attempt's server has said, while the connection was
// opened, that it leaves or wants no requests for a time, or if it is cold and must not get
// the request now.
func (b *Backends) mayWrite(a *Attempt) error {
	now := time.Now()
	if held := b.heldAttempt(a, now); held != nil {
		return held
	}
	if held := b.takeCold(a, now); held != nil {
		return held
	}
	return nil
}

// classify returns the result for a complete response. A response that lacks the
// server's signature header or has a content encoding is not passed on, and the request
// counts as one that may have run. pause is nil unless the server asked for a pause.
func (b *Backends) classify(response *fasthttp.Response, headers dialect.ServerResponse, pause *HeldError) Result {
	switch {
	case headers.Misdirected:
		return Result{Execution: NotRun, Sent: true, Misdirected: true, Err: errNotRun}
	case headers.NotRun && pause != nil:
		return Result{Execution: NotRun, Sent: true, Paused: true, Err: pause}
	case headers.NotRun:
		return Result{Execution: NotRun, Sent: true, Err: errNotRun}
	case !headers.Signed:
		return Result{Execution: MayHaveRun, Sent: true, Err: errUnsigned}
	case len(response.Header.ContentEncoding()) > 0:
		return Result{Execution: MayHaveRun, Sent: true, Err: errContentEncoded}
	default:
		return Result{Execution: Ran, Sent: true, Paused: pause != nil, Response: response}
	}
}

// recordResult updates the server's state and the statistics from the result of an
// attempt. cancelled says that the context ended during the attempt. A took of -1 stands
// for a run whose duration does not count, since by the server's load it may have queued
// there. A NotRun result with Sent that is not misdirected is taken to mean that the server
// refused the request because it was full.
func (b *Backends) recordResult(e *endpoint, a *Attempt, r *Result, cancelled bool, now time.Time) {
	e.state.mu.Lock()
	load := e.state.load
	e.state.mu.Unlock()
	if r.Execution == Ran || (r.Execution == NotRun && r.Sent) {
		e.state.recordAnswer(now)
	}
	switch {
	case r.Execution == Ran:
		b.limits.Record(a.Server.Service, r.Took, now)
		took := time.Duration(-1)
		even, succeeded := b.recordRun(e, a, r, now)
		if succeeded && !queued(load, a.Server) {
			took = r.Took
		}
		b.stats.recordResponseSize(a.Server.Service, len(r.Response.Body()))
		e.state.recordOutcome(r.Response.StatusCode() >= fasthttp.StatusInternalServerError, now)
		b.stats.recordResponse(a.Server.Service, a.Server.ID, a.Keyed, took, even, load.Running+load.Waiting)
	case errors.Is(r.Err, ErrNoMemory):
		e.state.recordAnswer(now) // its head came: this is not a failure of the server
	case isHeld(r.Err):
		// The server is not full or failing: the gate keeps what it said.
	case r.Misdirected:
		// The key's owner has changed: this is not a failure of the server.
	case r.Execution == NotRun && r.Sent:
		e.state.eject(now, shedEjection)
		if a.Keyed {
			b.stats.recordShed(a.Server.Service, a.Server.ID, load.Running+load.Waiting)
		}
	case r.Execution == NotRun && cancelled && now.Before(a.Deadline):
		// The request ended before its connection was open: this is not a failure of the server.
	case r.Execution == NotRun && errors.Is(r.Err, httplink.ErrPoolFull):
		// This daemon's limit of connections is reached: this is not a failure of the server.
	case r.Execution == NotRun:
		e.state.recordOutcome(true, now)
		e.state.eject(now, dialFailureEjection)
		b.recordUnreachable(a.Server, now)
	case cancelled && now.Before(a.Deadline):
		// The caller closed its connection: this is not a failure of the server.
	case !cancelled && !errors.Is(r.Err, ErrNoAnswer):
		e.state.recordOutcome(true, now) // a lost or spoiled response says little by itself
	case e.state.answeredSince(now.Add(-r.Took)):
		b.recordNoAnswer(e, a, r, now)
		// The server is alive: it was too full to take the request, or the connection failed.
		e.state.eject(now, silentEjection)
		b.recordSilence(a, now)
	default:
		b.recordNoAnswer(e, a, r, now)
		e.state.recordOutcome(true, now)
		e.state.eject(now, noResponseEjection)
		b.recordUnreachable(a.Server, now)
	}
}
