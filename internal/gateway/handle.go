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

	"github.com/chicorylug/chicorylug/internal/bytebudget"
	"github.com/chicorylug/chicorylug/internal/callwatch"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/connlimit"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/hop"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/linkroom"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/poison"
	"github.com/chicorylug/chicorylug/internal/reason"
)

const (
	defaultCallerTimeout = 30 * time.Second      // for callers that do not state a timeout
	callerTransitTime    = 10 * time.Millisecond // reserved for the transfer of the response to the caller
	discardTimeout       = time.Second           // time limit for reading the rest of a refused request's body,
	lateDiscardTimeout   = 50 * time.Millisecond // and after the deadline for the response
	maxDiscardBytes      = 4 << 20               // size limit for the same
)

// call is the state of one caller's request while it is served.
type call struct {
	gateway       *Gateway
	ctx           *fasthttp.RequestCtx
	headers       dialect.CallerRequest
	arrived       time.Time
	deadline      time.Time // for the response to be sent
	configVersion uint64    // version of the configuration that selected the route
	route         *catalog.Route
	service       model.PoolName
	keyed         bool
	conn          *connlimit.Conn
	body          body
	fingerprint   poison.Fingerprint

	// context is cancelled at the deadline, or earlier if the caller closes its connection.
	context context.Context
	watched *callwatch.Call

	tried        []model.ServerID
	carriers     httplink.Carriers // connections to servers that carried the request
	sends        int
	possibleRuns int            // sends after which the request may have run
	lastServer   model.ServerID // of the last attempt
	fence        catalog.Fence  // of the grant under which the server of the last attempt owned the key
	mayHaveRun   bool           // an attempt may have run the request
	foundFull    bool           // the last attempt, or the choice of a server for it, found the servers full
	tookAtServer time.Duration  // of the attempt that a server answered
	// responseBytes is the size of the response's body, negative before it has arrived.
	responseBytes int
	// linkRoom is the room on the daemon's link, which is taken once, before the first attempt.
	linkRoom     linkroom.Admission
	linkAdmitted bool
	// misdirected counts the servers' rejections of the key because they do not own it;
	// misdirectedAt is the time of the last one.
	misdirected   int
	misdirectedAt time.Time
}

// handle is the fasthttp handler for callers' requests.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	g.activeCalls.Add(1)
	defer g.activeCalls.Add(-1)
	c := &call{gateway: g, ctx: ctx, arrived: time.Now(), responseBytes: -1, headers: g.dialect.ReadCallerRequest(&ctx.Request.Header)}
	c.conn = ctx.Conn().(*connlimit.Conn)
	callerCloses := ctx.Request.Header.ConnectionClose()
	refusal := c.run()
	c.releaseBody()
	if refusal != nil {
		c.refuse(refusal)
	} else {
		c.logAnswered()
	}
	c.beginDelivery()
	if callerCloses || g.draining.Load() {
		ctx.SetConnectionClose()
		return
	}
	g.stateIdleTimeout(&ctx.Response.Header)
}

// stateIdleTimeout tells the caller for how long it may reuse its idle connection, if the
// operators' limit is longer than the connection is kept open.
func (g *Gateway) stateIdleTimeout(h *fasthttp.ResponseHeader) {
	configuration := g.catalog.Load().Configuration
	if configuration != nil && configuration.Limits.IdleTimeout > idleTimeout {
		h.Set(fasthttp.HeaderKeepAlive, "timeout="+strconv.Itoa(int(statedIdleTimeout.Seconds())))
	}
}

// run serves the request. It returns nil if a server answered, or the refusal to send.
func (c *call) run() *reason.Error {
	if !c.conn.BeginRequest() {
		return closedRefusal("read head")
	}
	if refusal := c.resolveRoute(); refusal != nil {
		return refusal
	}
	if refusal := c.readBody(); refusal != nil {
		return refusal
	}
	if c.conn.Closing() {
		return closedRefusal("read body")
	}
	if refusal := c.confirmRoute(); refusal != nil {
		return refusal
	}
	if !c.gateway.backends.HasRoomFor(c.service) {
		return reason.New(reason.EntryFull, "admit", "", "the memory for answers is in use")
	}
	if c.requiresOwner() {
		c.gateway.backends.Stats().CountRequest(c.service, c.headers.Key)
	}
	c.fingerprint = c.newFingerprint()
	hop.StripRequest(&c.ctx.Request.Header)
	var cancel context.CancelCauseFunc
	c.context, cancel = context.WithCancelCause(context.Background())
	c.watched = &callwatch.Call{Conn: c.ctx.Conn(), Deadline: c.deadline, Cancel: cancel}
	c.gateway.watch.Add(c.watched)
	defer func() {
		c.gateway.watch.Remove(c.watched)
		cancel(nil)
	}()
	return c.sendAdmitted()
}

// closedRefusal returns the refusal for a request whose connection was chosen to be closed.
func closedRefusal(step string) *reason.Error {
	return reason.New(reason.CallerGone, step, "", "the connection was closed: there were too many")
}

// resolveRoute determines the request's route, service and deadline.
func (c *call) resolveRoute() *reason.Error {
	if c.gateway.refusesRequests() {
		return reason.New(reason.ShuttingDown, "route", "", "the daemon ends")
	}
	snapshot := c.gateway.catalog.Load()
	configuration := snapshot.Configuration
	if configuration == nil {
		return reason.New(reason.NotReady, "route", "", "no configuration is known")
	}
	c.configVersion = configuration.Version
	path, _, _ := bytes.Cut(c.ctx.Request.Header.RequestURI(), []byte{'?'})
	c.route = configuration.Match(string(c.ctx.Request.Header.Host()), string(path))
	if c.route == nil {
		return reason.New(reason.NoRoute, "route", "", "no route for host %q and path %q", c.ctx.Request.Header.Host(), path)
	}
	c.service = c.gateway.selector.next(c.route)
	c.keyed = configuration.Services[c.service].Keyed
	c.deadline = c.arrived.Add(c.callerTimeout())
	return nil
}

