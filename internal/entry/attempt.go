package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/callwatch"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/retry"
)

const (
	maxLoadRetries       = 2                    // retries of one request that put load on servers; see retryAddsLoad
	assignmentPollPeriod = 2 * time.Millisecond // time between two checks for a newer assignment
)

// forwardWithRetries sends the request until it is answered, may not be sent
// again, or its deadline has passed. If any attempt may have run, the outcome of
// the request is unknown, even if the last attempt did not run.
func (c *call) forwardWithRetries() *reason.Error {
	refusal := c.retryLoop()
	if refusal != nil && refusal.Outcome == reason.NotRun && c.mayHaveRun {
		refusal.Outcome = reason.Unknown
		refusal.Message += "; an earlier attempt may have run"
	}
	return refusal
}

// retryLoop makes the attempts and returns the refusal of the last one.
func (c *call) retryLoop() *reason.Error {
	budget := c.entry.budgets.Get(c.match.route.Pool, c.match.route.Rank, c.match.pool.RetryPercent)
	budget.CountRequest()
	var backoff retry.Backoff
	loadRetries := 0
	for {
		refusal := c.attempt()
		if refusal == nil {
			return nil
		}
		c.mayHaveRun = c.mayHaveRun || refusal.Outcome != reason.NotRun
		if refusal.CrashID != "" {
			c.work.CrashID = refusal.CrashID
		}
		kind := c.retryKind(refusal)
		if kind == retryNever {
			return refusal
		}
		if kind == retryAddsLoad {
			loadRetries++
			if denied := c.checkRetryLimits(refusal, budget, loadRetries); denied != nil {
				return denied
			}
		}
		pause := backoff.Next()
		if time.Until(c.work.Deadline) < pause {
			return refusal
		}
		c.entry.metrics.CountRetry(refusal.Code)
		c.trace("retry", refusal.Error())
		c.waitForAssignment(pause)
	}
}

// retryKind says whether a request may be sent again, and whether that puts load
// on a server.
type retryKind int

const (
	retryNever retryKind = iota
	// retryFree follows an attempt that reached no server, because the shard had
	// no usable owner or no connection could be opened. It is not limited.
	retryFree
	// retryAddsLoad follows an attempt that reached or may have reached a server.
	// It counts against maxLoadRetries and the retry budget.
	retryAddsLoad
)

// retryKind decides whether the request may be sent again after a refusal.
func (c *call) retryKind(refusal *reason.Error) retryKind {
	if !c.upload.resendable() || c.context.Err() != nil {
		return retryNever
	}
	switch refusal.Code {
	case reason.WrongEpoch, reason.ShardMoving, reason.NotDispatcher, reason.PermitExpired,
		reason.NoOwner, reason.ServerUnreachable, reason.ServerDraining, reason.ShuttingDown, reason.NotReady:
		return c.ifNotRun(refusal, retryFree)
	case reason.ServerShed, reason.ServerRefusedGrant:
		return c.ifNotRun(refusal, retryAddsLoad)
	case reason.DispatcherLost:
		if refusal.Outcome == reason.NotRun {
			return retryFree
		}
		return c.ifIdempotent()
	case reason.ServerLost, reason.ServerTimeout, reason.ShortAnswer, reason.DigestMismatch:
		return c.ifIdempotent()
	default:
		return retryNever
	}
}

// ifNotRun returns kind when the attempt did not run.
func (c *call) ifNotRun(refusal *reason.Error, kind retryKind) retryKind {
	if refusal.Outcome == reason.NotRun {
		return kind
	}
	return c.ifIdempotent()
}

// ifIdempotent decides about a request that may have run: it is sent again unless
// it may run at most once.
func (c *call) ifIdempotent() retryKind {
	if c.work.AtMostOnce {
		return retryNever
	}
	return retryAddsLoad
}

// checkRetryLimits returns the refusal for the caller when a retry that adds load
// exceeds the limit of the request or the budget of the pool and rank, or nil.
func (c *call) checkRetryLimits(refusal *reason.Error, budget *retry.Budget, retries int) *reason.Error {
	if retries > maxLoadRetries {
		return refusal
	}
	if budget.Take() {
		return nil
	}
	if refusal.Outcome == reason.NotRun {
		return reason.New(reason.RetryBudget, "retry", refusal.Peer, "no retry is left in the pool's budget; last attempt: %v", refusal)
	}
	c.entry.metrics.CountRefusal(reason.RetryBudget)
	return refusal
}

