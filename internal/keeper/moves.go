package keeper

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// moveLoop moves keys away from servers that can't keep them, and for balance.
func (t *tender) moveLoop() {
	defer t.done.Done()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-time.After(tendPeriod):
		}
		if t.keeper.follow.StoreAge() > storeFresh {
			continue // what is moved could not be written
		}
		moves := t.plan(time.Now())
		if len(moves) > 0 {
			t.execute(moves)
		}
	}
}

// execute takes keys from their sources, writes the new owners and grants them.
func (t *tender) execute(moves []Move) {
	freed := t.releaseAll(moves)
	if len(freed) == 0 {
		return
	}
	owners, err := t.write(freed)
	t.mu.Lock()
	if !errors.Is(err, errDoubt) {
		t.moving = nil
	}
	if err == nil {
		t.owners = owners
	}
	t.mu.Unlock()
	switch {
	case errors.Is(err, platform.ErrConflict), errors.Is(err, errDoubt):
		t.depose("the record is not as this keeper wrote it", zap.Error(err))
	case err != nil:
		t.log.Warn("moves not written, the keys stay", zap.Int("moves", len(freed)), zap.Error(err))
		t.grantBack(freed)
	default:
		t.grantMoved(freed)
	}
}

// grantBack renews the grants of the sources of moves that were not written.
func (t *tender) grantBack(freed []freedMove) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range freed {
		if h := t.holders[m.Source]; h != nil {
			h.nextAt = time.Time{}
		}
	}
	t.balancedAt = time.Now().Add(failedPause)
}

// freedMove is a move whose source has let go.
type freedMove struct {
	Move
	state string
}

// releaseAll has the sources release the keys and returns the moves that may go on.
func (t *tender) releaseAll(moves []Move) []freedMove {
	t.mu.Lock()
	for _, m := range moves {
		if m.Source != "" {
			t.moving = append(t.moving, catalog.Range{From: m.From, To: m.To})
		}
	}
	t.mu.Unlock()
	results := make([]*freedMove, len(moves))
	var all sync.WaitGroup
	for i, m := range moves {
		all.Add(1)
		go func() {
			defer all.Done()
			results[i] = t.release(m)
		}()
	}
	all.Wait()
	var freed []freedMove
	for _, r := range results {
		if r != nil {
			freed = append(freed, *r)
		}
	}
	if len(freed) == 0 {
		t.mu.Lock()
		t.moving = nil
		t.mu.Unlock()
	}
	return freed
}

// release takes the keys of one move from their source. It returns nil when the
// source did not answer.
func (t *tender) release(m Move) *freedMove {
	if m.Source == "" {
		return &freedMove{Move: m}
	}
	h := t.quietHolder(m.Source)
	if h == nil {
		return nil
	}
	h.releases <- struct{}{}
	defer func() { <-h.releases }()
	for range releaseRetries {
		t.mu.Lock()
		fence := t.fenceOf(m.From)
		t.mu.Unlock()
		result := h.caller.release(t.ctx, m.From, m.To, fence)
		if result.err == nil {
			return &freedMove{Move: m, state: result.state}
		}
		t.log.Warn("keys not released", zap.String("server", string(m.Source)), zap.Int("from", m.From), zap.Int("to", m.To), zap.Error(result.err))
		if errors.Is(result.err, errEnded) {
			return &freedMove{Move: m}
		}
		if t.ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// quietHolder waits until no grant to a server is under way, so that none can
// overtake a release. It returns nil when one went without an answer.
func (t *tender) quietHolder(id model.ServerID) *holder {
	end := time.Now().Add(2 * grantTimeout)
	for time.Now().Before(end) && t.ctx.Err() == nil {
		t.mu.Lock()
		h := t.holders[id]
		usable := h != nil && h.calls == 0
		doubt := h == nil || time.Now().Before(h.doubtUntil)
		t.mu.Unlock()
		if usable && doubt {
			return nil
		}
		if usable {
			return h
		}
		time.Sleep(tendPeriod / 5)
	}
	return nil
}

// fenceOf returns the fence of a key's range. It runs under the lock.
func (t *tender) fenceOf(key int) catalog.Fence {
	if r := t.owners.Owner(key); r != nil {
		return r.Fence
	}
	return 0
}

// write puts the new owners into the store.
func (t *tender) write(freed []freedMove) (*catalog.Owners, error) {
	t.mu.Lock()
	next := *t.owners
	fence := nextFence(t.owners)
	for _, m := range freed {
		next.Ranges = assign(next.Ranges, m.From, m.To, m.Target, fence)
	}
	next.Ranges = merge(next.Ranges, fence)
	next.Load = t.load.points()
	t.mu.Unlock()
	written, err := t.keeper.put(t.ctx, &next)
	if err == nil {
		t.log.Info("keys moved", zap.Int("moves", len(freed)), zap.Uint64("revision", written.Revision), zap.Uint64("fence", uint64(fence)), zap.Any("what", summary(freed)))
	}
	return written, err
}

// summary names each move for the log.
func summary(freed []freedMove) []string {
	list := make([]string, 0, len(freed))
	for _, m := range freed {
		text, err := json.Marshal([]any{m.From, m.To, m.Source, m.Target.ID})
		if err != nil {
			continue // numbers and strings always encode
		}
		list = append(list, string(text))
	}
	return list
}

// nextFence returns a fence above all that the service has had: a record's
// revision is above the one on which its fences were based.
func nextFence(owners *catalog.Owners) catalog.Fence {
	return catalog.Fence(owners.Revision) + 1
}

// grantMoved grants the moved keys to their new owners at once, and the joined
// ranges under their new fences.
func (t *tender) grantMoved(freed []freedMove) {
	snapshot := t.keeper.catalog.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range freed {
		h := t.holders[m.Target.ID]
		if h != nil && h.server.SameLife(m.Target) {
			t.mend(h)
		}
		if h == nil || !h.server.SameLife(m.Target) {
			server := snapshot.Servers[m.Target.ID]
			if server == nil || !server.SameLife(m.Target) {
				continue
			}
			h = newHolder(newCaller(t.keeper.dialect, t.keeper.network, server), time.Time{})
			t.holders[m.Target.ID] = h
		}
		run := catalog.Range{From: m.From, To: m.To, Fence: t.fenceOf(m.From)}
		h.calls++
		t.done.Add(1)
		go t.grantFirst(h, run, m.state)
		h.nextAt = time.Time{}
	}
}

// grantFirst grants keys to a new owner together with the state of the last one.
func (t *tender) grantFirst(h *holder, run catalog.Range, state string) {
	defer t.done.Done()
	err := t.grant(h, run, state)
	t.mu.Lock()
	defer t.mu.Unlock()
	h.calls--
	if err != nil {
		t.failed(h, err)
		t.log.Warn("new owner did not take its keys", zap.String("server", string(h.server.ID)),
			zap.Int("from", run.From), zap.Int("to", run.To), zap.Error(err))
	}
}
