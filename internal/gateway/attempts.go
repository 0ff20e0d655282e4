package gateway

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/bytebudget"
	"github.com/chicorylug/chicorylug/internal/callwatch"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/hop"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/slots"
)

const (
	ownerWaitDivisor      = 3                      // a request waits for an owner for 1/ownerWaitDivisor of its remaining time
	misdirectedRetryDelay = 100 * time.Millisecond // time after which a server that rejected a key may have received its grant,
	misdirectedBackoff    = 3                      // times this at each further rejection: it has rather released the key
	extraSends            = 2                      // sends beyond the route's MaxServers, for sends that did not run
	minTimeLeft           = 5 * time.Millisecond   // a request with less time left is not sent
)

// sendWithRetries sends the request until a server answers it or it may not be
// sent again. It returns nil once a server's response has been written.
func (c *call) sendWithRetries() *reason.Error {
	for {
		if refusal := c.checkSuspected(); refusal != nil {
			return c.finalRefusal(refusal)
		}
		server, reserved, refusal := c.pickServer()
		if refusal != nil {
			return c.finalRefusal(refusal)
		}
		if time.Until(c.deadline) < minTimeLeft {
			if reserved != nil {
				reserved.Cancel()
			}
			return c.finalRefusal(reason.New(reason.DeadlinePassed, "send", string(server.ID), "no time is left"))
		}
		slot, refusal := c.acquireSlot(server)
		if refusal != nil {
			return c.finalRefusal(refusal)
		}
		if refusal := c.prepareSend(server); refusal != nil {
			slot.Release(0)
			if reserved != nil {
				reserved.Cancel()
			}
			return c.finalRefusal(refusal)
		}
		permitUntil, refusal := c.acquireColdPermit(server)
		if refusal != nil {
			slot.Release(0)
			return c.finalRefusal(refusal)
		}
		result := c.send(server, reserved, permitUntil)
		slot.Release(runDuration(result))
		if result.Execution == backends.Ran && !c.hasRetryableStatus(result) {
			c.clearSuspicion()
			c.tookAtServer = result.Took
			c.writeResponse(result.Response)
			return nil
		}
		c.reportCrash(server, result)
		refusal = c.classifyFailure(server, result)
		retry := c.mayRetry(result)
		c.gateway.log.Info("send failed", c.logFields(result.Took,
			zap.String("outcome", string(refusal.Outcome)), zap.String("reason", string(refusal.Code)),
			zap.Bool("again", retry), zap.Error(result.Err))...)
		if !retry {
			if result.Response != nil {
				c.writeResponse(result.Response)
				return nil
			}
			return c.finalRefusal(refusal)
		}
		if result.Response != nil {
			fasthttp.ReleaseResponse(result.Response)
		}
	}
}

// prepareSend takes room on the link, for which it may wait, and checks that the daemon stays
// for long enough.
func (c *call) prepareSend(server *catalog.Server) *reason.Error {
	if refusal := c.takeLinkRoom(); refusal != nil {
		return refusal
	}
	return c.checkTimeLeft(server)
}

// checkTimeLeft refuses the request if the daemon ends before the server is likely to have
// answered: another daemon can still serve it.
func (c *call) checkTimeLeft(server *catalog.Server) *reason.Error {
	left, draining := c.gateway.timeLeft()
	if !draining {
		return nil
	}
	if expected := c.gateway.backends.ExpectedTime(server); expected > left {
		return reason.New(reason.ShuttingDown, "send", string(server.ID), "the daemon ends in %v, and the server may need %v", left, expected)
	}
	return nil
}

// finalRefusal extends the outcome of a refusal to all attempts: if an earlier one
// may have run, the outcome is Unknown.
func (c *call) finalRefusal(refusal *reason.Error) *reason.Error {
	if c.mayHaveRun && refusal.Outcome == reason.NotRun {
		refusal.Outcome = reason.Unknown
		refusal.Message += "; an earlier send may have run"
	}
	return refusal
}

// pickServer returns the server for the next attempt: the owner of the request's
// key or, if any server may run it, one reserved by load.
func (c *call) pickServer() (*catalog.Server, *backends.Reservation, *reason.Error) {
	if cause := context.Cause(c.context); cause != nil {
		return nil, nil, c.contextRefusal(cause)
	}
	if c.requiresOwner() {
		owner, refusal := c.awaitOwner()
		return owner, nil, refusal
	}
	reserved, refusal := c.chooseServer()
	if refusal != nil {
		return nil, nil, refusal
	}
	return reserved.Server, reserved, nil
}

// requiresOwner reports whether only the owner of the request's key may run it.
func (c *call) requiresOwner() bool { return c.keyed && c.headers.Key != dialect.NoKey }

// contextRefusal returns the refusal for a call whose context ended with cause.
func (c *call) contextRefusal(cause error) *reason.Error {
	code := reason.DeadlinePassed
	switch {
	case errors.Is(cause, callwatch.ErrCallerGone):
		code = reason.CallerGone
	case errors.Is(cause, errGraceOver):
		code = reason.ShuttingDown
	}
	return reason.New(code, "send", string(c.lastServer), "%v", cause)
}

