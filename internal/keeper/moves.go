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

// moveLoop moves keys away from servers that can't keep them, and to balance the load.
func (s *serviceKeeper) moveLoop() {
	defer s.done.Done()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(loopPeriod):
		}
		if s.keeper.follow.StoreAge() > maxStoreAge {
			continue // the moves could not be written
		}
		if !s.settleRecord(time.Now()) {
			continue
		}
		moves := s.planMoves(time.Now())
		if len(moves) > 0 {
			s.execute(moves)
		}
	}
}

// execute has the sources release the keys, writes the new owners and grants the keys
// to them. A move is committed soon after its source released the keys; it does not
// wait for slower sources. Moves out of zones that are evacuated meanwhile begin beside it.
func (s *serviceKeeper) execute(moves []Move) {
	results := make(chan releaseResult)
	s.releaseAll(moves, results)
	for left := len(moves); left > 0 && s.ctx.Err() == nil; {
		batch := s.nextBatch(results, left)
		left -= len(batch)
		if len(batch) > 0 && !s.commitMoves(batch) {
			return
		}
		if more := s.planEvacuations(time.Now()); len(more) > 0 {
			s.releaseAll(more, results)
			left += len(more)
		}
	}
}

// nextBatch waits up to loopPeriod for a result and returns it with those that follow within
// moveBatchWindow, limit at most. It returns nothing if there was none.
func (s *serviceKeeper) nextBatch(results <-chan releaseResult, limit int) []releaseResult {
	var batch []releaseResult
	timer := time.NewTimer(loopPeriod)
	defer timer.Stop()
	for len(batch) < limit {
		select {
		case next := <-results:
			if len(batch) == 0 {
				timer.Reset(moveBatchWindow)
			}
			batch = append(batch, next)
		case <-timer.C:
			return batch
		case <-s.ctx.Done():
			return batch
		}
	}
	return batch
}

// commitMoves writes the moves of a batch whose sources released the keys, and grants
// the keys to the targets. It reports false when this daemon stepped down as keeper.
func (s *serviceKeeper) commitMoves(batch []releaseResult) bool {
	var released []releasedMove
	for _, r := range batch {
		if r.released != nil {
			released = append(released, *r.released)
		}
	}
	var owners *catalog.Owners
	var err error
	if len(released) > 0 {
		owners, err = s.writeMoves(released)
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, errOutcomeUnknown) {
		s.stepDown("the owners record was changed by another daemon, or it is unknown whether the write took effect", zap.Error(err))
		return false
	}
	s.mu.Lock()
	for _, r := range batch {
		s.moving = slices.DeleteFunc(s.moving, func(m Move) bool { return m.overlaps(&r.move) })
	}
	if err == nil && owners != nil {
		s.owners = owners
		s.writePauses = writeRetries()
	}
	s.mu.Unlock()
	if err != nil {
		s.log.Warn("failed to write moves, keys stay with their owners", zap.Int("moves", len(released)), zap.Error(err))
		s.resumeGrants(released)
		return true
	}
	s.grantMoved(released)
	return true
}

// resumeGrants renews the grants of the sources of moves that were not written, and
// delays further moves.
func (s *serviceKeeper) resumeGrants(released []releasedMove) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range released {
		if h := s.holders[m.Source]; h != nil {
			h.nextCallAt = time.Time{}
		}
	}
	s.noMovesBefore = time.Now().Add(s.writePauses.Next())
}

// releasedMove is a move whose source holds the keys no longer. state names what the
// source handed over, for the first grant to the target.
type releasedMove struct {
	Move
	state string
}

// releaseResult is the outcome of a release; released is nil if the source may still
// hold the keys.
type releaseResult struct {
	move     Move
	released *releasedMove
}

// releaseAll has the sources release the keys concurrently, and sends one result for
// each move, unless the keeper stops.
func (s *serviceKeeper) releaseAll(moves []Move, results chan<- releaseResult) {
	for _, group := range adjacentMoves(moves) {
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			whole := group[0]
			whole.To = group[len(group)-1].To
			released := s.release(whole)
			for _, m := range group {
				select {
				case results <- resultOf(m, released):
				case <-s.ctx.Done():
					return
				}
			}
		}()
	}
}

