package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/callwatch"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/hop"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/poison"
	"github.com/chicorylug/chicorylug/internal/reason"
)

const (
	usualPatience = 30 * time.Second      // of a caller that doesn't say how long it waits
	callerWay     = 10 * time.Millisecond // time kept back for the way of an answer to its caller
	discardTime   = time.Second           // time for which the body of a refused request is read
	discardBytes  = 4 << 20
)

// call is one request of a caller.
type call struct {
	gateway *Gateway
	ctx     *fasthttp.RequestCtx
	said    dialect.CallerRequest
	arrived time.Time
	until   time.Time // the latest moment of the answer
	version uint64    // of the configuration that decided
	route   *catalog.Route
	service model.PoolName
	keyed   bool
	body    []byte
	print   poison.Fingerprint

	// context ends at until, and early when the caller is gone.
	context context.Context
	watched *callwatch.Call

	tried  []model.ServerID
	sends  int
	runs   int            // sends that ran or may have run
	server model.ServerID // the last one that was sent to
	fence  catalog.Fence
	maybe  bool // an attempt may have run
	// misdirected is when a server last said that it does not own the key.
	misdirected time.Time
}

// handle serves one request of a caller.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	g.calls.Add(1)
	defer g.calls.Add(-1)
	c := &call{gateway: g, ctx: ctx, arrived: time.Now(), said: g.dialect.ReadCallerRequest(&ctx.Request.Header)}
	closing := ctx.Request.Header.ConnectionClose() || g.leaving.Load()
	refusal := c.run()
	if refusal != nil {
		c.refuse(refusal)
	} else {
		c.answered()
	}
	if closing {
		ctx.SetConnectionClose()
	}
}

// run serves the request. It returns why it was not answered by a server.
func (c *call) run() *reason.Error {
	if refusal := c.find(); refusal != nil {
		return refusal
	}
	held, refusal := c.readBody()
	defer c.gateway.bodies.Add(-held)
	if refusal != nil {
		return refusal
	}
	c.print = c.fingerprint()
	hop.StripRequest(&c.ctx.Request.Header)
	var cancel context.CancelCauseFunc
	c.context, cancel = context.WithCancelCause(context.Background())
	c.watched = &callwatch.Call{Conn: c.ctx.Conn(), Deadline: c.until, Cancel: cancel}
	c.gateway.watch.Add(c.watched)
	defer func() {
		c.gateway.watch.Remove(c.watched)
		cancel(nil)
	}()
	return c.attempts()
}

// find finds the route and the service of the request.
func (c *call) find() *reason.Error {
	if c.gateway.closed() {
		return reason.New(reason.ShuttingDown, "route", "", "the daemon ends")
	}
	snapshot := c.gateway.catalog.Load()
	configuration := snapshot.Configuration
	if configuration == nil {
		return reason.New(reason.NotReady, "route", "", "no configuration is known")
	}
	c.version = configuration.Version
	path, _, _ := bytes.Cut(c.ctx.Request.Header.RequestURI(), []byte{'?'})
	c.route = configuration.Match(string(c.ctx.Request.Header.Host()), string(path))
	if c.route == nil {
		return reason.New(reason.NoRoute, "route", "", "no route for host %q and path %q", c.ctx.Request.Header.Host(), path)
	}
	c.service = c.gateway.weights.next(c.route)
	c.keyed = configuration.Services[c.service].Keyed
	c.until = c.arrived.Add(c.patience())
	if c.keyed && c.said.Key != dialect.NoKey {
		c.gateway.backends.Stats().Asked(c.service, c.said.Key)
	}
	return nil
}

// patience is the time within which the caller must have its answer.
func (c *call) patience() time.Duration {
	patience := c.said.Timeout
	if patience <= 0 {
		patience = usualPatience
	}
	if c.route.Timeout > 0 && c.route.Timeout < patience {
		return c.route.Timeout
	}
	return max(patience-callerWay, 0)
}

// readBody reads the whole body. It returns the bytes that it took of the
// memory for bodies.
func (c *call) readBody() (int64, *reason.Error) {
	length := int64(c.ctx.Request.Header.ContentLength())
	limit := c.bodyLimit()
	if length > limit {
		return 0, reason.New(reason.BodyTooLarge, "read body", "", "the body has %d bytes, allowed are %d", length, limit)
	}
	stream := c.ctx.RequestBodyStream()
	if stream == nil {
		c.body = c.ctx.Request.Body()
		return 0, nil
	}
	held := max(length, 0)
	if c.gateway.bodies.Add(held) > c.gateway.maxBodies {
		return held, reason.New(reason.EntryFull, "read body", "", "the memory for bodies is in use")
	}
	_ = c.ctx.SetReadDeadline(c.until)
	var body bytes.Buffer
	if length > 0 {
		body.Grow(int(length) + bytes.MinRead)
	}
	read, err := io.Copy(&body, io.LimitReader(stream, limit+1))
	if read > held {
		c.gateway.bodies.Add(read - held)
		held = read
	}
	switch {
	case err != nil:
		return held, c.unreadable(err)
	case read > limit:
		return held, reason.New(reason.BodyTooLarge, "read body", "", "the body has more than %d bytes", limit)
	case length >= 0 && read < length:
		return held, c.unreadable(io.ErrUnexpectedEOF)
	}
	c.body = body.Bytes()
	return held, nil
}

