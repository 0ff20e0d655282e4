package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// Pauses between attempts.
const (
	backoffFirst = 5 * time.Millisecond
	backoffLimit = 200 * time.Millisecond
)

// maxReplayBytes is the size up to which a body is held so that it can be sent again.
const maxReplayBytes = 64 * 1024

// handle serves one request of a caller.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	request := model.RequestID(uuid.NewString())
	ctx.Request.Header.Set(wire.HeaderRequestID, string(request))
	refusal := e.serve(ctx, request)
	ctx.Response.Header.Set(wire.HeaderRequestID, string(request))
	if refusal != nil {
		refusal.RequestID = request
		e.refuse(ctx, refusal)
	}
}

func (e *Entry) refuse(ctx *fasthttp.RequestCtx, refusal *reason.Error) {
	e.metrics.Refused(refusal.Code)
	e.journal.Trace(journal.Step{Request: refusal.RequestID, Step: "entry: refused", Detail: refusal.Error()})
	ctx.Response.ResetBody()
	ctx.SetStatusCode(refusal.Code.Status())
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(wire.HeaderReason, string(refusal.Code))
	ctx.SetBody(refusal.JSON())
}

// serve finds the route and forwards the request until it is answered, may not
// be sent again, or its deadline has passed.
func (e *Entry) serve(ctx *fasthttp.RequestCtx, request model.RequestID) *reason.Error {
	snapshot := e.directory.Load()
	if snapshot.Settings == nil {
		return reason.New(reason.NotReady, "route", "", "no settings in force")
	}
	found := e.routes.find(ctx, snapshot.Settings)
	if found == nil {
		return noRoute(ctx)
	}
	if found.pool.Keyed && found.key == "" {
		return reason.New(reason.KeyMissing, "route", string(found.route.Name), "the path names no key")
	}
	work := &wire.Work{
		Request:     request,
		Route:       found.route.Name,
		Server:      model.ServerRef{Pool: found.route.Pool},
		Rank:        found.route.Rank,
		Key:         found.key,
		Idempotency: string(ctx.Request.Header.Peek(wire.HeaderIdempotencyKey)),
		Deadline:    time.Now().Add(found.route.Timeout()),
	}
	return e.attempts(ctx, work)
}

func noRoute(ctx *fasthttp.RequestCtx) *reason.Error {
	if ctx.Response.StatusCode() == fasthttp.StatusMethodNotAllowed {
		return reason.New(reason.MethodNotAllowed, "route", "", "no route for %s %s", ctx.Method(), ctx.Path())
	}
	return reason.New(reason.NoRoute, "route", "", "no route for %s %s", ctx.Method(), ctx.Path())
}

func (e *Entry) attempts(ctx *fasthttp.RequestCtx, work *wire.Work) *reason.Error {
	replay := bodyFits(ctx)
	pause := backoffFirst
	for {
		refusal := e.attempt(ctx, work, replay)
		if refusal == nil || !replay || !retryable(refusal) {
			return refusal
		}
		if time.Until(work.Deadline) < pause {
			return refusal
		}
		e.metrics.Retried(refusal.Code)
		time.Sleep(pause/2 + rand.N(pause/2))
		pause = min(2*pause, backoffLimit)
	}
}

// bodyFits reads a small body into memory and reports whether it can be sent again.
func bodyFits(ctx *fasthttp.RequestCtx) bool {
	length := ctx.Request.Header.ContentLength()
	if length < 0 || length > maxReplayBytes {
		return length < 0 && ctx.RequestBodyStream() == nil
	}
	_ = ctx.PostBody()
	return true
}

// retryable reports that the request did not run and another attempt may find its owner.
func retryable(refusal *reason.Error) bool {
	if refusal.Outcome != reason.NotRun {
		return false
	}
	switch refusal.Code {
	case reason.WrongEpoch, reason.ShardMoving, reason.NotDispatcher, reason.PermitExpired,
		reason.NoOwner, reason.ServerDraining, reason.ServerUnreachable, reason.DispatcherLost:
		return true
	default:
		return false
	}
}

// attempt sends the request once, under the assignment of this moment.
func (e *Entry) attempt(ctx *fasthttp.RequestCtx, work *wire.Work, replay bool) *reason.Error {
	dispatcher, refusal := e.target(work)
	if refusal != nil {
		return refusal
	}
	forwarded := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(forwarded)
	ctx.Request.Header.CopyTo(&forwarded.Header)
	work.Write(&forwarded.Header)
	forwarded.UseHostHeader = true
	if replay {
		forwarded.SetBodyRaw(ctx.PostBody())
	} else {
		forwarded.SetBodyStream(ctx.RequestBodyStream(), ctx.Request.Header.ContentLength())
	}
	return e.forward(ctx, work, dispatcher, forwarded)
}

// target chooses server and dispatcher and completes the work.
func (e *Entry) target(work *wire.Work) (*ownership.Dispatcher, *reason.Error) {
	assignment := e.directory.Load().Pools[work.Server.Pool]
	if assignment == nil {
		return nil, reason.New(reason.NoOwner, "route", string(work.Server.Pool), "the pool has no assignment yet")
	}
	work.Term = assignment.Term
	work.Shard = assignment.ShardOf(work.Key)
	server := chooseServer(assignment, work)
	if server == nil || server.Active() == nil {
		return nil, reason.New(reason.NoOwner, "route", string(work.Server.Pool), "no server owns the key now")
	}
	work.Server.Server = server.ID
	return server.Active(), nil
}

func chooseServer(assignment *ownership.Assignment, work *wire.Work) *ownership.Server {
	if shard, ok := assignment.Shard(work.Shard); ok {
		work.Epoch = shard.Epoch
		return assignment.Server(shard.Server)
	}
	var usable []*ownership.Server
	for i := range assignment.Servers {
		if assignment.Servers[i].State == ownership.ServerActive {
			usable = append(usable, &assignment.Servers[i])
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[rand.IntN(len(usable))]
}

func (e *Entry) forward(ctx *fasthttp.RequestCtx, work *wire.Work, dispatcher *ownership.Dispatcher, forwarded *fasthttp.Request) *reason.Error {
	attempt, cancel := context.WithDeadline(context.Background(), work.Deadline)
	answer := fasthttp.AcquireResponse()
	exchange, failure := e.link(dispatcher.Dispatch).Do(attempt, forwarded, answer)
	if failure != nil {
		cancel()
		fasthttp.ReleaseResponse(answer)
		return forwardFailure(dispatcher, failure)
	}
	body := &relay{exchange: exchange, answer: answer, cancel: cancel}
	if len(answer.Header.Peek(wire.HeaderReason)) > 0 {
		return body.refusal(dispatcher)
	}
	answer.Header.CopyTo(&ctx.Response.Header)
	ctx.Response.SetBodyStream(body, exchange.Length())
	return nil
}

func forwardFailure(dispatcher *ownership.Dispatcher, failure *httplink.Failure) *reason.Error {
	peer := string(dispatcher.Daemon)
	if failure.Sent {
		return reason.NewUnknown(reason.DispatcherLost, "forward", peer, "%v", failure)
	}
	return reason.New(reason.DispatcherLost, "forward", peer, "%v", failure)
}
