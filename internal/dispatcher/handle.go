package dispatcher

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/tally"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// handle handles one request from an entry. A request for the health path without
// the dispatch headers gets an empty response, which shows that the daemon is running.
func (d *Dispatcher) handle(ctx *fasthttp.RequestCtx) {
	work, err := wire.ReadWork(&ctx.Request.Header)
	if err != nil && string(ctx.Path()) == wire.PathHealth {
		return
	}
	if err != nil {
		d.refuse(ctx, reason.New(reason.BadRequest, "dispatch", ctx.RemoteAddr().String(), "%v", err))
		return
	}
	r := d.newRequest(ctx, work)
	if refusal := r.run(); refusal != nil {
		r.refused = true
		refusal.RequestID = work.Request
		r.trace("refused", refusal.Error())
		d.refuse(ctx, refusal)
	}
	if !r.streaming {
		r.close()
	}
}

func (d *Dispatcher) newRequest(ctx *fasthttp.RequestCtx, work *wire.Work) *request {
	r := &request{dispatcher: d, http: ctx, conn: ctx.Conn(), work: work, arrived: time.Now()}
	cancellable, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	r.countEnd = d.metrics.Tally().Begin(tally.Labels{Pool: work.Server.Pool, Server: work.Server.Server})
	r.ctx, r.cancelDeadline = context.WithDeadline(cancellable, work.Deadline)
	return r
}

func (d *Dispatcher) refuse(ctx *fasthttp.RequestCtx, refusal *reason.Error) {
	d.metrics.CountRefusal(refusal.Code)
	ctx.Response.Reset()
	ctx.SetStatusCode(refusal.Code.Status())
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(wire.HeaderReason, string(refusal.Code))
	ctx.SetBody(refusal.JSON())
}

// refusalFor returns the refusal for a failed exchange. The outcome is unknown if a
// byte of the request may have reached the server.
func (r *request) refusalFor(failure *httplink.Failure) *reason.Error {
	peer := r.work.Server.String()
	refusal := r.classifyFailure(failure, peer)
	if failure.Sent {
		refusal.Outcome = reason.Unknown
	}
	return refusal
}

// classifyFailure returns the refusal for a failed exchange without regard to its
// outcome, and reports a server that could not be reached or whose process ended.
func (r *request) classifyFailure(failure *httplink.Failure, peer string) *reason.Error {
	if r.attemptOver() {
		return r.attemptRefusal(failure.Error())
	}
	if failure.ShortUpload {
		return reason.New(reason.ShortUpload, "send", peer, "%v", failure)
	}
	if errors.Is(failure, httplink.ErrPoolFull) {
		return reason.New(reason.QueueFull, "connect", peer, "%v", failure)
	}
	if failure.Stage == httplink.StageDial {
		r.dispatcher.reportFailure(r.server, failure)
		return reason.New(reason.ServerUnreachable, "connect", peer, "%v", failure)
	}
	return r.connectionLost(failure)
}

// deadlineTolerance is the time before an attempt's deadline from which on the server
// may already have given up: it gets the time left in whole milliseconds and closes the
// connection then, just before the timer of this daemon fires.
const deadlineTolerance = 5 * time.Millisecond

// attemptOver reports whether the attempt has ended, or its deadline is so close that
// the server has given up.
func (r *request) attemptOver() bool {
	deadline, limited := r.attempt.Deadline()
	return r.attempt.Err() != nil || (limited && time.Until(deadline) < deadlineTolerance)
}

// attemptRefusal returns the refusal for the end of the attempt's context.
func (r *request) attemptRefusal(detail string) *reason.Error {
	peer := r.work.Server.String()
	var abandoned *ownership.AbandonedError
	switch {
	case errors.As(context.Cause(r.attempt), &abandoned):
		return reason.New(reason.ServerLost, "send", peer, "%v", abandoned)
	case r.ctx.Err() != nil:
		return r.contextRefusal(reason.NotRun, "send")
	default:
		return reason.New(reason.ServerTimeout, "send", peer, "the attempt took too long: %s", detail)
	}
}

// connectionLost returns the refusal for a broken connection. If the server's process
// has ended, the refusal names the crash.
func (r *request) connectionLost(err error) *reason.Error {
	crash := r.dispatcher.detectCrash(r.server, r.began)
	refusal := reason.NewUnknown(reason.ServerLost, "send", r.work.Server.String(), "%v", err)
	refusal.CrashID = string(crash)
	return refusal
}
