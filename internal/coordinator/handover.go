package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/ctlproto"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// Periods of the hand-over.
const (
	handOverPoll = 20 * time.Millisecond  // time between two looks at this daemon's permits
	offerTimeout = 300 * time.Millisecond // bound of one offer of a released lease
)

// HandOver passes on what this daemon controls before it leaves: it announces
// that it leaves, releases its control leases and waits until it is no longer
// an active dispatcher. It returns the error of ctx when that comes first.
// Requests in progress go on; it may be called once.
func (c *Coordinator) HandOver(ctx context.Context) error {
	c.member.AnnounceLeaving()
	if !c.successor() {
		return nil
	}
	var held []*candidate
	if err := c.loop.Call(ctx, func() {
		c.leaving = true
		for _, cand := range c.candidates {
			held = append(held, cand)
		}
	}); err != nil {
		return err
	}
	for _, cand := range held {
		if err := cand.release(ctx); err != nil {
			c.log.Warn("lease not released", zap.String("step", "hand over"), zap.String("peer", "platform"), zap.Error(err))
		}
	}
	return c.awaitRetired(ctx)
}

// successor reports that another daemon can take over.
func (c *Coordinator) successor() bool {
	for id, daemon := range c.member.Members().Daemons {
		if id != c.config.Name && !daemon.Leaving {
			return true
		}
	}
	return false
}

func (c *Coordinator) awaitRetired(ctx context.Context) error {
	for {
		active, err := c.agent.Active(ctx)
		if err != nil || active == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(handOverPoll):
		}
	}
}

// offer tells the first successor that answers about the released lease.
func (cand *candidate) offer(ctx context.Context, term model.Term) {
	daemons := cand.c.member.Members().Daemons
	for _, id := range cand.successors() {
		call, cancel := context.WithTimeout(ctx, offerTimeout)
		request := &ctlproto.OfferRequest{Pool: cand.pool, Term: term}
		_, err := rpc.Call[ctlproto.OfferResponse](call, cand.c.client, daemons[id].Control, ctlproto.MethodOffer, request)
		cancel()
		if err == nil {
			return
		}
	}
}