// resultOf returns the result of one of the moves that were released together; released
// is nil if the source may still hold the keys.
func resultOf(m Move, released *releasedMove) releaseResult {
	if released == nil {
		return releaseResult{move: m}
	}
	return releaseResult{move: m, released: &releasedMove{Move: m, state: released.state}}
}

// adjacentMoves groups the moves from one source whose keys follow each other, so that a
// source gets no more than about maxConcurrentReleases releases. The keys of a group are
// released by one call. The fewer keys a call covers, the sooner the work on them ends.
func adjacentMoves(moves []Move) [][]Move {
	bySource := map[model.ServerID]int{}
	for _, m := range moves {
		bySource[m.Source]++
	}
	sorted := slices.Clone(moves)
	slices.SortFunc(sorted, func(a, b Move) int { return a.From - b.From })
	var groups [][]Move
	for _, m := range sorted {
		size := (bySource[m.Source] + maxConcurrentReleases - 1) / maxConcurrentReleases
		if last := len(groups) - 1; last >= 0 && len(groups[last]) < size && follows(m, groups[last]) {
			groups[last] = append(groups[last], m)
			continue
		}
		groups = append(groups, []Move{m})
	}
	return groups
}

// follows reports whether the keys of a move can be released together with those of a
// group, after which they come.
func follows(m Move, group []Move) bool {
	previous := group[len(group)-1]
	return m.Source != "" && m.Source == previous.Source && m.From == previous.To+1
}

// release has the source of a move release its keys; a move without a source needs no
// release. If the source does not answer, or answers before earlierReleasesUntil (see
// there), release waits until its grants have expired, unless confirmEnded reports that its
// process has ended. It does not repeat the call: the answer to a second release would not say whether
// work that began before has ended. It returns nil when idleHolder found that no release
// can be sent, or when the keeper stops during the wait.
func (s *serviceKeeper) release(m Move) *releasedMove {
	if m.Source == "" {
		return &releasedMove{Move: m}
	}
	h := s.idleHolder(m.Source)
	if h == nil {
		return nil
	}
	h.releases <- struct{}{}
	defer func() { <-h.releases }()
	s.mu.Lock()
	fence, held, earlierReleasesUntil := s.fenceOf(m.From), h.held, s.earlierReleasesUntil
	s.mu.Unlock()
	heldUntil := held.last()
	result := s.clientOf(h).release(s.ctx, max(time.Until(heldUntil), minReleaseTimeout), m.From, m.To, fence)
	switch {
	case result.err == nil && time.Now().After(earlierReleasesUntil):
		return &releasedMove{Move: m, state: result.state}
	case s.confirmEnded(h, result.err):
		return &releasedMove{Move: m}
	}
	s.log.Info("waiting for the grants to run out", zap.String("server", string(m.Source)),
		zap.Int("from", m.From), zap.Int("to", m.To), zap.Time("held_until", heldUntil),
		zap.Bool("earlier_keeper", time.Now().Before(earlierReleasesUntil)), zap.Error(result.err))
	if !s.awaitExpiry(h, held) {
		return nil
	}
	return &releasedMove{Move: m, state: result.state}
}

// awaitExpiry waits until the grants that a server held when its keys were released have run
// out. Those of an earlier keeper run out sooner if it confirms meanwhile that it stepped down.
// It returns false when the keeper stops.
func (s *serviceKeeper) awaitExpiry(h *holder, held grantExpiry) bool {
	for {
		s.mu.Lock()
		held.endEarlier(h.held.earlierKeeper)
		s.mu.Unlock()
		left := time.Until(held.last())
		if left <= 0 {
			return s.ctx.Err() == nil
		}
		select {
		case <-time.After(min(left, loopPeriod)):
		case <-s.ctx.Done():
			return false
		}
	}
}