// waitForAssignment sleeps until a newer assignment of the pool is in force, the
// call's context ends, or the pause is over.
func (c *call) waitForAssignment(pause time.Duration) {
	pool := c.work.Server.Pool
	current := c.entry.directory.Load().Pools[pool]
	end := time.Now().Add(pause)
	for c.context.Err() == nil && c.entry.directory.Load().Pools[pool] == current {
		remaining := time.Until(end)
		if remaining <= 0 {
			return
		}
		time.Sleep(min(remaining, assignmentPollPeriod))
	}
}

// attempt sends the request once, according to the current assignment of the pool.
func (c *call) attempt() *reason.Error {
	if refusal := c.checkContext(); refusal != nil {
		return refusal
	}
	dispatcher, refusal := c.resolve()
	if refusal != nil {
		return refusal
	}
	load := c.entry.servers.get(c.work.Server)
	load.outstanding.Add(1)
	defer load.outstanding.Add(-1)
	refusal = c.forward(dispatcher)
	if refusal != nil && shouldAvoid(refusal.Code) {
		load.avoid(time.Now())
	}
	return refusal
}

// shouldAvoid reports whether the refusal shows that the server can't be reached or
// drains, so that other servers are preferred for avoidPeriod.
func shouldAvoid(code reason.Code) bool {
	switch code {
	case reason.ServerUnreachable, reason.ServerLost, reason.ServerDraining, reason.DispatcherLost:
		return true
	default:
		return false
	}
}

// checkContext returns a refusal when the caller has closed its connection or the
// deadline has passed.
func (c *call) checkContext() *reason.Error {
	if c.context.Err() == nil {
		return nil
	}
	return c.contextEnded(reason.NotRun, "", "before it was sent")
}

// contextEnded returns the refusal for a call whose context has ended. when says
// at which point, for the message.
func (c *call) contextEnded(outcome reason.Outcome, peer, when string) *reason.Error {
	code := reason.DeadlinePassed
	if errors.Is(context.Cause(c.context), callwatch.ErrCallerGone) {
		code = reason.CallerGone
	}
	refusal := reason.New(code, "forward", peer, "%v, %s", context.Cause(c.context), when)
	refusal.Outcome = outcome
	return refusal
}

// forward sends the request to a dispatcher and passes its response on.
func (c *call) forward(dispatcher *ownership.Dispatcher) *reason.Error {
	monitor := c.entry.monitors.get(dispatcher.Dispatch)
	if monitor.unresponsive.Load() {
		return reason.New(reason.DispatcherLost, "forward", string(dispatcher.Daemon), "%v", errUnresponsive)
	}
	forwarded := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(forwarded)
	c.ctx.Request.Header.CopyTo(&forwarded.Header)
	c.work.Write(&forwarded.Header)
	forwarded.UseHostHeader = true
	c.upload.attach(forwarded)
	received := fasthttp.AcquireResponse()
	pool := c.entry.connPools.get(dispatcher.Dispatch, c.work.Rank)
	ctx, pending := monitor.begin(c.context, !c.work.AtMostOnce)
	exchange, failure := pool.Do(ctx, forwarded, received)
	pending.end(failure == nil)
	if failure != nil {
		fasthttp.ReleaseResponse(received)
		return c.forwardFailure(dispatcher, failure)
	}
	r := &response{call: c, exchange: exchange, received: received, peer: string(dispatcher.Daemon)}
	return r.deliver()
}

// forwardFailure returns the refusal for a failed exchange with a dispatcher.
func (c *call) forwardFailure(dispatcher *ownership.Dispatcher, failure *httplink.Failure) *reason.Error {
	peer := string(dispatcher.Daemon)
	outcome := reason.NotRun
	if failure.Sent {
		outcome = reason.Unknown
	}
	if err := c.upload.readError(); err != nil {
		refusal := uploadRefusal(err)
		refusal.Outcome = outcome
		return refusal
	}
	if c.context.Err() != nil {
		return c.contextEnded(outcome, peer, failure.Error())
	}
	if errors.Is(failure, httplink.ErrPoolFull) {
		return reason.New(reason.EntryFull, "forward", peer, "%v", failure)
	}
	refusal := reason.New(reason.DispatcherLost, "forward", peer, "%v", failure)
	refusal.Outcome = outcome
	return refusal
}
