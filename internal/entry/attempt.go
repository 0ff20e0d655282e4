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
	maxLoadRetries = 2                    // retries of one request that can add load to servers
	assignmentPoll = 2 * time.Millisecond // period at which a wait looks for a newer assignment
)

// attempts sends the request until it is answered, may not be sent again, or
// its deadline has passed. When one attempt may have run, the outcome of all is
// unknown, whatever became of the last one.
func (c *call) attempts() *reason.Error {
	refusal := c.repeat()
	if refusal != nil && refusal.Outcome == reason.NotRun && c.mayHaveRun {
		refusal.Outcome = reason.Unknown
		refusal.Message += "; an earlier attempt may have run"
	}
	return refusal
}

func (c *call) repeat() *reason.Error {
	budget := c.entry.budgets.Get(c.found.route.Pool, c.found.route.Rank, c.found.pool.RetryPercent)
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
			c.work.Death = refusal.CrashID
		}
		kind := c.retryKind(refusal)
		if kind == retryNever {
			return refusal
		}
		if kind == retryAddsLoad {
			loadRetries++
			if denied := c.denied(refusal, budget, loadRetries); denied != nil {
				return denied
			}
		}
		pause := backoff.Next()
		if time.Until(c.work.Deadline) < pause {
			return refusal
		}
		c.entry.metrics.Retried(refusal.Code)
		c.trace("retry", refusal.Error())
		c.wait(pause)
	}
}

// retryKind says whether and at whose cost a request may be sent again.
type retryKind int

const (
	retryNever retryKind = iota
	// retryFree reached no server: it waits for ownership or a connection.
	retryFree
	// retryAddsLoad reached a server and counts against the retry budget.
	retryAddsLoad
)

func (c *call) retryKind(refusal *reason.Error) retryKind {
	if !c.upload.replayable() || c.context.Err() != nil {
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

func (c *call) ifNotRun(refusal *reason.Error, kind retryKind) retryKind {
	if refusal.Outcome == reason.NotRun {
		return kind
	}
	return c.ifIdempotent()
}

// ifIdempotent allows a retry of a request that may have run.
func (c *call) ifIdempotent() retryKind {
	if c.work.Once {
		return retryNever
	}
	return retryAddsLoad
}

// denied returns the refusal to give when no retry that adds load is left.
func (c *call) denied(refusal *reason.Error, budget *retry.Budget, retries int) *reason.Error {
	if retries > maxLoadRetries {
		return refusal
	}
	if budget.Take() {
		return nil
	}
	if refusal.Outcome == reason.NotRun {
		return reason.New(reason.RetryBudget, "retry", refusal.Peer, "no retry is left in the pool's budget; last attempt: %v", refusal)
	}
	c.entry.metrics.Refused(reason.RetryBudget)
	return refusal
}

// wait pauses until a newer assignment of the pool is in force, at most for a pause.
func (c *call) wait(pause time.Duration) {
	pool := c.work.Server.Pool
	before := c.entry.directory.Load().Pools[pool]
	end := time.Now().Add(pause)
	for c.context.Err() == nil && c.entry.directory.Load().Pools[pool] == before {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		time.Sleep(min(left, assignmentPoll))
	}
}

// attempt sends the request once, under the assignment of this moment.
func (c *call) attempt() *reason.Error {
	if refusal := c.checkContext(); refusal != nil {
		return refusal
	}
	dispatcher, refusal := c.address()
	if refusal != nil {
		return refusal
	}
	load := c.entry.servers.of(c.work.Server)
	load.outstanding.Add(1)
	defer load.outstanding.Add(-1)
	refusal = c.forward(dispatcher)
	if refusal != nil && cannotServe(refusal.Code) {
		load.avoid(time.Now())
	}
	return refusal
}

// cannotServe reports that another server is the better choice for a while.
func cannotServe(code reason.Code) bool {
	switch code {
	case reason.ServerUnreachable, reason.ServerLost, reason.ServerDraining, reason.DispatcherLost:
		return true
	default:
		return false
	}
}

// checkContext refuses when the caller is gone or the deadline has passed.
func (c *call) checkContext() *reason.Error {
	if c.context.Err() == nil {
		return nil
	}
	return c.ended(reason.NotRun, "", "before it was sent")
}

// ended tells why the call's context ended.
func (c *call) ended(outcome reason.Outcome, peer, when string) *reason.Error {
	code := reason.DeadlinePassed
	if errors.Is(context.Cause(c.context), callwatch.ErrCallerGone) {
		code = reason.CallerGone
	}
	refusal := reason.New(code, "forward", peer, "%v, %s", context.Cause(c.context), when)
	refusal.Outcome = outcome
	return refusal
}

// forward sends the request to a dispatcher and passes its answer on.
func (c *call) forward(dispatcher *ownership.Dispatcher) *reason.Error {
	watched := c.entry.peers.of(dispatcher.Dispatch)
	if watched.silent.Load() {
		return reason.New(reason.DispatcherLost, "forward", string(dispatcher.Daemon), "%v", errSilent)
	}
	forwarded := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(forwarded)
	c.ctx.Request.Header.CopyTo(&forwarded.Header)
	c.work.Write(&forwarded.Header)
	forwarded.UseHostHeader = true
	c.upload.attach(forwarded)
	received := fasthttp.AcquireResponse()
	link := c.entry.links.to(dispatcher.Dispatch, c.work.Rank)
	attempt, waiting := watched.begin(c.context, !c.work.Once)
	exchange, failure := link.Do(attempt, forwarded, received)
	waiting.end(failure == nil)
	if failure != nil {
		fasthttp.ReleaseResponse(received)
		return c.forwardFailure(dispatcher, failure)
	}
	a := &answer{call: c, exchange: exchange, received: received, peer: string(dispatcher.Daemon)}
	return a.pass()
}

// forwardFailure tells what a failed exchange with a dispatcher means.
func (c *call) forwardFailure(dispatcher *ownership.Dispatcher, failure *httplink.Failure) *reason.Error {
	peer := string(dispatcher.Daemon)
	outcome := reason.NotRun
	if failure.Sent {
		outcome = reason.Unknown
	}
	if err := c.upload.failed(); err != nil {
		refusal := uploadRefusal(err)
		refusal.Outcome = outcome
		return refusal
	}
	if c.context.Err() != nil {
		return c.ended(outcome, peer, failure.Error())
	}
	if errors.Is(failure, httplink.ErrPoolFull) {
		return reason.New(reason.EntryFull, "forward", peer, "%v", failure)
	}
	refusal := reason.New(reason.DispatcherLost, "forward", peer, "%v", failure)
	refusal.Outcome = outcome
	return refusal
}
