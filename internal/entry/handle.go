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

const traceEvery = 256 // one of this many requests is traced even if its caller did not ask for it

// call is the state of one caller's request while the entry handles it.
type call struct {
	entry         *Entry
	ctx           *fasthttp.RequestCtx
	match         *match
	work          *wire.Work // what the dispatcher is sent about the request, in headers
	upload        *upload
	reservedBytes int64 // buffer space taken from the rank's limit

	// context ends at the deadline, or earlier when the caller closes its
	// connection. The connection is not watched for an at-most-once request, nor
	// while a response is streamed.
	context     context.Context
	watched     *callwatch.Call
	finishTally func(refused bool) // counts the call as ended; see tally.Tally.Begin
	refused     bool               // the call ended with a refusal
	streaming   bool               // the response body is sent after the handler has returned
	mayHaveRun  bool               // at least one attempt ended with an outcome other than "not run"
}

// handle is the fasthttp handler for callers' requests.
func (e *Entry) handle(ctx *fasthttp.RequestCtx) {
	id := e.ids.next()
	closing := ctx.Request.Header.ConnectionClose() || e.draining.Load()
	answeredID, refusal := e.serve(ctx, id)
	if refusal != nil {
		refusal.RequestID = id
		e.refuse(ctx, refusal)
		answeredID = id
	}
	ctx.Response.Header.Set(wire.HeaderRequestID, string(answeredID))
	if closing {
		ctx.SetConnectionClose()
	}
}

// refuse sets a refusal as the caller's response.
func (e *Entry) refuse(ctx *fasthttp.RequestCtx, refusal *reason.Error) {
	e.metrics.CountRefusal(refusal.Code)
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

// refuseUnreadable refuses a request whose headers fasthttp could not read, and
// closes the connection.
func (e *Entry) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	refusal := badRequest("the request can't be read: %v", err)
	refusal.RequestID = e.ids.next()
	e.refuse(ctx, refusal)
	ctx.Response.Header.Set(wire.HeaderRequestID, string(refusal.RequestID))
	ctx.SetConnectionClose()
}

// serve finds the route, admits the request and forwards it. It returns the ID of
// the request whose response was set: for a repeat that is the earlier request.
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
	finishTally := e.metrics.Tally().Begin(tally.Labels{Pool: found.route.Pool, Rank: found.route.Rank})
	if refusal := rank.enter(); refusal != nil {
		finishTally(true)
		return id, refusal
	}
	c := e.newCall(ctx, found, id)
	c.finishTally = finishTally
	answeredID, refusal := c.run()
	c.refused = refusal != nil
	if !c.streaming {
		c.end()
	}
	return answeredID, refusal
}

// recordTruncated counts and traces a response that broke off while it was
// streamed to the caller.
func (e *Entry) recordTruncated(c *call, cause *reason.Error) {
	e.metrics.CountRefusal(cause.Code)
	e.journal.Trace(journal.Step{Request: c.work.Request, Step: "entry: answer cut off", Detail: cause.Error()})
}

// route validates the request line and finds the route and key of the request.
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
	c := &call{entry: e, ctx: ctx, match: found}
	c.work = &wire.Work{
		Request:        id,
		Route:          found.route.Name,
		Server:         model.ServerRef{Pool: found.route.Pool},
		Rank:           found.route.Rank,
		Key:            found.key,
		AtMostOnce:     found.route.Repeat == settings.Once,
		IdempotencyKey: string(ctx.Request.Header.Peek(wire.HeaderIdempotencyKey)),
		Deadline:       time.Now().Add(found.route.Timeout()),
		Trace:          e.traced(ctx),
	}
	return c
}

// traced reports whether the steps of a request are recorded in the journal: the
// caller asked for it with a header, or the request is in the sample.
func (e *Entry) traced(ctx *fasthttp.RequestCtx) bool {
	return e.requestCount.Add(1)%traceEvery == 0 || string(ctx.Request.Header.Peek(wire.HeaderTrace)) == "1"
}

// run checks the idempotency key, reads the body and forwards the request.
func (c *call) run() (model.RequestID, *reason.Error) {
	if refusal := c.checkIdempotency(); refusal != nil {
		return c.work.Request, refusal
	}
	if refusal := c.readUpload(); refusal != nil {
		return c.work.Request, refusal
	}
	cleanRequest(&c.ctx.Request.Header)
	c.watchCall()
	if c.work.AtMostOnce {
		return c.runOnce()
	}
	return c.work.Request, c.forwardWithRetries()
}

// watchCall sets the call's context and starts the watch of the deadline and of
// the caller's connection. An at-most-once request is not cancelled when its caller
// closes the connection.
func (c *call) watchCall() {
	var cancel context.CancelCauseFunc
	c.context, cancel = context.WithCancelCause(context.Background())
	c.watched = &callwatch.Call{Conn: c.ctx.Conn(), Deadline: c.work.Deadline, Cancel: cancel}
	if c.work.AtMostOnce {
		c.watched.Conn = nil
	}
	c.entry.watch.Add(c.watched)
}

func (c *call) checkIdempotency() *reason.Error {
	if err := checkIdempotencyKey(c.work.IdempotencyKey); err != nil {
		return badRequest("%v", err)
	}
	if len(c.ctx.Request.Header.PeekAll(wire.HeaderIdempotencyKey)) > 1 {
		return badRequest("more than one %s", wire.HeaderIdempotencyKey)
	}
	if c.work.AtMostOnce && c.work.IdempotencyKey == "" {
		return reason.New(reason.IdempotencyMissing, "check", string(c.match.route.Name),
			"the route runs requests at most once and needs the header %s", wire.HeaderIdempotencyKey)
	}
	return nil
}

// readUpload reserves buffer space for the part of the body that is buffered, and
// reads that part.
func (c *call) readUpload() *reason.Error {
	size := int64(c.ctx.Request.Header.ContentLength())
	if size == unknownLength {
		size = maxBufferedUploadBytes
	}
	if size > 0 && size <= maxBufferedUploadBytes {
		if refusal := c.reserve(size); refusal != nil {
			return refusal
		}
	}
	upload, refusal := readUpload(c.ctx, c.match.route, c.work.Deadline)
	c.upload = upload
	return refusal
}

// reserve takes bytes of buffer space until the end of the call.
func (c *call) reserve(bytes int64) *reason.Error {
	if refusal := c.entry.admission.rank(c.match.rank).reserve(bytes); refusal != nil {
		return refusal
	}
	c.reservedBytes += bytes
	return nil
}

// release returns buffer space before the end of the call.
func (c *call) release(bytes int64) {
	c.reservedBytes -= bytes
	c.entry.admission.rank(c.match.rank).free(bytes)
}

// end counts the end of the call, stops its watch and returns what it took from
// the rank's limits.
func (c *call) end() {
	c.finishTally(c.refused)
	if c.watched != nil {
		c.entry.watch.Remove(c.watched)
		c.watched.Cancel(nil)
	}
	rank := c.entry.admission.rank(c.match.rank)
	rank.free(c.reservedBytes)
	rank.leave()
}

// trace records a step in the journal if the request is traced.
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