func (c *call) bodyLimit() int64 {
	limit := c.gateway.catalog.Load().Configuration.Limits.BodyBytes
	if limit <= 0 || limit > c.gateway.maxBodies {
		return c.gateway.maxBodies
	}
	return limit
}

// unreadable tells that the caller's body ended early or came too slowly.
func (c *call) unreadable(err error) *reason.Error {
	c.ctx.SetConnectionClose()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return reason.New(reason.DeadlinePassed, "read body", "", "the body did not come in time")
	}
	return reason.New(reason.ShortUpload, "read body", "", "%v", err)
}

// answered logs an answer that a server gave.
func (c *call) answered() {
	took := time.Since(c.arrived)
	c.gateway.meters.answered.Update(took.Seconds())
	c.gateway.log.Info("request answered", c.fields(took, zap.Int("status", c.ctx.Response.StatusCode()))...)
}

// fields are the log fields of every line about a request.
func (c *call) fields(took time.Duration, more ...zap.Field) []zap.Field {
	fields := []zap.Field{
		zap.String("request", string(c.said.ID)),
		zap.Uint64("configuration", c.version),
		zap.String("service", string(c.service)),
		zap.String("server", string(c.server)),
		zap.Int("sends", c.sends),
		zap.Duration("took", took),
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", string(c.route.Name)))
	}
	if c.keyed {
		fields = append(fields, zap.Int("key", c.said.Key), zap.Uint64("fence", uint64(c.fence)))
	}
	return append(fields, more...)
}

// refuse answers with a refusal.
func (c *call) refuse(refusal *reason.Error) {
	g := c.gateway
	refusal.RequestID = c.said.ID
	took := time.Since(c.arrived)
	g.meters.refused.Update(took.Seconds())
	g.meters.refusal(refusal.Code, refusal.Outcome)
	status := statusOf(refusal)
	if status == fasthttp.StatusServiceUnavailable && refusal.RetryAfter == 0 {
		refusal.RetryAfter = c.comeBack(refusal.Code)
	}
	g.log.Info("request refused", c.fields(took,
		zap.Int("status", status), zap.String("reason", string(refusal.Code)), zap.String("outcome", string(refusal.Outcome)),
		zap.String("step", refusal.Step), zap.String("peer", refusal.Peer), zap.String("detail", refusal.Message),
		zap.Duration("retry_after", refusal.RetryAfter))...)
	c.ctx.Response.Reset()
	c.ctx.SetStatusCode(status)
	c.ctx.SetContentType("application/json")
	g.dialect.SetRequestID(&c.ctx.Response.Header, c.said.ID)
	if refusal.RetryAfter > 0 {
		c.ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	c.ctx.SetBody(refusal.JSON())
	c.discardBody()
}

// Pauses after which a request that did not run is worth sending again.
const (
	againSoon  = 150 * time.Millisecond // a server or an owner is about to be found
	againLater = 400 * time.Millisecond // capacity is short, or the daemon has just started
)

// comeBack is the advised pause.
func (c *call) comeBack(code reason.Code) time.Duration {
	pause := againLater
	if code == reason.NoOwner || code == reason.ServerUnreachable || code == reason.WrongEpoch {
		pause = againSoon
	}
	return c.bounded(pause)
}

// bounded makes a pause one that the caller can make: at most a third of the
// time that is left.
func (c *call) bounded(pause time.Duration) time.Duration {
	if left := time.Until(c.until); !c.until.IsZero() && left/3 < pause {
		pause = left / 3
	}
	return max(pause, time.Millisecond)
}

// statusOf returns the status of a refusal. Only what surely did not run is
// answered with a status that says so.
func statusOf(refusal *reason.Error) int {
	switch refusal.Code {
	case reason.NoRoute, reason.BodyTooLarge, reason.ShortUpload, reason.BadRequest:
		return refusal.Code.Status()
	}
	if refusal.Outcome == reason.NotRun {
		return fasthttp.StatusServiceUnavailable
	}
	if refusal.Code == reason.DeadlinePassed {
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusBadGateway
}

// discardBody reads what a refused caller still sends. A connection that is
// closed over unread bytes is reset, and the caller may not see the refusal.
func (c *call) discardBody() {
	stream := c.ctx.RequestBodyStream()
	if stream == nil {
		return
	}
	_ = c.ctx.SetReadDeadline(time.Now().Add(discardTime))
	if _, err := io.CopyN(io.Discard, stream, discardBytes); !errors.Is(err, io.EOF) {
		c.ctx.SetConnectionClose()
	}
}

// refuseUnread answers a caller whose request could not be read.
func (g *Gateway) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	g.log.Info("request not read", zap.Int("status", status), zap.Error(err))
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}
