package keeper

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/model"
)

// renewLoop renews the grants that are due.
func (t *tender) renewLoop() {
	defer t.done.Done()
	pauses := newClock()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-time.After(tendPeriod):
		}
		if pause := pauses.lap(); pause > standStill {
			t.depose("the process stood still", zap.Duration("for", pause))
			return
		}
		now := time.Now()
		if t.keeper.follow.StoreAge() < storeFresh {
			t.confirmed = now
		}
		if owners := t.keeper.catalog.Load().Owners[t.service]; owners != nil && owners.Term > t.term() {
			t.depose("another daemon keeps the keys", zap.Uint64("its_term", uint64(owners.Term)))
			return
		}
		if silent := now.Sub(t.confirmed); silent > outageTending {
			t.depose("no word from the store", zap.Duration("for", silent))
			return
		}
		t.renewDue(now)
	}
}

func (t *tender) renewDue(now time.Time) {
	snapshot := t.keeper.catalog.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	owning := map[model.ServerID]bool{}
	for _, r := range t.owners.Ranges {
		owning[r.Server] = true
		server := snapshot.Servers[r.Server]
		h := t.holders[r.Server]
		if server != nil && server.StartedMS != r.StartedMS {
			continue // another life: what the one before was granted runs out
		}
		if h == nil || h.server.StartedMS != r.StartedMS {
			if server == nil {
				continue
			}
			h = t.hold(server, t.othersUntil)
		}
		if h.due(now) {
			t.begin(h, t.renew)
		}
	}
	t.checkLost(snapshot, owning, now)
}

// hold begins to grant keys to a life of a server. It runs under the lock.
func (t *tender) hold(server *catalog.Server, heldUntil time.Time) *holder {
	h := newHolder(server, t.keeper.callsTo(server), heldUntil)
	h.earlierUntil = t.othersUntil
	if earlier := t.holders[server.ID]; earlier != nil {
		h.earlierUntil = after(earlier.heldUntil, earlier.earlierUntil)
	}
	t.holders[server.ID] = h
	return h
}

// due reports that the server is to be called now.
func (h *holder) due(now time.Time) bool { return h.underWay == 0 && !now.Before(h.nextAt) }

// begin starts a call to a server. It runs under the lock.
func (t *tender) begin(h *holder, call func(*holder)) {
	h.underWay++
	t.done.Add(1)
	go func() {
		defer t.done.Done()
		call(h)
	}()
}

// grantsOf returns the runs of a server that may be granted now. It runs under the lock.
func (t *tender) grantsOf(h *holder) []catalog.Range {
	var runs []catalog.Range
	for _, r := range t.owners.Ranges {
		if r.Server == h.server.ID && r.StartedMS == h.server.StartedMS && r.Fence >= h.leastFence {
			runs = append(runs, without(r, t.moving)...)
		}
	}
	return runs
}

// without returns what is left of a range when others are taken out.
func without(r catalog.Range, out []catalog.Range) []catalog.Range {
	left := []catalog.Range{r}
	for _, o := range out {
		var next []catalog.Range
		for _, l := range left {
			if o.To < l.From || o.From > l.To {
				next = append(next, l)
				continue
			}
			if o.From > l.From {
				below := l
				below.To = o.From - 1
				next = append(next, below)
			}
			if o.To < l.To {
				above := l
				above.From = o.To + 1
				next = append(next, above)
			}
		}
		left = next
	}
	return left
}

// renew grants all that a server owns. After a failure it only looks whether the
// server answers.
func (t *tender) renew(h *holder) {
	t.mu.Lock()
	runs := t.grantsOf(h)
	broken := h.broken
	t.mu.Unlock()
	if broken {
		err := t.check(h)
		ended := t.hasEnded(h, err)
		t.mu.Lock()
		defer t.mu.Unlock()
		h.underWay--
		h.nextAt = time.Now().Add(retryPeriod)
		h.answering = err == nil
		h.ended = h.ended || ended
		return
	}
	var failure error
	for _, r := range runs {
		if failure = t.grant(h, r, ""); failure != nil {
			break
		}
	}
	ended := t.hasEnded(h, failure)
	t.mu.Lock()
	defer t.mu.Unlock()
	h.underWay--
	h.nextAt = time.Now().Add(renewPeriod)
	h.taken = failure == nil && len(runs) > 0
	switch {
	case failure != nil:
		t.failed(h, failure, ended)
	case h.taken && h.lost():
		t.log.Info("server takes its keys again", zap.String("server", string(h.server.ID)), zap.Duration("after", time.Since(h.silent)))
		h.restore()
	}
}

// grant gives one run to a server.
func (t *tender) grant(h *holder, r catalog.Range, state string) error {
	if t.ctx.Err() != nil {
		return t.ctx.Err()
	}
	hold := t.keeper.hold()
	outcome, result := t.callsOf(h).grant(t.ctx, dialect.Grant{From: r.From, To: r.To, Fence: r.Fence, Hold: hold, State: state})
	t.mu.Lock()
	if result.sent {
		h.sent(time.Now(), hold)
		if result.err != nil {
			h.doubtUntil = h.heldUntil
		}
	}
	t.mu.Unlock()
	switch {
	case result.err != nil:
		return result.err
	case outcome == dialect.GrantStale:
		t.depose("a server has seen a higher fence", zap.String("server", string(h.server.ID)),
			zap.Int("from", r.From), zap.Int("to", r.To), zap.Uint64("fence", uint64(r.Fence)))
		return errDeposed
	case outcome != dialect.GrantTaken:
		return errors.Errorf("grant answered with status %d", result.status)
	}
	return nil
}