// confirmRoute checks, once the request's body has arrived, that the request may still be
// sent, and determines its route again if the configuration has changed meanwhile.
func (c *call) confirmRoute() *reason.Error {
	if c.gateway.refusesRequests() || c.gateway.catalog.Load().Configuration.Version != c.configVersion {
		return c.resolveRoute()
	}
	return nil
}

// callerTimeout returns the time, from the arrival of the request, within which the
// response must be sent: the route's timeout if that is shorter than the caller's, or
// else the caller's timeout less callerTransitTime.
func (c *call) callerTimeout() time.Duration {
	timeout := c.headers.Timeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	if c.route.Timeout > 0 && c.route.Timeout < timeout {
		return c.route.Timeout
	}
	return max(timeout-callerTransitTime, 0)
}

// logAnswered logs and measures a request that a server answered.
func (c *call) logAnswered() {
	took := time.Since(c.arrived)
	c.gateway.meters.answered.Update(took.Seconds())
	c.gateway.log.Info("request answered", c.logFields(took, zap.Int("status", c.ctx.Response.StatusCode()))...)
}

// logFields returns the fields common to all log lines about a request, and more.
func (c *call) logFields(took time.Duration, more ...zap.Field) []zap.Field {
	fields := []zap.Field{
		zap.String("request", string(c.headers.ID)),
		zap.Uint64("configuration", c.configVersion),
		zap.String("service", string(c.service)),
		zap.String("server", string(c.lastServer)),
		zap.Int("sends", c.sends),
		zap.Duration("took", took),
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", string(c.route.Name)))
	}
	if c.keyed {
		fields = append(fields, zap.Int("key", c.headers.Key), zap.Uint64("fence", uint64(c.fence)))
	}
	return append(fields, more...)
}

// refuse sends a refusal to the caller, and logs and counts it.
func (c *call) refuse(refusal *reason.Error) {
	g := c.gateway
	refusal.RequestID = c.headers.ID
	took := time.Since(c.arrived)
	g.meters.refused.Update(took.Seconds())
	g.meters.countRefusal(refusal.Code, refusal.Outcome)
	status := statusOf(refusal)
	if status == fasthttp.StatusServiceUnavailable && refusal.RetryAfter == 0 {
		refusal.RetryAfter = c.retryPause(refusal.Code)
	}
	g.log.Info("request refused", c.logFields(took,
		zap.Int("status", status), zap.String("reason", string(refusal.Code)), zap.String("outcome", string(refusal.Outcome)),
		zap.String("step", refusal.Step), zap.String("peer", refusal.Peer), zap.String("detail", refusal.Message),
		zap.Duration("retry_after", refusal.RetryAfter))...)
	c.conn.Memory().GiveAll(bytebudget.Answer)
	c.ctx.Response.Reset()
	c.ctx.SetStatusCode(status)
	c.ctx.SetContentType("application/json")
	g.dialect.SetRequestID(&c.ctx.Response.Header, c.headers.ID)
	if refusal.RetryAfter > 0 {
		c.ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	c.ctx.SetBody(refusal.JSON())
	c.discardBody()
}

// Retry-After values for requests that did not run.
const (
	retrySoon  = 150 * time.Millisecond // a server or an owner is likely to be available soon
	retryLater = 400 * time.Millisecond // capacity is short, or the daemon has just started
)

// retryPause returns the Retry-After value for a refusal.
func (c *call) retryPause(code reason.Code) time.Duration {
	pause := retryLater
	if code == reason.NoOwner || code == reason.ServerUnreachable || code == reason.WrongEpoch {
		pause = retrySoon
	}
	return c.boundPause(pause)
}

// boundPause limits a pause to a third of the time left before the deadline, so that
// the caller has time for a retry. It returns at least 1 ms.
func (c *call) boundPause(pause time.Duration) time.Duration {
	if left := time.Until(c.deadline); !c.deadline.IsZero() && left/3 < pause {
		pause = left / 3
	}
	return max(pause, time.Millisecond)
}

// statusOf returns the HTTP status of a refusal. It is 503 (Service Unavailable) or
// the code's own 4xx only if the request certainly did not run, else 502 or 504.
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

// discardBody reads the rest of a refused request's body. Closing a connection with
// unread bytes resets it, and the caller might not receive the refusal.
func (c *call) discardBody() {
	stream := c.ctx.RequestBodyStream()
	if stream == nil {
		return
	}
	_ = c.ctx.SetReadDeadline(c.discardUntil(time.Now()))
	if _, err := io.CopyN(io.Discard, stream, maxDiscardBytes); !errors.Is(err, io.EOF) {
		c.ctx.SetConnectionClose()
	}
}

// discardUntil returns the time until which the rest of the body is read. No deadline is
// known for a request without a route.
func (c *call) discardUntil(now time.Time) time.Time {
	longest := now.Add(discardTimeout)
	if c.deadline.IsZero() || c.deadline.After(longest) {
		return longest
	}
	return now.Add(max(c.deadline.Sub(now), lateDiscardTimeout))
}

// handleReadError is the fasthttp handler for requests that could not be read.
func (g *Gateway) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	g.log.Info("could not read request", zap.Int("status", status), zap.Error(err))
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}
