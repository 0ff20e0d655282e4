package keeper

import (
	"encoding/json"
	"slices"
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
// Moves whose sources let go are not held up by the others.
func (t *tender) execute(moves []Move) {
	freed := t.releaseAll(moves)
	for left := len(moves); left > 0; {
		batch := nextBatch(freed, left)
		left -= len(batch)
		if !t.settle(batch) {
			return
		}
	}
}

// nextBatch waits for a release and takes those that follow it closely.
func nextBatch(freed <-chan releasedMove, most int) []releasedMove {
	batch := []releasedMove{<-freed}
	timer := time.NewTimer(joinMoves)
	defer timer.Stop()
	for len(batch) < most {
		select {
		case next := <-freed:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

// settle writes the moves of a batch whose sources let go, and grants the keys.
// It reports false when this keeper was replaced.
func (t *tender) settle(batch []releasedMove) bool {
	var free []freedMove
	for _, r := range batch {
		if r.freed != nil {
			free = append(free, *r.freed)
		}
	}
	var owners *catalog.Owners
	var err error
	if len(free) > 0 {
		owners, err = t.write(free)
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, errDoubt) {
		t.depose("the record is not as this keeper wrote it", zap.Error(err))
		return false
	}
	t.mu.Lock()
	for _, r := range batch {
		t.moving = slices.DeleteFunc(t.moving, func(m catalog.Range) bool { return m.From == r.move.From && m.To == r.move.To })
	}
	if err == nil && owners != nil {
		t.owners = owners
	}
	t.mu.Unlock()
	if err != nil {
		t.log.Warn("moves not written, the keys stay", zap.Int("moves", len(free)), zap.Error(err))
		t.grantBack(free)
		return true
	}
	t.grantMoved(free)
	return true
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
	t.movesAfter = time.Now().Add(failedPause)
}

// freedMove is a move whose source has let go.
type freedMove struct {
	Move
	state string
}

// releasedMove is the outcome of a release; freed is nil when the source kept the keys.
type releasedMove struct {
	move  Move
	freed *freedMove
}

// releaseAll has the sources release the keys, and tells of each move.
func (t *tender) releaseAll(moves []Move) <-chan releasedMove {
	results := make(chan releasedMove, len(moves))
	for _, m := range moves {
		t.done.Add(1)
		go func() {
			defer t.done.Done()
			results <- releasedMove{move: m, freed: t.release(m)}
		}()
	}
	return results
}

// release takes the keys of one move from their source. A source that does not
// answer has let go when its grants have run out: the answer to a second release
// would not tell whether work that began before has ended. It returns nil when
// the source could not be asked.
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
	t.mu.Lock()
	fence, until, othersMove := t.fenceOf(m.From), h.heldUntil, t.othersMove
	t.mu.Unlock()
	result := t.callsOf(h).release(t.ctx, max(time.Until(until), leastRelease), m.From, m.To, fence)
	switch {
	case result.err == nil && time.Now().After(othersMove):
		return &freedMove{Move: m, state: result.state}
	case t.hasEnded(h, result.err):
		return &freedMove{Move: m}
	}
	t.log.Info("waiting for the grants to run out", zap.String("server", string(m.Source)),
		zap.Int("from", m.From), zap.Int("to", m.To), zap.Time("held_until", until),
		zap.Bool("earlier_keeper", time.Now().Before(othersMove)), zap.Error(result.err))
	select {
	case <-time.After(time.Until(until)):
		return &freedMove{Move: m, state: result.state}
	case <-t.ctx.Done():
		return nil
	}
}

// quietHolder waits until no grant to a server is under way, so that none can
// overtake a release. It returns nil when one went without an answer.
func (t *tender) quietHolder(id model.ServerID) *holder {
	end := time.Now().Add(2 * grantTimeout)
	for time.Now().Before(end) && t.ctx.Err() == nil {
		t.mu.Lock()
		h := t.holders[id]
		usable := h != nil && h.underWay == 0
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
	next.EarlierKeeperMayRenew = time.Now().Before(t.othersUntil) && t.owners.EarlierKeeperMayRenew
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
		if h != nil && h.server.SameProcess(m.Target) {
			t.mend(h, t.fenceOf(m.From))
		}
		if h == nil || !h.server.SameProcess(m.Target) {
			server := snapshot.Servers[m.Target.ID]
			if server == nil || !server.SameProcess(m.Target) {
				continue
			}
			h = t.hold(server, time.Time{})
		}
		run := catalog.Range{From: m.From, To: m.To, Fence: t.fenceOf(m.From)}
		t.begin(h, func(h *holder) { t.grantFirst(h, run, m.state) })
		h.nextAt = time.Time{}
	}
}

// grantFirst grants keys to a new owner together with the state of the last one.
func (t *tender) grantFirst(h *holder, run catalog.Range, state string) {
	err := t.grant(h, run, state)
	ended := t.hasEnded(h, err)
	t.mu.Lock()
	defer t.mu.Unlock()
	h.underWay--
	if err != nil {
		t.failed(h, err, ended)
		t.log.Warn("new owner did not take its keys", zap.String("server", string(h.server.ID)),
			zap.Int("from", run.From), zap.Int("to", run.To), zap.Error(err))
	}
}
