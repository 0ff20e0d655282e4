package gateway

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/linkroom"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/reason"
)

// takeLinkRoom has the request admitted to the link once, before its first attempt. All that
// could refuse it or make it wait has been asked before: room that is taken and not used is
// lost to others.
func (c *call) takeLinkRoom() *reason.Error {
	if c.linkAdmitted {
		return nil
	}
	admission, refusal := c.admitToLink()
	if refusal != nil {
		return refusal
	}
	c.linkRoom, c.linkAdmitted = admission, true
	return nil
}

// admitToLink reserves room on the daemon's link for the response to the request, for which
// it waits a while, or refuses the request: another daemon may have room.
func (c *call) admitToLink() (linkroom.Admission, *reason.Error) {
	link := c.gateway.link
	request := &linkroom.Request{
		Kind:             linkroom.Kind{Service: c.service, Large: c.route.LargeResponses},
		Rank:             c.route.Rank,
		LatencyObjective: c.route.LatencyObjective,
	}
	now := time.Now()
	admission, retryAfter, ok := link.Admit(request, now)
	if ok {
		return admission, nil
	}
	waiter := link.Enqueue(request, now)
	if waiter == nil {
		return admission, c.linkRefusal(retryAfter)
	}
	defer link.Dequeue(waiter)
	check := time.NewTicker(linkroom.WaitCheckPeriod)
	defer check.Stop()
	for {
		select {
		case <-c.context.Done():
			return linkroom.Admission{}, c.contextRefusal(context.Cause(c.context))
		case now = <-check.C:
		}
		admission, retryAfter, admitted, expired := link.Try(waiter, now)
		if admitted {
			return admission, nil
		}
		if expired {
			return admission, c.linkRefusal(retryAfter)
		}
	}
}

func (c *call) linkRefusal(retryAfter time.Duration) *reason.Error {
	refusal := reason.New(reason.LinkFull, "admit", "", "the network link has room for the response in %v", retryAfter)
	refusal.RetryAfter = c.boundPause(retryAfter)
	return refusal
}

// publishLink registers gauges of the link, if its bandwidth is known.
func publishLink(registry *metrics.Registry, link *linkroom.Room) {
	if link == nil {
		return
	}
	registry.Gauge(`link_due_seconds{direction="in"}`, func() float64 { return link.DueIn(time.Now()).Seconds() })
	registry.Gauge(`link_due_seconds{direction="out"}`, func() float64 { return link.DueOut(time.Now()).Seconds() })
	registry.Gauge(`link_large_responses`, func() float64 { return float64(link.Large()) })
	for direction, pacer := range map[string]*linkroom.Pacer{"in": link.In, "out": link.Out} {
		for class, name := range map[linkroom.Class]string{linkroom.Control: "control", linkroom.Traffic: "traffic"} {
			registry.Gauge(fmt.Sprintf(`link_bytes_total{direction=%q,class=%q}`, direction, name), func() float64 { return float64(pacer.Passed(class)) })
		}
	}
}

// linkWatch logs that the link is full, and when it is no longer.
type linkWatch struct {
	full bool
}

// check is called each pruneInterval.
func (w *linkWatch) check(link *linkroom.Room, log *zap.Logger, now time.Time) {
	full := link.Full(now)
	if !full && !w.full {
		return
	}
	w.full = full
	log.Info("state of the network link", zap.Bool("full", full),
		zap.Duration("due_in", link.DueIn(now)), zap.Duration("due_out", link.DueOut(now)), zap.Int("large_responses", link.Large()),
		zap.Int64("control_in", link.In.Passed(linkroom.Control)), zap.Int64("control_out", link.Out.Passed(linkroom.Control)),
		zap.Int64("traffic_in", link.In.Passed(linkroom.Traffic)), zap.Int64("traffic_out", link.Out.Passed(linkroom.Traffic)))
}