// awaitOwner returns the owner of the request's key. While the key has no owner, or
// the known owner has just rejected the key or is leaving, it waits for up to
// 1/ownerWaitDivisor of the remaining time. An owner that asked for a pause is not awaited.
func (c *call) awaitOwner() (*catalog.Server, *reason.Error) {
	waitDeadline := time.Now().Add(time.Until(c.deadline) / ownerWaitDivisor)
	for {
		changed := c.gateway.catalog.Changed()
		now := time.Now()
		if server := c.owner(now); server != nil {
			return server, c.ownerRefusal(server, now)
		}
		if cause := context.Cause(c.context); cause != nil {
			return nil, c.contextRefusal(cause)
		}
		if refusal := c.evacuatedOwnerRefusal(now, now.After(waitDeadline)); refusal != nil {
			return nil, refusal
		}
		if now.After(waitDeadline) {
			return nil, c.noOwnerRefusal(now)
		}
		wait := waitDeadline.Sub(now)
		if retryAt := c.misdirectedAt.Add(c.misdirectedDelay()); retryAt.After(now) {
			wait = min(wait, retryAt.Sub(now))
		}
		timer := time.NewTimer(wait + time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-c.context.Done():
		}
		timer.Stop()
	}
}

// misdirectedDelay returns the time for which the request is not sent again to a server
// that rejected its key, unless the key gets another fence.
func (c *call) misdirectedDelay() time.Duration {
	return misdirectedRetryDelay * time.Duration(math.Pow(misdirectedBackoff, float64(max(c.misdirected-1, 0))))
}

// acquireSlot reserves a slot at the owner of the request's key. Requests that any
// server may run need no slot and get an empty reservation.
func (c *call) acquireSlot(server *catalog.Server) (*slots.Reservation, *reason.Error) {
	if !c.requiresOwner() {
		return &slots.Reservation{}, nil
	}
	respondBy := c.deadline
	if c.route.LatencyObjective > 0 {
		respondBy = c.arrived.Add(c.route.LatencyObjective - 2*callerTransitTime)
	}
	reservation, retryAfter := c.gateway.slots.Acquire(c.context, server, c.route.Rank, respondBy)
	if reservation == nil {
		refusal := reason.New(reason.QueueFull, "ask", string(server.ID), "no slot in time; the next one is expected in %v", retryAfter)
		refusal.RetryAfter = c.boundPause(retryAfter)
		return nil, refusal
	}
	return reservation, nil
}

// runDuration returns how long the attempt took if the server ran the request, and
// zero otherwise.
func runDuration(result backends.Result) time.Duration {
	if result.Execution != backends.Ran {
		return 0
	}
	return result.Took
}

// owner returns the server that owns the request's key, or nil if the key has no
// owner, the owner is not available, or it rejected the key under the same fence
// less than misdirectedDelay ago.
func (c *call) owner(now time.Time) *catalog.Server {
	snapshot := c.gateway.catalog.Load()
	owners := snapshot.Owners[c.service]
	if owners == nil {
		return nil
	}
	keyRange := owners.Owner(c.headers.Key)
	if keyRange == nil || (c.sends > 0 && keyRange.Fence == c.fence && now.Sub(c.misdirectedAt) < c.misdirectedDelay()) {
		return nil
	}
	server := snapshot.Servers[keyRange.Server]
	if server == nil || server.StartedMS != keyRange.StartedMS || (server.Leaving && time.Since(server.LeavingSince) > c.gateway.backends.LeavingGrace()) {
		return nil
	}
	if c.gateway.backends.IsLeaving(server, now) || c.gateway.backends.IsEvacuatedOwner(server, now) {
		return nil
	}
	c.fence = keyRange.Fence
	return server
}

// send sends the request to a server once. reserved is nil if the server is the owner of
// the request's key.
func (c *call) send(server *catalog.Server, reserved *backends.Reservation, coldPermitUntil time.Time) backends.Result {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	c.ctx.Request.Header.CopyTo(&request.Header)
	request.Header.SetNoDefaultContentType(true)
	request.UseHostHeader = true
	c.body.attach(request)
	if c.sends == 0 {
		c.gateway.backends.RetryBudget().Deposit(c.service, time.Now())
	} else {
		c.gateway.meters.retries.Inc()
		c.conn.Memory().GiveAll(bytebudget.Answer)
	}
	c.sends++
	c.lastServer = server.ID
	c.tried = append(c.tried, server.ID)
	return c.gateway.backends.Send(c.context, &backends.Attempt{
		ID:               c.headers.ID,
		Server:           server,
		Route:            c.route.Name,
		Reservation:      reserved,
		Keyed:            c.keyed,
		Request:          request,
		Carriers:         &c.carriers,
		Memory:           c.conn.Memory(),
		Deadline:         c.deadline,
		MayGiveUp:        c.mayGiveUp(),
		LatencyObjective: c.route.LatencyObjective,
		ColdPermitUntil:  coldPermitUntil,
	})
}

