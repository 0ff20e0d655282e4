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
	ownerPoll  = 10 * time.Millisecond   // period at which a wait looks for an owner
	ownerShare = 3                       // an owner is awaited for one part in so many of the time left
	ownerAgain = 30 * time.Millisecond   // a server that did not own a key may have got it after this time
	extraSends = 2                       // sends that did not run, beside those that a route allows to run
	leavingUse = 1500 * time.Millisecond // a server that leaves gets requests for its keys for this time
	leastTime  = 5 * time.Millisecond    // time below which a request is not sent any more
)

// attempts sends the request until it is answered or may not be sent again.
func (c *call) attempts() *reason.Error {
	for {
		if refusal := c.suspected(); refusal != nil {
			return c.final(refusal)
		}
		server, refusal := c.pick()
		if refusal != nil {
			return c.final(refusal)
		}
		if time.Until(c.until) < leastTime {
			return c.final(reason.New(reason.DeadlinePassed, "send", string(server.ID), "no time is left"))
		}
		pass, refusal := c.pass(server)
		if refusal != nil {
			return c.final(refusal)
		}
		result := c.send(server)
		pass.Done(timeAt(result))
		if result.Ran == backends.RanYes && !c.worthAnother(result) {
			c.absolve()
			c.answer(result.Answer)
			return nil
		}
		c.blame(server, result)
		refusal = c.failed(server, result)
		again := c.mayRepeat(result)
		c.gateway.log.Info("send failed", c.fields(result.Took,
			zap.String("outcome", string(refusal.Outcome)), zap.String("reason", string(refusal.Code)),
			zap.Bool("again", again), zap.Error(result.Why))...)
		if !again {
			if result.Answer != nil {
				c.answer(result.Answer)
				return nil
			}
			return c.final(refusal)
		}
		if result.Answer != nil {
			fasthttp.ReleaseResponse(result.Answer)
		}
	}
}

// final makes the outcome of a refusal that of all attempts.
func (c *call) final(refusal *reason.Error) *reason.Error {
	if c.maybe && refusal.Outcome == reason.NotRun {
		refusal.Outcome = reason.Unknown
		refusal.Message += "; an earlier send may have run"
	}
	return refusal
}

