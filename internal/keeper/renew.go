package keeper

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/model"
)

// renewLoop renews the grants that are due. It steps down when the process was paused
// for too long, when another daemon has become the keeper, or when the store has not
// answered for too long about the records that name the keepers.
func (s *serviceKeeper) renewLoop() {
	defer s.done.Done()
	pauses := newPauseClock(s.keeper.pauseTime)
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(loopPeriod):
		}
		if pause := pauses.lap(); pause > maxPause {
			s.stepDown("the process was paused", zap.Duration("for", pause))
			return
		}
		now := time.Now()
		s.recordsSeenAt = later(s.recordsSeenAt, now.Add(-s.keeper.follow.SharedAge()))
		if owners := s.keeper.catalog.Load().Owners[s.service]; owners != nil && s.supersededBy(owners) {
			s.stepDown("another daemon is the keeper", zap.Uint64("its_term", uint64(owners.Term)))
			return
		}
		if recordsAge := now.Sub(s.recordsSeenAt); recordsAge > maxRenewWithoutStore {
			s.stepDown("no answer from the store", zap.Duration("for", recordsAge))
			return
		}
		s.renewDue(now)
	}
}

// renewDue starts the renewals that are due, and the probes of servers without keys.
func (s *serviceKeeper) renewDue(now time.Time) {
	snapshot := s.keeper.catalog.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mustNotGrant(now) {
		return
	}
	owning := map[model.ServerID]bool{}
	for _, r := range s.owners.Ranges {
		owning[r.Server] = true
		server := snapshot.Servers[r.Server]
		h := s.holders[r.Server]
		if server != nil && server.StartedMS != r.StartedMS {
			continue // a new process: the grants of the previous one are left to expire
		}
		if h == nil || h.server.StartedMS != r.StartedMS {
			if server == nil {
				continue
			}
			h = s.addHolder(server, s.earlierGrantsUntil)
		}
		if h.callDue(now) {
			s.startCall(h, s.renew)
		}
	}
	s.checkNonOwners(snapshot, owning, now)
}

// addHolder returns a new holder for a process of a server, and replaces that of an
// earlier process. s.mu must be held.
func (s *serviceKeeper) addHolder(server *catalog.Server, earlierKeeperUntil time.Time) *holder {
	h := newHolder(server, s.keeper.newServerClient(server), earlierKeeperUntil)
	h.earlierProcess.earlierKeeper = s.earlierGrantsUntil
	if earlier := s.holders[server.ID]; earlier != nil {
		h.earlierProcess = earlier.held.with(earlier.earlierProcess)
		if earlier.inFlight > 0 {
			h.earlierProcess.own = later(h.earlierProcess.own, time.Now().Add(grantTimeout+maxGrantLifetime(s.keeper.grantHold())))
		}
	}
	s.holders[server.ID] = h
	return h
}

// callDue reports whether the server is to be called now.
func (h *holder) callDue(now time.Time) bool { return h.inFlight == 0 && !now.Before(h.nextCallAt) }

// startCall runs a call to a server in its own goroutine. The call decrements
// h.inFlight when it ends. s.mu must be held.
func (s *serviceKeeper) startCall(h *holder, call func(*holder)) {
	h.inFlight++
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		call(h)
	}()
}

// grantableRanges returns the ranges of a server that may be granted now: those that
// are not being moved and have no fence below minFence. s.mu must be held.
func (s *serviceKeeper) grantableRanges(h *holder) []catalog.Range {
	var ranges []catalog.Range
	for _, r := range s.owners.Ranges {
		if r.Server == h.server.ID && r.StartedMS == h.server.StartedMS && r.Fence >= h.minFence {
			ranges = append(ranges, without(r, s.moving)...)
		}
	}
	return ranges
}

// without returns what is left of a range when the keys of the excluded moves are
// removed from it.
func without(r catalog.Range, excluded []Move) []catalog.Range {
	left := []catalog.Range{r}
	for _, o := range excluded {
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

// renew renews the grants of all ranges of a server. While the connections to its
// process are lost, it only probes whether a server answers at the address.
func (s *serviceKeeper) renew(h *holder) {
	s.mu.Lock()
	ranges := s.grantableRanges(h)
	connsLost := h.connsLost
	s.mu.Unlock()
	if connsLost {
		err := s.probe(h)
		ended := s.confirmEnded(h, err)
		s.mu.Lock()
		defer s.mu.Unlock()
		h.inFlight--
		h.nextCallAt = time.Now().Add(retryDelay)
		h.answering = err == nil
		h.ended = h.ended || ended
		return
	}
	var failure error
	for _, r := range ranges {
		if failure = s.grant(h, r, ""); failure != nil {
			break
		}
	}
	ended := s.confirmEnded(h, failure)
	s.mu.Lock()
	defer s.mu.Unlock()
	h.inFlight--
	h.nextCallAt = time.Now().Add(renewPeriod)
	h.acceptedGrants = failure == nil && len(ranges) > 0
	switch {
	case failure != nil:
		s.recordFailure(h, failure, ended)
	case h.acceptedGrants && h.failing():
		s.log.Info("server accepts its grants again", zap.String("server", string(h.server.ID)), zap.Duration("after", time.Since(h.failingSince)))
		h.clearFailure()
	}
}

// grant sends a grant of one range to a server, and steps down if the server has seen a
// higher fence.
func (s *serviceKeeper) grant(h *holder, r catalog.Range, state string) error {
	if s.ctx.Err() != nil {
		return s.ctx.Err()
	}
	hold := s.keeper.grantHold()
	outcome, result := s.clientOf(h).grant(s.ctx, dialect.Grant{From: r.From, To: r.To, Fence: r.Fence, Duration: hold, State: state})
	s.mu.Lock()
	if mayBeInForce(outcome, result) {
		h.recordSent(time.Now(), hold)
		if current := s.holders[h.server.ID]; current != nil && current != h {
			// The process was replaced during the call, which may have reached the new one.
			current.earlierProcess = current.earlierProcess.with(h.held)
		}
		if outcome == dialect.GrantUnknown {
			h.unansweredUntil = h.held.own
		}
	}
	s.mu.Unlock()
	switch {
	case result.err != nil:
		return result.err
	case outcome == dialect.GrantStale:
		s.stepDown("a server has seen a higher fence", zap.String("server", string(h.server.ID)),
			zap.Int("from", r.From), zap.Int("to", r.To), zap.Uint64("fence", uint64(r.Fence)))
		return errSteppedDown
	case outcome != dialect.GrantAccepted:
		return errors.Errorf("server %s answered the grant of keys %d to %d with status %d", h.server.ID, r.From, r.To, result.status)
	}
	return nil
}

// mayBeInForce reports whether a server may hold keys by a grant with this outcome. An answer
// that turns the grant away decides, whichever server it comes from.
func mayBeInForce(outcome dialect.GrantOutcome, r callResult) bool {
	if outcome != dialect.GrantAccepted && outcome != dialect.GrantUnknown {
		return false
	}
	return r.sent
}
