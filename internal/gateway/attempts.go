package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/callwatch"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/hop"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/slots"
)

const (
	ownerPollInterval     = 10 * time.Millisecond   // period at which a wait looks for an owner
	ownerWaitDivisor      = 3                       // an owner is awaited for one part in so many of the time left
	misdirectedRetryDelay = 30 * time.Millisecond   // a server that did not own a key may have got it after this time
	extraSends            = 2                       // sends that did not run, beside those that a route allows to run
	leavingGracePeriod    = 1500 * time.Millisecond // a server that leaves gets requests for its keys for this time
	minTimeLeft           = 5 * time.Millisecond    // time below which a request is not sent any more
)

// sendWithRetries sends the request until it is answered or may not be sent again.
func (c *call) sendWithRetries() *reason.Error {
	for {
		if refusal := c.checkSuspected(); refusal != nil {
			return c.finalRefusal(refusal)
		}
		server, refusal := c.pickServer()
		if refusal != nil {
			return c.finalRefusal(refusal)
		}
		if time.Until(c.deadline) < minTimeLeft {
			return c.finalRefusal(reason.New(reason.DeadlinePassed, "send", string(server.ID), "no time is left"))
		}
		reservation, refusal := c.acquireSlot(server)
		if refusal != nil {
			return c.finalRefusal(refusal)
		}
		result := c.send(server)
		reservation.Release(runDuration(result))
		if result.Execution == backends.Ran && !c.hasRetryableStatus(result) {
			c.clearSuspicion()
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

// finalRefusal makes the outcome of a refusal that of all attempts.
func (c *call) finalRefusal(refusal *reason.Error) *reason.Error {
	if c.mayHaveRun && refusal.Outcome == reason.NotRun {
		refusal.Outcome = reason.Unknown
		refusal.Message += "; an earlier send may have run"
	}
	return refusal
}

// pickServer returns the server to send to.
func (c *call) pickServer() (*catalog.Server, *reason.Error) {
	if cause := context.Cause(c.context); cause != nil {
		return nil, c.contextRefusal(cause)
	}
	if c.requiresOwner() {
		return c.awaitOwner()
	}
	snapshot := c.gateway.catalog.Load()
	server := c.gateway.backends.Choose(snapshot, &backends.Criteria{
		Service: c.service,
		Tried:   c.tried,
		Bytes:   len(c.body),
		Goal:    c.route.LatencyObjective,
	})
	if server == nil {
		return nil, reason.New(reason.ServerUnreachable, "choose", string(c.service), "no server is left that was not tried")
	}
	return server, nil
}

// requiresOwner reports that only the owner of the request's key may run it.
func (c *call) requiresOwner() bool { return c.keyed && c.headers.Key != dialect.NoKey }

// contextRefusal tells why the call's context ended.
func (c *call) contextRefusal(cause error) *reason.Error {
	code := reason.DeadlinePassed
	if errors.Is(cause, callwatch.ErrCallerGone) {
		code = reason.CallerGone
	}
	return reason.New(code, "send", string(c.lastServer), "%v", cause)
}

// awaitOwner returns the owner of the request's key. While the key has none, or
// only one that has just said that it isn't, it waits for a part of the time.
func (c *call) awaitOwner() (*catalog.Server, *reason.Error) {
	waitDeadline := time.Now().Add(time.Until(c.deadline) / ownerWaitDivisor)
	for {
		if server := c.owner(time.Now()); server != nil {
			return server, nil
		}
		if cause := context.Cause(c.context); cause != nil {
			return nil, c.contextRefusal(cause)
		}
		if time.Now().After(waitDeadline) {
			return nil, reason.New(reason.NoOwner, "choose", string(c.service), "key %d has no owner", c.headers.Key)
		}
		time.Sleep(ownerPollInterval)
	}
}

// acquireSlot asks for a slot at the owner of the request's key. Other requests need none.
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

// runDuration is the time that a request ran at its server, or zero.
func runDuration(result backends.Result) time.Duration {
	if result.Execution != backends.Ran {
		return 0
	}
	return result.Took
}

// owner returns the server that owns the request's key now, unless it has just
// said under the same fence that it does not.
func (c *call) owner(now time.Time) *catalog.Server {
	snapshot := c.gateway.catalog.Load()
	owners := snapshot.Owners[c.service]
	if owners == nil {
		return nil
	}
	keyRange := owners.Owner(c.headers.Key)
	if keyRange == nil || (c.sends > 0 && keyRange.Fence == c.fence && now.Sub(c.misdirectedAt) < misdirectedRetryDelay) {
		return nil
	}
	server := snapshot.Servers[keyRange.Server]
	if server == nil || server.StartedMS != keyRange.StartedMS || (server.Leaving && time.Since(server.LeavingSince) > leavingGracePeriod) {
		return nil
	}
	c.fence = keyRange.Fence
	return server
}

// send sends the request to a server once.
func (c *call) send(server *catalog.Server) backends.Result {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	c.ctx.Request.Header.CopyTo(&request.Header)
	request.Header.SetNoDefaultContentType(true)
	request.UseHostHeader = true
	request.SetBodyRaw(c.body)
	if c.sends == 0 {
		c.gateway.backends.RetryBudget().Deposit(c.service)
	} else {
		c.gateway.meters.retries.Inc()
	}
	c.sends++
	c.lastServer = server.ID
	c.tried = append(c.tried, server.ID)
	return c.gateway.backends.Send(c.context, &backends.Attempt{
		ID:       c.headers.ID,
		Server:   server,
		Keyed:    c.keyed,
		Request:  request,
		Deadline: c.deadline,
	})
}

// hasRetryableStatus reports that a server's answer is a failure that another server
// may not give.
func (c *call) hasRetryableStatus(result backends.Result) bool {
	return c.route.Repeat == catalog.Idempotent && result.Response.StatusCode() >= fasthttp.StatusInternalServerError
}

// classifyFailure tells what a classifyFailure send means.
func (c *call) classifyFailure(server *catalog.Server, result backends.Result) *reason.Error {
	outcome := reason.Unknown
	code := reason.ServerLost
	switch {
	case result.Execution == backends.NotRun && result.Misdirected:
		c.misdirectedAt = time.Now()
		outcome, code = reason.NotRun, reason.WrongEpoch
	case result.Execution == backends.NotRun && result.Sent:
		outcome, code = reason.NotRun, reason.ServerShed
	case result.Execution == backends.NotRun:
		outcome, code = reason.NotRun, reason.ServerUnreachable
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

// mayRetry decides whether the request is sent again.
func (c *call) mayRetry(result backends.Result) bool {
	switch {
	case c.context.Err() != nil:
		return false
	case c.route.Repeat == catalog.AtMostOnce && result.Execution != backends.NotRun:
		return false
	case c.possibleRuns >= max(c.route.MaxServers, 1) || c.sends >= c.route.MaxServers+extraSends:
		return false
	case !result.Sent:
		return true
	case c.requiresOwner() && result.Execution == backends.NotRun && !result.Misdirected:
		return false // the only server that may run it is full
	default:
		return c.gateway.backends.RetryBudget().Take(c.service)
	}
}

// writeResponse gives a server's writeResponse to the caller.
func (c *call) writeResponse(response *fasthttp.Response) {
	defer fasthttp.ReleaseResponse(response)
	body := response.Body()
	response.Header.CopyTo(&c.ctx.Response.Header)
	hop.StripResponse(&c.ctx.Response.Header)
	c.gateway.dialect.CleanAnswer(&c.ctx.Response.Header)
	c.ctx.Response.Header.SetNoDefaultContentType(true)
	c.ctx.Response.SetBody(body)
}
