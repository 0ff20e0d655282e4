package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/callwatch"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/tally"
	"github.com/chicorylug/chicorylug/internal/wire"
)

const traceEvery = 256 // one in so many ordinary requests is traced

// call is one request of a caller while the entry works on it.
type call struct {
	entry    *Entry
	ctx      *fasthttp.RequestCtx
	found    *match
	work     *wire.Work
	upload   *upload
	reserved int64 // bytes of buffers taken from the rank

	// context ends at the deadline, and early when the caller is gone.
	context    context.Context
	watched    *callwatch.Call
	tallied    func(refused bool) // counts the end of the call
	refused    bool
	streams    bool // the answer's body is read after the handler returned
	mayHaveRun bool // an attempt ended with an unknown outcome
}

// handle serves one request of a caller.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	id := e.ids.next()
	closing := ctx.Request.Header.ConnectionClose() || e.leaving.Load()
	answeredAs, refusal := e.serve(ctx, id)
	if refusal != nil {
		refusal.RequestID = id
		e.refuse(ctx, refusal)
		answeredAs = id
	}
	ctx.Response.Header.Set(wire.HeaderRequestID, string(answeredAs))
	if closing {
		ctx.SetConnectionClose()
	}
}

// refuse answers with a refusal.
func (e *Entry) refuse(ctx *fasthttp.RequestCtx, refusal *reason.Error) {
	e.metrics.Refused(refusal.Code)
	e.journal.Trace(journal.Step{Request: refusal.RequestID, Step: "entry: refused", Detail: refusal.Error()})
	if refusal.RetryAfter == 0 {
		refusal.RetryAfter = refusal.Code.RetryAfter()
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(refusal.Code.Status())
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(wire.HeaderReason, string(refusal.Code))
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	ctx.SetBody(refusal.JSON())
	discardUpload(ctx)
}

// refuseUnread answers a caller whose request could not be read.
func (e *Entry) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	refusal := badRequest("the request can't be read: %v", err)
	refusal.RequestID = e.ids.next()
	e.refuse(ctx, refusal)
	ctx.Response.Header.Set(wire.HeaderRequestID, string(refusal.RequestID))
	ctx.SetConnectionClose()
}

// serve finds the route, admits the request and forwards it. It returns the
// id of the request whose answer was set.
func (e *Entry) serve(ctx *fasthttp.RequestCtx, id model.RequestID) (model.RequestID, *reason.Error) {
	snapshot := e.directory.Load()
	if snapshot.Settings == nil {
		return id, reason.New(reason.NotReady, "route", "", "no settings in force")
	}
	found, refusal := e.route(ctx, snapshot.Settings)
	if refusal != nil {
		return id, refusal
	}
	rank := e.admission.rank(found.rank)
	tallied := e.metrics.Tally().Begin(tally.Subject{Pool: found.route.Pool, Rank: found.route.Rank})
	if refusal := rank.enter(); refusal != nil {
		tallied(true)
		return id, refusal
	}
	c := e.newCall(ctx, found, id)
	c.tallied = tallied
	answeredAs, refusal := c.run()
	c.refused = refusal != nil
	if !c.streams {
		c.end()
	}
	return answeredAs, refusal
}

// cut counts an answer that was cut off on its way to the caller.
func (e *Entry) cut(c *call, cause *reason.Error) {
	e.metrics.Refused(cause.Code)
	e.journal.Trace(journal.Step{Request: c.work.Request, Step: "entry: answer cut off", Detail: cause.Error()})
}

// route checks what the caller wrote and finds its route.
func (e *Entry) route(ctx *fasthttp.RequestCtx, compiled *settings.Compiled) (*match, *reason.Error) {
	if !ctx.Request.Header.IsHTTP11() {
		return nil, badRequest("HTTP/1.1 is needed")
	}
	if err := checkPath(pathOf(ctx.Request.Header.RequestURI())); err != nil {
		return nil, badRequest("%v", err)
	}
	found := e.routes.find(ctx, compiled)
	if found == nil {
		return nil, noRoute(ctx)
	}
	if found.pool.Keyed && found.key == "" {
		return nil, reason.New(reason.KeyMissing, "route", string(found.route.Name), "the path names no key")
	}
	key, err := readKey(found.key)
	if err != nil {
		return nil, badRequest("%v", err)
	}
	found.key = key
	return found, nil
}