// idleHolder waits until no grant to a server is in progress, so that none can arrive
// after a release that was sent later. It returns nil when a grant that was not
// answered may still take effect, or when the server is not idle within
// 2*grantTimeout.
func (s *serviceKeeper) idleHolder(id model.ServerID) *holder {
	end := time.Now().Add(2 * grantTimeout)
	for time.Now().Before(end) && s.ctx.Err() == nil {
		s.mu.Lock()
		h := s.holders[id]
		idle := h != nil && h.inFlight == 0
		unanswered := h == nil || time.Now().Before(h.unansweredUntil)
		s.mu.Unlock()
		if idle && unanswered {
			return nil
		}
		if idle {
			return h
		}
		time.Sleep(loopPeriod / 5)
	}
	return nil
}

// fenceOf returns the fence of a key's range, or 0 if the key has no owner. s.mu must be
// held.
func (s *serviceKeeper) fenceOf(key int) catalog.Fence {
	if r := s.owners.Owner(key); r != nil {
		return r.Fence
	}
	return 0
}

// writeMoves writes the owners record with the moves applied, and returns it with its
// new revision.
func (s *serviceKeeper) writeMoves(released []releasedMove) (*catalog.Owners, error) {
	s.mu.Lock()
	next := *s.owners
	fence := nextFence(s.owners.Position)
	for _, m := range released {
		next.Ranges = assign(next.Ranges, m.From, m.To, m.Target, fence)
	}
	next.Ranges = merge(next.Ranges, fence)
	next.Load = s.load.points()
	s.clearExpiredDoubts(&next)
	s.mu.Unlock()
	written, err := s.keeper.put(s.ctx, &next)
	if err == nil {
		s.log.Info("keys moved", zap.Int("moves", len(released)), zap.Uint64("revision", uint64(written.Revision)), zap.Uint64("fence", uint64(fence)), zap.Any("what", moveSummaries(released)))
	}
	return written, err
}

// moveSummaries returns a JSON array [from, to, source, target] for each move, for the
// log.
func moveSummaries(released []releasedMove) []string {
	list := make([]string, 0, len(released))
	for _, m := range released {
		text, err := json.Marshal([]any{m.From, m.To, m.Source, m.Target.ID})
		if err != nil {
			continue // can't happen: numbers and strings always encode
		}
		list = append(list, string(text))
	}
	return list
}

// fenceEraShift is the number of bits of a fence below the era: enough for the revisions
// of one era, and few enough for fences to stay exact as JSON numbers.
const fenceEraShift = 40

// nextFence returns a fence above all that the service has had, for a record that replaces
// the one at the given position. Within an era, each fence of a record is at most 1 above
// the revision that the record replaced, and the record's own revision is above that one.
// The fences of an era are above those of all earlier eras, whatever was lost with them.
func nextFence(replaced platform.Position) catalog.Fence {
	return catalog.Fence(uint64(replaced.Era-platform.FirstEra)<<fenceEraShift + uint64(replaced.Revision) + 1)
}

// grantMoved grants the moved keys to their new owners, and makes the renewal of all
// their ranges due, as merged ranges have new fences.
func (s *serviceKeeper) grantMoved(released []releasedMove) {
	snapshot := s.keeper.catalog.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range released {
		h := s.holders[m.Target.ID]
		if h != nil && h.server.SameProcess(m.Target) {
			s.refence(h, s.fenceOf(m.From))
		}
		if h == nil || !h.server.SameProcess(m.Target) {
			server := snapshot.Servers[m.Target.ID]
			if server == nil || !server.SameProcess(m.Target) {
				continue
			}
			h = s.addHolder(server, time.Time{})
		}
		keyRange := catalog.Range{From: m.From, To: m.To, Fence: s.fenceOf(m.From)}
		s.startCall(h, func(h *holder) { s.grantFirst(h, keyRange, m.state) })
		h.nextCallAt = time.Time{}
	}
}

// grantFirst grants keys to a new owner, with the state that the previous one handed
// over.
func (s *serviceKeeper) grantFirst(h *holder, keyRange catalog.Range, state string) {
	err := s.grant(h, keyRange, state)
	ended := s.confirmEnded(h, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	h.inFlight--
	if err != nil {
		s.recordFailure(h, err, ended)
		s.log.Warn("new owner did not accept its grant", zap.String("server", string(h.server.ID)),
			zap.Int("from", keyRange.From), zap.Int("to", keyRange.To), zap.Error(err))
	}
}
