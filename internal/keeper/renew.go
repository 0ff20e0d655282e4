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
		if server != nil && server.Born != r.Born {
			continue // another life: what the one before was granted runs out
		}
		if h == nil || h.server.Born != r.Born {
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

// checkLost looks whether servers that lost all their keys answer again, and
// forgets those that are not registered any more. It runs under the lock.
func (t *tender) checkLost(snapshot *catalog.Snapshot, owning map[model.ServerID]bool, now time.Time) {
	for id, h := range t.holders {
		if owning[id] || h.underWay > 0 || !h.free(now) || now.Before(h.earlierUntil) {
			continue
		}
		registered := snapshot.Servers[id]
		if registered == nil || !registered.SameLife(h.server) {
			go h.calls.close()
			delete(t.holders, id)
			continue
		}
		if h.lost() && !h.ended && h.due(now) {
			t.begin(h, t.checkAgain)
		}
	}
}

// checkAgain lets a server that lost all its keys get others when it answers.
func (t *tender) checkAgain(h *holder) {
	err := t.check(h)
	t.mu.Lock()
	defer t.mu.Unlock()
	h.underWay--
	h.nextAt = time.Now().Add(checkPeriod)
	if err != nil {
		return
	}
	t.renewCalls(h)
	t.log.Info("server answers again", zap.String("server", string(h.server.ID)), zap.Duration("after", time.Since(h.silent)))
	h.restore()
}

// renewCalls opens new connections to a server. It runs under the lock.
func (t *tender) renewCalls(h *holder) {
	go h.calls.close()
	h.calls = t.keeper.callsTo(h.server)
}

// check asks a server for its health. A service that is not configured any more
// has no path to ask at.
func (t *tender) check(h *holder) error {
	service := t.keeper.catalog.Load().Configuration.Services[t.service]
	if service == nil {
		return errors.Errorf("service %s is not configured", t.service)
	}
	return h.calls.check(t.ctx, service.HealthPath)
}

// grantsOf returns the runs of a server that may be granted now. It runs under the lock.
func (t *tender) grantsOf(h *holder) []catalog.Range {
	var runs []catalog.Range
	for _, r := range t.owners.Ranges {
		if r.Server == h.server.ID && r.Born == h.server.Born && r.Fence >= h.leastFence {
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

// hasEnded reports that a server which is found not to listen has ended: nothing
// runs there any more. Before a server stops listening while it still works, the
// store has its registration as leaving, or has it no longer.
func (t *tender) hasEnded(h *holder, failure error) bool {
	t.mu.Lock()
	ended, known := h.ended, h.ended || h.leftInOrder
	t.mu.Unlock()
	if known || !errors.Is(failure, errNotListening) || !t.keeper.follow.OnStore() {
		return ended
	}
	registered, found, err := t.keeper.follow.Registered(t.ctx, h.server.ID)
	if err != nil {
		t.log.Warn("registration not read, waiting for the grants to run out", zap.String("server", string(h.server.ID)), zap.Error(err))
		return false
	}
	crashed := found && registered.SameLife(h.server) && !registered.Leaving
	t.mu.Lock()
	h.leftInOrder = !crashed
	t.mu.Unlock()
	t.log.Info("server does not listen any more", zap.String("server", string(h.server.ID)),
		zap.Bool("registered", found), zap.Bool("crashed", crashed))
	return crashed
}

// failed notes that a server did not take a grant. It runs under the lock.
func (t *tender) failed(h *holder, failure error, ended bool) {
	h.nextAt = time.Now().Add(retryPeriod)
	if errors.Is(failure, errLineageLost) || errors.Is(failure, errNotListening) {
		h.broken, h.answering = true, false
	}
	h.ended = h.ended || ended
	if !h.lost() {
		h.silent = time.Now()
		t.log.Warn("server does not take its keys", zap.String("server", string(h.server.ID)),
			zap.Bool("ended", h.ended), zap.Time("held_until", h.heldUntil), zap.Error(failure))
	}
}

// mend lets a server be granted keys again, whatever process it is now, under the
// new fences that it got and higher ones. It runs under the lock.
func (t *tender) mend(h *holder, fence catalog.Fence) {
	if h.broken {
		h.leastFence = fence
		t.renewCalls(h)
		h.refencedAt = time.Now()
		t.log.Info("server gets its keys under new fences", zap.String("server", string(h.server.ID)), zap.Duration("after", time.Since(h.silent)))
	}
	h.restore()
}

// restore lets the server be granted keys.
func (h *holder) restore() {
	h.broken, h.answering, h.ended, h.leftInOrder, h.silent = false, false, false, false, time.Time{}
}

// grant gives one run to a server.
func (t *tender) grant(h *holder, r catalog.Range, state string) error {
	if t.ctx.Err() != nil {
		return t.ctx.Err()
	}
	hold := t.keeper.hold()
	outcome, result := h.calls.grant(t.ctx, dialect.Grant{From: r.From, To: r.To, Fence: r.Fence, Hold: hold, State: state})
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