// pick returns the server to send to.
func (c *call) pick() (*catalog.Server, *reason.Error) {
	if cause := context.Cause(c.context); cause != nil {
		return nil, c.over(cause)
	}
	if c.ownedKey() {
		return c.awaitOwner()
	}
	snapshot := c.gateway.catalog.Load()
	server := c.gateway.backends.Choose(snapshot, &backends.Wanted{
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

// ownedKey reports that only the owner of the request's key may run it.
func (c *call) ownedKey() bool { return c.keyed && c.said.Key != dialect.NoKey }

// over tells why the call's context ended.
func (c *call) over(cause error) *reason.Error {
	code := reason.DeadlinePassed
	if errors.Is(cause, callwatch.ErrCallerGone) {
		code = reason.CallerGone
	}
	return reason.New(code, "send", string(c.server), "%v", cause)
}

// awaitOwner returns the owner of the request's key. While the key has none, or
// only one that has just said that it isn't, it waits for a part of the time.
func (c *call) awaitOwner() (*catalog.Server, *reason.Error) {
	end := time.Now().Add(time.Until(c.until) / ownerShare)
	for {
		if server := c.owner(time.Now()); server != nil {
			return server, nil
		}
		if cause := context.Cause(c.context); cause != nil {
			return nil, c.over(cause)
		}
		if time.Now().After(end) {
			return nil, reason.New(reason.NoOwner, "choose", string(c.service), "key %d has no owner", c.said.Key)
		}
		time.Sleep(ownerPoll)
	}
}

// pass asks for a slot at the owner of the request's key. Other requests need none.
func (c *call) pass(server *catalog.Server) (*slots.Pass, *reason.Error) {
	if !c.ownedKey() {
		return &slots.Pass{}, nil
	}
	inTime := c.until
	if c.route.LatencyObjective > 0 {
		inTime = c.arrived.Add(c.route.LatencyObjective - 2*callerWay)
	}
	pass, stayAway := c.gateway.slots.Ask(c.context, server, c.route.Rank, inTime)
	if pass == nil {
		refusal := reason.New(reason.QueueFull, "ask", string(server.ID), "no slot in time; the next one is expected in %v", stayAway)
		refusal.RetryAfter = c.bounded(stayAway)
		return nil, refusal
	}
	return pass, nil
}

// timeAt is the time that a request ran at its server, or zero.
func timeAt(result backends.Result) time.Duration {
	if result.Ran != backends.RanYes {
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
	owned := owners.Owner(c.said.Key)
	if owned == nil || (c.sends > 0 && owned.Fence == c.fence && now.Sub(c.misdirected) < ownerAgain) {
		return nil
	}
	server := snapshot.Servers[owned.Server]
	if server == nil || server.StartedMS != owned.StartedMS || (server.Leaving && time.Since(server.LeavingSince) > leavingUse) {
		return nil
	}
	c.fence = owned.Fence
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
		c.gateway.backends.Budget().First(c.service)
	} else {
		c.gateway.meters.repeats.Inc()
	}
	c.sends++
	c.server = server.ID
	c.tried = append(c.tried, server.ID)
	return c.gateway.backends.Send(c.context, &backends.Attempt{
		ID:      c.said.ID,
		Server:  server,
		Keyed:   c.keyed,
		Request: request,
		Until:   c.until,
	})
}

// worthAnother reports that a server's answer is a failure that another server
// may not give.
func (c *call) worthAnother(result backends.Result) bool {
	return c.route.Repeat == catalog.Idempotent && result.Answer.StatusCode() >= fasthttp.StatusInternalServerError
}

// failed tells what a failed send means.
func (c *call) failed(server *catalog.Server, result backends.Result) *reason.Error {
	outcome := reason.Unknown
	code := reason.ServerLost
	switch {
	case result.Ran == backends.RanNot && result.Misdirected:
		c.misdirected = time.Now()
		outcome, code = reason.NotRun, reason.WrongEpoch
	case result.Ran == backends.RanNot && result.Arrived:
		outcome, code = reason.NotRun, reason.ServerShed
	case result.Ran == backends.RanNot:
		outcome, code = reason.NotRun, reason.ServerUnreachable
	default:
		c.maybe = true
		c.runs++
	}
	if cause := context.Cause(c.context); cause != nil {
		refusal := c.over(cause)
		refusal.Outcome = outcome
		return refusal
	}
	refusal := reason.New(code, "send", string(server.ID), "%v", result.Why)
	refusal.Outcome = outcome
	return refusal
}

// mayRepeat decides whether the request is sent again.
func (c *call) mayRepeat(result backends.Result) bool {
	switch {
	case c.context.Err() != nil:
		return false
	case c.route.Repeat == catalog.AtMostOnce && result.Ran != backends.RanNot:
		return false
	case c.runs >= max(c.route.MaxServers, 1) || c.sends >= c.route.MaxServers+extraSends:
		return false
	case !result.Arrived:
		return true
	case c.ownedKey() && result.Ran == backends.RanNot && !result.Misdirected:
		return false // the only server that may run it is full
	default:
		return c.gateway.backends.Budget().Take(c.service)
	}
}

// answer gives a server's answer to the caller.
func (c *call) answer(answer *fasthttp.Response) {
	defer fasthttp.ReleaseResponse(answer)
	body := answer.Body()
	answer.Header.CopyTo(&c.ctx.Response.Header)
	hop.StripResponse(&c.ctx.Response.Header)
	c.gateway.dialect.CleanAnswer(&c.ctx.Response.Header)
	c.ctx.Response.Header.SetNoDefaultContentType(true)
	c.ctx.Response.SetBody(body)
}
