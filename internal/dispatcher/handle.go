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

// handle serves one request of an entry, or answers its question whether the
// daemon lives.
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
	if !r.streams {
		r.end()
	}
}

func (d *Dispatcher) newRequest(ctx *fasthttp.RequestCtx, work *wire.Work) *request {
	r := &request{dispatcher: d, http: ctx, conn: ctx.Conn(), work: work, arrived: time.Now()}
	cancellable, cancel := context.WithCancelCause(context.Background())
	r.cancel = cancel
	r.tallied = d.metrics.Tally().Begin(tally.Subject{Pool: work.Server.Pool, Server: work.Server.Server})
	r.ctx, r.endDeadline = context.WithDeadline(cancellable, work.Deadline)
	return r
}

func (d *Dispatcher) refuse(ctx *fasthttp.RequestCtx, refusal *reason.Error) {
	d.metrics.Refused(refusal.Code)
	ctx.Response.Reset()
	ctx.SetStatusCode(refusal.Code.Status())
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(wire.HeaderReason, string(refusal.Code))
	ctx.SetBody(refusal.JSON())
}

// failed turns a failed exchange into a refusal and reports the server.
func (r *request) failed(failure *httplink.Failure) *reason.Error {
	peer := r.work.Server.String()
	refusal := r.causeOf(failure, peer)
	if failure.Sent {
		refusal.Outcome = reason.Unknown
	}
	return refusal
}

func (r *request) causeOf(failure *httplink.Failure, peer string) *reason.Error {
	if r.attempt.Err() != nil {
		return r.stopped(failure.Error())
	}
	if failure.ShortUpload {
		return reason.New(reason.ShortUpload, "send", peer, "%v", failure)
	}
	if errors.Is(failure, httplink.ErrPoolFull) {
		return reason.New(reason.QueueFull, "connect", peer, "%v", failure)
	}
	if failure.Stage == httplink.StageDial {
		r.dispatcher.unanswered(r.server, failure)
		return reason.New(reason.ServerUnreachable, "connect", peer, "%v", failure)
	}
	return r.broken(failure)
}

// stopped tells why the attempt's context ended.
func (r *request) stopped(detail string) *reason.Error {
	peer := r.work.Server.String()
	var abandoned *ownership.AbandonedError
	switch {
	case errors.As(context.Cause(r.attempt), &abandoned):
		return reason.New(reason.ServerLost, "send", peer, "%v", abandoned)
	case r.ctx.Err() != nil:
		return r.ended(reason.NotRun, "send")
	default:
		return reason.New(reason.ServerTimeout, "send", peer, "the attempt took too long: %s", detail)
	}
}

// broken names the death of the server under which a connection broke.
func (r *request) broken(err error) *reason.Error {
	death := r.dispatcher.crashed(r.server, r.began)
	refusal := reason.NewUnknown(reason.ServerLost, "send", r.work.Server.String(), "%v", err)
	refusal.CrashID = string(death)
	return refusal
}
