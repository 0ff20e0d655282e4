package gateway

import (
	"context"
	"time"

	"github.com/chicorylug/chicorylug/internal/overload"
	"github.com/chicorylug/chicorylug/internal/reason"
)

// permitWaitDivisor bounds the wait for a permit: a request waits for 1/permitWaitDivisor
// of its remaining time, so that a caller that is refused can come back in time.
const permitWaitDivisor = 8

// sendAdmitted sends the request as sendWithRetries does. If any server of the service may
// run it and the service is overloaded, it waits for its turn first.
func (c *call) sendAdmitted() *reason.Error {
	defer func() { c.linkRoom.Release(c.responseBytes) }()
	if c.requiresOwner() {
		return c.sendWithRetries()
	}
	if refusal := c.regionRefusal(); refusal != nil {
		return refusal
	}
	if refusal := c.evacuatedServiceRefusal(); refusal != nil {
		return refusal
	}
	permit, retryAfter := c.gateway.overload.Acquire(c.context, &overload.Request{
		Service: c.service,
		Rank:    c.route.Rank,
		MaxWait: time.Until(c.deadline) / permitWaitDivisor,
	})
	if permit == nil {
		return c.overloadRefusal(retryAfter)
	}
	refusal := c.sendWithRetries()
	permit.Release(c.overloadOutcome(refusal), c.tookAtServer)
	return refusal
}

// overloadRefusal returns the refusal for a request that got no permit.
func (c *call) overloadRefusal(retryAfter time.Duration) *reason.Error {
	if cause := context.Cause(c.context); cause != nil {
		return c.contextRefusal(cause)
	}
	refusal := reason.New(reason.QueueFull, "admit", string(c.service), "the service is full; the turn of rank %d is expected in %v", c.route.Rank, retryAfter)
	refusal.RetryAfter = c.boundPause(max(retryAfter, retryLater))
	return refusal
}

// overloadOutcome returns what the end of the request says about the load of its service.
func (c *call) overloadOutcome(refusal *reason.Error) overload.Outcome {
	switch {
	case refusal != nil && c.foundFull:
		return overload.Full
	case c.tookAtServer > 0:
		return overload.Ran
	default:
		return overload.Other
	}
}