// mayGiveUp returns a function that says whether the current attempt may still be given up
// for another one, or nil if the only thing to do is to wait: the request may run at most
// once, or no other server may run it. No attempt is given up while the daemon drains, or
// while its own link is what makes it late.
func (c *call) mayGiveUp() func() bool {
	if c.route.Repeat != catalog.Idempotent || c.requiresOwner() || c.possibleRuns+1 >= max(c.route.MaxServers, 1) || !c.hasUntriedServer() {
		return nil
	}
	g, service := c.gateway, c.service
	return func() bool {
		return !g.draining.Load() && !g.link.Full(time.Now()) && g.backends.RetryBudget().Allows(service)
	}
}

// hasServerLeft reports whether a server is left that takes the request now, after the
// one that gave the result.
func (c *call) hasServerLeft(result backends.Result) bool {
	if c.requiresOwner() {
		return !result.Paused
	}
	return c.hasUntriedServer()
}

// hasUntriedServer reports whether a server is left that the request was not sent to.
func (c *call) hasUntriedServer() bool {
	now := time.Now()
	return slices.ContainsFunc(c.gateway.catalog.Load().ByService[c.service], func(server *catalog.Server) bool {
		return c.gateway.backends.MayChoose(server, now) && !slices.Contains(c.tried, server.ID) &&
			c.gateway.backends.InAllowedRegion(server, c.route.AllowedRegions)
	})
}

// hasRetryableStatus reports whether the response is a server error (5xx) to an
// idempotent request, so that another server may succeed.
func (c *call) hasRetryableStatus(result backends.Result) bool {
	return c.route.Repeat == catalog.Idempotent && result.Response.StatusCode() >= fasthttp.StatusInternalServerError
}

// classifyFailure returns the refusal for a failed attempt and records in c whether
// the request may have run.
func (c *call) classifyFailure(server *catalog.Server, result backends.Result) *reason.Error {
	c.foundFull = false
	outcome := reason.Unknown
	code := reason.ServerLost
	var held *backends.HeldError
	switch {
	case errors.As(result.Err, &held):
		return c.heldRefusal("send", held)
	case result.Execution == backends.NotRun && result.Misdirected:
		c.misdirectedAt = time.Now()
		c.misdirected++
		outcome, code = reason.NotRun, reason.WrongEpoch
	case result.Execution == backends.NotRun && result.Sent:
		outcome, code = reason.NotRun, reason.ServerShed
		c.foundFull = true
	case result.Execution == backends.NotRun:
		outcome, code = reason.NotRun, reason.ServerUnreachable
	case errors.Is(result.Err, backends.ErrNoAnswer):
		code = reason.ServerTimeout
		c.mayHaveRun = true
		c.possibleRuns++
	case errors.Is(result.Err, backends.ErrNoMemory):
		code = reason.EntryFull
		c.mayHaveRun = true
		c.possibleRuns++
	default:
		c.mayHaveRun = true
		c.possibleRuns++
	}
	if cause := context.Cause(c.context); cause != nil {
		refusal := c.contextRefusal(cause)
		refusal.Outcome = outcome
		return refusal
	}
	refusal := reason.New(code, "send", string(server.ID), "%v", result.Err)
	refusal.Outcome = outcome
	return refusal
}

// mayRetry reports whether the request may be sent again after the failed attempt.
// It takes a retry from the retry budget if the attempt may have reached a server.
func (c *call) mayRetry(result backends.Result) bool {
	switch {
	case c.context.Err() != nil:
		return false
	case errors.Is(result.Err, backends.ErrNoMemory):
		return false // another response would find no room either
	case c.route.Repeat == catalog.AtMostOnce && result.Execution != backends.NotRun:
		return false
	case c.possibleRuns >= max(c.route.MaxServers, 1) || c.sends >= c.route.MaxServers+extraSends:
		return false
	case !result.Sent:
		return true
	case result.Response != nil && !c.hasServerLeft(result):
		return false // the caller gets the server's own answer
	case c.requiresOwner() && result.Execution == backends.NotRun && !result.Misdirected:
		return false // the only server that may run the request did not accept it
	default:
		return c.gateway.backends.RetryBudget().Take(c.service)
	}
}

// writeResponse copies a server's response to the caller and releases it.
func (c *call) writeResponse(response *fasthttp.Response) {
	defer fasthttp.ReleaseResponse(response)
	body := response.Body()
	c.responseBytes = len(body)
	response.Header.CopyTo(&c.ctx.Response.Header)
	hop.StripResponse(&c.ctx.Response.Header)
	c.gateway.dialect.StripResponse(&c.ctx.Response.Header)
	c.ctx.Response.Header.SetNoDefaultContentType(true)
	c.ctx.Response.SetBodyRaw(body)
}
