package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/claim"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

const (
	maxKeptHeaderBytes = 8 * 1024               // headers of a kept answer
	settleMargin       = 500 * time.Millisecond // time after its deadline in which an outcome is still recorded
)

// runOnce runs a request that may run at most once: it is claimed before it is
// dispatched, and its outcome is recorded before the caller sees it. The caller
// going away does not cancel it, so that a repeat finds the outcome.
func (c *call) runOnce() (model.RequestID, *reason.Error) {
	ctx, cancel := context.WithDeadline(c.context, c.work.Deadline)
	defer cancel()
	held, earlier, err := c.entry.claims.Claim(ctx, claim.Request{
		Key:         claim.KeyOf(c.found.team, c.found.route.Name, c.work.Idempotency),
		Fingerprint: c.fingerprint(),
		Request:     c.work.Request,
		DispatchBy:  c.work.Deadline,
	})
	if err != nil {
		return c.work.Request, reason.New(reason.StoreUnavailable, "claim", "platform", "%v", err)
	}
	if earlier != nil {
		return c.answerEarlier(earlier)
	}
	c.trace("claimed", string(c.fingerprint()))
	refusal := c.attempts()
	return c.work.Request, c.settle(held, refusal)
}

func (c *call) fingerprint() claim.Fingerprint {
	header := &c.ctx.Request.Header
	return claim.FingerprintOf(string(header.Method()), string(header.RequestURI()), c.upload.identity())
}

// settle records the outcome. The caller is told the outcome also when the
// record fails; a repeat is then told that it is unknown.
func (c *call) settle(held *claim.Claim, refusal *reason.Error) *reason.Error {
	ctx, cancel := context.WithDeadline(context.Background(), c.settleBy())
	defer cancel()
	var err error
	switch {
	case refusal == nil:
		err = c.complete(ctx, held)
	case refusal.Outcome == reason.NotRun:
		err = held.Release(ctx)
	default:
		err = held.RecordUnknown(ctx)
	}
	if err == nil {
		return refusal
	}
	c.entry.metrics.Int("claim_outcomes_late").Add(1)
	c.trace("outcome not recorded", err.Error())
	if refusal != nil {
		refusal.Message += "; the outcome is not recorded yet, so a repeat may be told that it is unknown"
	}
	return refusal
}

// settleBy bounds the wait for the record of an outcome.
func (c *call) settleBy() time.Time {
	least := time.Now().Add(settleMargin)
	if c.work.Deadline.Before(least) {
		return least
	}
	return c.work.Deadline
}

// complete records the answer that was set for the caller.
func (c *call) complete(ctx context.Context, held *claim.Claim) error {
	status := c.ctx.Response.StatusCode()
	if c.streams {
		return held.CompleteWithoutBody(ctx, status)
	}
	headers, size := keptHeaders(&c.ctx.Response.Header)
	if size > maxKeptHeaderBytes {
		return held.CompleteWithoutBody(ctx, status)
	}
	return held.Complete(ctx, &claim.Answer{Status: status, Headers: headers, Body: c.ctx.Response.Body()})
}

// keptHeaders returns the headers that belong to the answer rather than to its
// transport, and their size in bytes.
func keptHeaders(h *fasthttp.ResponseHeader) ([]claim.Header, int) {
	var kept []claim.Header
	size := 0
	for name, value := range h.All() {
		switch string(name) {
		case fasthttp.HeaderContentLength, fasthttp.HeaderDate, fasthttp.HeaderConnection, fasthttp.HeaderTransferEncoding:
			continue
		}
		kept = append(kept, claim.Header{Name: string(name), Value: string(value)})
		size += len(name) + len(value)
	}
	return kept, size
}

// answerEarlier answers a repeat from the record of the earlier request.
func (c *call) answerEarlier(earlier *claim.Record) (model.RequestID, *reason.Error) {
	if earlier.Fingerprint != c.fingerprint() {
		return c.work.Request, reason.New(reason.IdempotencyReused, "claim", "",
			"the %s was used for another request, %s", wire.HeaderIdempotencyKey, earlier.Request)
	}
	if earlier.State != claim.Completed {
		return c.work.Request, c.unfinished(earlier)
	}
	kept, err := c.entry.claims.LoadAnswer(c.context, earlier)
	if errors.Is(err, platform.ErrNotFound) {
		refusal := reason.New(reason.AnswerNotKept, "claim", string(earlier.Holder),
			"request %s ran and was answered with status %d; the answer was not kept", earlier.Request, earlier.Answer.Status)
		refusal.Outcome = reason.Completed
		return c.work.Request, refusal
	}
	if err != nil {
		refusal := reason.New(reason.StoreUnavailable, "claim", "platform", "request %s ran; its answer can't be read now: %v", earlier.Request, err)
		refusal.Outcome = reason.Completed
		return c.work.Request, refusal
	}
	c.replay(kept)
	return earlier.Request, nil
}

// unfinished tells what is known of an earlier request without an answer. Its
// holder may be gone; nobody takes its claim over.
func (c *call) unfinished(earlier *claim.Record) *reason.Error {
	peer := string(earlier.Holder)
	overdue := time.Now().After(time.UnixMilli(earlier.DispatchByMS).Add(settleMargin))
	if earlier.State == claim.Unknown || overdue {
		return reason.NewUnknown(reason.OutcomeUnknown, "claim", peer, "request %s may have run", earlier.Request)
	}
	return reason.NewUnknown(reason.InProgress, "claim", peer, "request %s is in progress", earlier.Request)
}

// replay sets the answer that was recorded for the earlier request.
func (c *call) replay(kept *claim.Answer) {
	c.entry.metrics.Int("claim_replays").Add(1)
	c.ctx.Response.SetStatusCode(kept.Status)
	for _, header := range kept.Headers {
		c.ctx.Response.Header.Set(header.Name, header.Value)
	}
	c.ctx.Response.Header.Set(wire.HeaderReplayed, "1")
	c.ctx.Response.SetBodyRaw(kept.Body)
}
