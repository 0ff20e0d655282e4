package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/ctlproto"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// Periods and time limits of the hand-over.
const (
	handOverPollPeriod = 20 * time.Millisecond  // time between two checks of this daemon's permits
	offerTimeout       = 300 * time.Millisecond // limit of one offer of a released lease
)

// HandOver transfers this daemon's duties before it shuts down: it announces
// that the daemon is leaving, releases its control leases and waits until the
// daemon is no longer an active dispatcher. It returns nil at once when no
// other daemon can take over, and ctx.Err() when ctx ends first. Requests in
// progress are not affected. It may be called once.
func (c *Coordinator) HandOver(ctx context.Context) error {
	c.member.AnnounceLeaving()
	if !c.hasSuccessor() {
		return nil
	}
	var candidates []*candidate
	if err := c.loop.Call(ctx, func() {
		c.leaving = true
		for _, cand := range c.candidates {
			candidates = append(candidates, cand)
		}
	}); err != nil {
		return err
	}
	for _, cand := range candidates {
		if err := cand.release(ctx); err != nil {
			c.log.Warn("releasing a control lease failed", zap.String("step", "hand over"), zap.String("peer", "platform"), zap.Error(err))
		}
	}
	return c.awaitRetired(ctx)
}

// hasSuccessor reports whether another daemon can take over.
func (c *Coordinator) hasSuccessor() bool {
	for id, daemon := range c.member.Members().Daemons {
		if id != c.config.Name && !daemon.Leaving {
			return true
		}
	}
	return false
}

// awaitRetired waits until this daemon is no active dispatcher of any server.
func (c *Coordinator) awaitRetired(ctx context.Context) error {
	for {
		active, err := c.agent.ActiveServers(ctx)
		if err != nil || active == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(handOverPollPeriod):
		}
	}
}

// offerLease notifies the first successor that answers of the released lease.
func (cand *candidate) offerLease(ctx context.Context, term model.Term) {
	daemons := cand.c.member.Members().Daemons
	for _, id := range cand.successors() {
		callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
		request := &ctlproto.OfferRequest{Pool: cand.pool, Term: term}
		_, err := rpc.Call[ctlproto.OfferResponse](callCtx, cand.c.client, daemons[id].Control, ctlproto.MethodOffer, request)
		cancel()
		if err == nil {
			return
		}
	}
}
