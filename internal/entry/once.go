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
	maxStoredHeaderBytes = 8 * 1024               // headers of a stored response; with more, only the status is stored
	recordMargin         = 500 * time.Millisecond // time after the deadline in which an outcome may still be recorded
)

// runOnce forwards a request that may run at most once. The request is claimed in
// the platform's table before it is dispatched, and its outcome is recorded there
// before the response is sent to the caller. It is not cancelled when the caller
// closes its connection, so that a repeat with the same idempotency key finds the
// outcome. The result is the ID of the request whose response was set.
func (c *call) runOnce() (model.RequestID, *reason.Error) {
	ctx, cancel := context.WithDeadline(c.context, c.work.Deadline)
	defer cancel()
	claimed, earlier, err := c.entry.claims.Claim(ctx, claim.Request{
		Key:         claim.KeyOf(c.match.team, c.match.route.Name, c.work.IdempotencyKey),
		Fingerprint: c.fingerprint(),
		Request:     c.work.Request,
		DispatchBy:  c.work.Deadline,
	})
	if err != nil {
		return c.work.Request, reason.New(reason.StoreUnavailable, "claim", "platform", "%v", err)
	}
	if earlier != nil {
		return c.replayEarlier(earlier)
	}
	c.trace("claimed", string(c.fingerprint()))
	refusal := c.forwardWithRetries()
	return c.work.Request, c.recordOutcome(claimed, refusal)
}

// fingerprint identifies the request's method, target and body, to detect the use of
// one idempotency key for different requests.
func (c *call) fingerprint() claim.Fingerprint {
	header := &c.ctx.Request.Header
	return claim.FingerprintOf(string(header.Method()), string(header.RequestURI()), c.upload.contentID())
}

// recordOutcome records the outcome under the claim. When that fails, the caller
// still gets its response or refusal, but a repeat is told that the outcome is
// unknown.
func (c *call) recordOutcome(claimed *claim.Claim, refusal *reason.Error) *reason.Error {
	ctx, cancel := context.WithDeadline(context.Background(), c.recordDeadline())
	defer cancel()
	var err error
	switch {
	case refusal == nil:
		err = c.recordCompleted(ctx, claimed)
	case refusal.Outcome == reason.NotRun:
		err = claimed.Release(ctx)
	default:
		err = claimed.RecordUnknown(ctx)
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

// recordDeadline returns the time until which recording the outcome may take: the
// request's deadline, but at least recordMargin from now.
func (c *call) recordDeadline() time.Time {
	least := time.Now().Add(recordMargin)
	if c.work.Deadline.Before(least) {
		return least
	}
	return c.work.Deadline
}

// recordCompleted records the response that was set for the caller. Of a streamed
// response or one with large headers, only the status is stored.
func (c *call) recordCompleted(ctx context.Context, claimed *claim.Claim) error {
	status := c.ctx.Response.StatusCode()
	if c.streaming {
		return claimed.CompleteWithoutBody(ctx, status)
	}
	headers, size := storedHeaders(&c.ctx.Response.Header)
	if size > maxStoredHeaderBytes {
		return claimed.CompleteWithoutBody(ctx, status)
	}
	return claimed.Complete(ctx, &claim.Response{Status: status, Headers: headers, Body: c.ctx.Response.Body()})
}

// storedHeaders returns the headers to store with a response, which are those that
// do not describe its date, connection or framing, and their size in bytes.
func storedHeaders(h *fasthttp.ResponseHeader) ([]claim.Header, int) {
	var stored []claim.Header
	size := 0
	for name, value := range h.All() {
		switch string(name) {
		case fasthttp.HeaderContentLength, fasthttp.HeaderDate, fasthttp.HeaderConnection, fasthttp.HeaderTransferEncoding:
			continue
		}
		stored = append(stored, claim.Header{Name: string(name), Value: string(value)})
		size += len(name) + len(value)
	}
	return stored, size
}

// replayEarlier answers a repeat from the record of the earlier request with the
// same idempotency key.
func (c *call) replayEarlier(earlier *claim.Record) (model.RequestID, *reason.Error) {
	if earlier.Fingerprint != c.fingerprint() {
		return c.work.Request, reason.New(reason.IdempotencyReused, "claim", "",
			"the %s was used for another request, %s", wire.HeaderIdempotencyKey, earlier.Request)
	}
	if earlier.State != claim.Completed {
		return c.work.Request, c.earlierUnfinished(earlier)
	}
	stored, err := c.entry.claims.LoadResponse(c.context, earlier)
	if errors.Is(err, platform.ErrNotFound) {
		refusal := reason.New(reason.AnswerNotKept, "claim", string(earlier.Holder),
			"request %s ran and was answered with status %d; the answer was not kept", earlier.Request, earlier.Response.Status)
		refusal.Outcome = reason.Completed
		return c.work.Request, refusal
	}
	if err != nil {
		refusal := reason.New(reason.StoreUnavailable, "claim", "platform", "request %s ran; its answer can't be read now: %v", earlier.Request, err)
		refusal.Outcome = reason.Completed
		return c.work.Request, refusal
	}
	c.setReplay(stored)
	return earlier.Request, nil
}

// earlierUnfinished returns the refusal for a repeat of a request that has no
// recorded response. After its deadline and recordMargin its outcome counts as
// unknown: the daemon that holds the claim may have stopped, and no other daemon
// takes a claim over.
func (c *call) earlierUnfinished(earlier *claim.Record) *reason.Error {
	peer := string(earlier.Holder)
	overdue := time.Now().After(time.UnixMilli(earlier.DispatchByMS).Add(recordMargin))
	if earlier.State == claim.Unknown || overdue {
		return reason.NewUnknown(reason.OutcomeUnknown, "claim", peer, "request %s may have run", earlier.Request)
	}
	return reason.NewUnknown(reason.InProgress, "claim", peer, "request %s is in progress", earlier.Request)
}

// setReplay sets the stored response of the earlier request as the caller's.
func (c *call) setReplay(stored *claim.Response) {
	c.entry.metrics.Int("claim_replays").Add(1)
	c.ctx.Response.SetStatusCode(stored.Status)
	for _, header := range stored.Headers {
		c.ctx.Response.Header.Set(header.Name, header.Value)
	}
	c.ctx.Response.Header.Set(wire.HeaderReplayed, "1")
	c.ctx.Response.SetBodyRaw(stored.Body)
}