func noRoute(ctx *fasthttp.RequestCtx) *reason.Error {
	if ctx.Response.StatusCode() == fasthttp.StatusMethodNotAllowed {
		return reason.New(reason.MethodNotAllowed, "route", "", "no route for %s %s", ctx.Method(), ctx.Path())
	}
	return reason.New(reason.NoRoute, "route", "", "no route for %s %s", ctx.Method(), ctx.Path())
}

func (e *Entry) newCall(ctx *fasthttp.RequestCtx, found *match, id model.RequestID) *call {
	c := &call{entry: e, ctx: ctx, found: found}
	c.work = &wire.Work{
		Request:     id,
		Route:       found.route.Name,
		Server:      model.ServerRef{Pool: found.route.Pool},
		Rank:        found.route.Rank,
		Key:         found.key,
		Once:        found.route.Repeat == settings.Once,
		Idempotency: string(ctx.Request.Header.Peek(wire.HeaderIdempotencyKey)),
		Deadline:    time.Now().Add(found.route.Timeout()),
		Trace:       e.traced(ctx),
	}
	return c
}

// traced reports that the steps of a request are kept: the caller asked for it,
// or it is one of the sample.
func (e *Entry) traced(ctx *fasthttp.RequestCtx) bool {
	return e.sample.Add(1)%traceEvery == 0 || string(ctx.Request.Header.Peek(wire.HeaderTrace)) == "1"
}

// run checks the rest of the request, watches the caller and forwards.
func (c *call) run() (model.RequestID, *reason.Error) {
	if refusal := c.checkIdempotency(); refusal != nil {
		return c.work.Request, refusal
	}
	if refusal := c.readUpload(); refusal != nil {
		return c.work.Request, refusal
	}
	cleanRequest(&c.ctx.Request.Header)
	c.watchCall()
	if c.work.Once {
		return c.runOnce()
	}
	return c.work.Request, c.attempts()
}

// watchCall begins to watch the deadline and, unless the request goes on without
// its caller, the caller's connection.
func (c *call) watchCall() {
	var cancel context.CancelCauseFunc
	c.context, cancel = context.WithCancelCause(context.Background())
	c.watched = &callwatch.Call{Conn: c.ctx.Conn(), Deadline: c.work.Deadline, Cancel: cancel}
	if c.work.Once {
		c.watched.Conn = nil
	}
	c.entry.watch.Add(c.watched)
}

func (c *call) checkIdempotency() *reason.Error {
	if err := checkIdempotencyKey(c.work.Idempotency); err != nil {
		return badRequest("%v", err)
	}
	if len(c.ctx.Request.Header.PeekAll(wire.HeaderIdempotencyKey)) > 1 {
		return badRequest("more than one %s", wire.HeaderIdempotencyKey)
	}
	if c.work.Once && c.work.Idempotency == "" {
		return reason.New(reason.IdempotencyMissing, "check", string(c.found.route.Name),
			"the route runs requests at most once and needs the header %s", wire.HeaderIdempotencyKey)
	}
	return nil
}

// readUpload takes buffer space and reads the body as far as it is held.
func (c *call) readUpload() *reason.Error {
	held := int64(c.ctx.Request.Header.ContentLength())
	if held == unknownLength {
		held = maxReplayBytes
	}
	if held > 0 && held <= maxReplayBytes {
		if refusal := c.reserve(held); refusal != nil {
			return refusal
		}
	}
	upload, refusal := readUpload(c.ctx, c.found.route, c.work.Deadline)
	c.upload = upload
	return refusal
}

// reserve takes buffer space until the end of the call.
func (c *call) reserve(bytes int64) *reason.Error {
	if refusal := c.entry.admission.rank(c.found.rank).reserve(bytes); refusal != nil {
		return refusal
	}
	c.reserved += bytes
	return nil
}

// release gives buffer space back before the end of the call.
func (c *call) release(bytes int64) {
	c.reserved -= bytes
	c.entry.admission.rank(c.found.rank).free(bytes)
}

// end gives back what the call took.
func (c *call) end() {
	c.tallied(c.refused)
	if c.watched != nil {
		c.entry.watch.Remove(c.watched)
		c.watched.Cancel(nil)
	}
	rank := c.entry.admission.rank(c.found.rank)
	rank.free(c.reserved)
	rank.leave()
}

func (c *call) trace(step, detail string) {
	if !c.work.Trace {
		return
	}
	c.entry.journal.Trace(journal.Step{
		Request: c.work.Request,
		Pool:    c.work.Server.Pool,
		Key:     c.work.Key,
		Step:    "entry: " + step,
		Detail:  detail,
	})
}
