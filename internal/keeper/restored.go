package keeper

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// When the store comes back from an older copy, it has lost the latest owners records. A
// keeper that is still running knows them and writes its own again, in the new era. Without
// it nobody can tell what servers were granted last: a daemon that becomes keeper from an
// older record is uncertain, and grants nothing until every earlier grant has expired.

// rewriteGrace is the time that a keeper has to hear of a new era and to write its record.
const rewriteGrace = 1500 * time.Millisecond

// knowledge is what a keeper finds out about its owners record after the store came back.
type knowledge int

// Values of knowledge.
const (
	unconfirmed  knowledge = iota // no daemon that would know of a later record has answered
	isLatest                      // no daemon knows a later record
	isSuperseded                  // another daemon was the keeper last
)

// settleRecord brings the owners record up to date with the store's era and with what is
// known of earlier grants. It reports whether keys may move.
func (s *serviceKeeper) settleRecord(now time.Time) bool {
	s.mu.Lock()
	owners, waiting, retryAfter := s.owners, s.mustNotGrant(now), s.noMovesBefore
	s.mu.Unlock()
	era := s.keeper.follow.StoreEra()
	switch {
	case now.Before(retryAfter):
		return false
	case owners.Era+1 < era:
		// Another keeper may have been appointed in the era between.
		s.giveUpRecord("the store came back from an older copy more than once", era)
		return false
	case owners.Era < era:
		return s.enterEra(era)
	case owners.Uncertain && !waiting:
		return s.rewrite(owners.Position)
	}
	return true
}

// enterEra writes this keeper's record in a new era of the store, unless another daemon
// became the keeper in the last one and the store has lost the record of that. This keeper
// may not have heard of it while it had no contact to the store and the other daemons.
func (s *serviceKeeper) enterEra(era platform.Era) bool {
	switch s.compareWithOthers() {
	case isSuperseded:
		s.giveUpRecord("another daemon became the keeper before the store came back from an older copy", era)
		return false
	case unconfirmed:
		return s.enterEraUnconfirmed(era)
	}
	return s.rewrite(platform.Position{Era: era})
}

// giveUpRecord steps down without writing the owners record again in an era.
func (s *serviceKeeper) giveUpRecord(reason string, era platform.Era) {
	s.mu.Lock()
	lost := s.owners.Position
	s.mu.Unlock()
	s.stepDown(reason, zap.Uint64("era", uint64(era)),
		zap.Uint64("earlier_era", uint64(lost.Era)), zap.Uint64("earlier_revision", uint64(lost.Revision)))
}

// doubt is what a keeper knows in an era in which no daemon has confirmed that it is the
// latest one.
type doubt struct {
	era             platform.Era
	since           time.Time
	othersStoppedAt time.Time // when all other daemons had confirmed that they grant nothing; zero before
}

// enterEraUnconfirmed is enterEra while no other daemon remembers who was the keeper. If all
// others grant nothing, the record is written once the grants of those that have ended have
// expired. If they can't be asked for too long, this keeper steps down: its successor is
// an uncertain one.
func (s *serviceKeeper) enterEraUnconfirmed(era platform.Era) bool {
	if s.doubt.era != era {
		s.doubt = doubt{era: era, since: time.Now()}
	}
	if s.doubt.othersStoppedAt.IsZero() && s.othersGrantNothing() {
		s.doubt.othersStoppedAt = time.Now()
	}
	stoppedAt := s.doubt.othersStoppedAt
	switch {
	case !stoppedAt.IsZero() && time.Since(stoppedAt) > maxGrantLifetime(s.keeper.grantHold()):
		return s.rewrite(platform.Position{Era: era})
	case time.Since(s.doubt.since) > s.keeper.longestEarlierGrants():
		s.giveUpRecord("no daemon has confirmed that this one is the latest keeper", era)
		return false
	}
	s.log.Info("no daemon has confirmed yet that this one is the latest keeper", zap.Uint64("era", uint64(era)),
		zap.Bool("others_stopped", !stoppedAt.IsZero()))
	s.resumeGrants(nil)
	return false
}

// othersGrantNothing reports whether all other daemons confirm that they are no later keeper
// of the service.
func (s *serviceKeeper) othersGrantNothing() bool {
	return len(s.keeper.requestYields(s.ctx, s.keeper.otherDaemons(), s.ownTerm()).unconfirmed) == 0
}

// ownTerm returns the request to step down of this keeper's term.
func (s *serviceKeeper) ownTerm() *yieldRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &yieldRequest{Service: s.service, Term: s.owners.Term, Era: s.owners.Era}
}

// compareWithOthers asks the other daemons that follow the store whether they are, or know
// of, a later keeper of the service. One answer is enough if none contradicts: changes
// reach all of these daemons at once. A daemon on its own has nobody to ask.
func (s *serviceKeeper) compareWithOthers() knowledge {
	request := s.ownTerm()
	others := s.keeper.otherFollowers()
	results := make(chan knowledge, len(others))
	for _, d := range others {
		go func() { results <- s.compareWith(d, request) }()
	}
	found := unconfirmed
	if len(others) == 0 {
		found = isLatest
	}
	for range others {
		found = max(found, <-results)
	}
	return found
}

// compareWith asks one daemon. A refusal comes from a keeper of the same or a later term.
func (s *serviceKeeper) compareWith(d follow.Daemon, r *yieldRequest) knowledge {
	ctx, cancel := context.WithTimeout(s.ctx, yieldTimeout)
	defer cancel()
	response, err := s.keeper.yield(ctx, d, r)
	var refused *rpc.RemoteError
	switch {
	case errors.As(err, &refused):
		return isSuperseded
	case err != nil || response.Era == 0:
		return unconfirmed // a daemon that has just started knows of no record
	}
	known := &catalog.Owners{Position: platform.Position{Era: response.Era}, Term: response.Term}
	switch {
	case known.LaterTermThan(r.asOwners()):
		return isSuperseded
	case r.laterThan(known):
		return unconfirmed // it has not heard of this keeper's record, nor would it of a later one
	}
	return isLatest
}

// otherFollowers returns the other daemons that follow the store.
func (k *Keeper) otherFollowers() []follow.Daemon {
	var others []follow.Daemon
	for _, d := range k.follow.DesignatedFollowers() {
		if d.Name != k.config.Name {
			others = append(others, d)
		}
	}
	return others
}

// rewrite writes the owners as this keeper knows them over the record at a position; a
// revision of 0 means that the era has no record yet. If another daemon has written one, it
// is the keeper now. It reports whether the write succeeded.
func (s *serviceKeeper) rewrite(over platform.Position) bool {
	s.mu.Lock()
	next := *s.owners
	s.clearExpiredDoubts(&next)
	s.mu.Unlock()
	lost := next.Position
	next.Position = over
	written, err := s.keeper.put(s.ctx, &next)
	switch {
	case errors.Is(err, platform.ErrConflict), errors.Is(err, errOutcomeUnknown):
		s.stepDown("the owners record was written by another daemon, or it is unknown whether the write took effect", zap.Error(err))
		return false
	case err != nil:
		s.log.Warn("failed to write the owners record again", zap.Uint64("era", uint64(over.Era)), zap.Error(err))
		s.resumeGrants(nil)
		return false
	}
	s.log.Info("owners record written again", zap.Uint64("era", uint64(written.Era)), zap.Uint64("revision", uint64(written.Revision)),
		zap.Uint64("earlier_era", uint64(lost.Era)), zap.Uint64("earlier_revision", uint64(lost.Revision)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners = written
	s.writePauses = writeRetries()
	return true
}

// era returns the era of this keeper's owners record.
func (s *serviceKeeper) era() platform.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners.Era
}

// mayRewrite reports whether the keeper of a record of an earlier era may still write it
// again: it is given rewriteGrace from the moment at which this daemon heard of the era.
func (k *Keeper) mayRewrite(owners *catalog.Owners) bool {
	era := k.follow.StoreEra()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.newestEra != era {
		k.newestEra, k.newestEraSince = era, time.Now()
	}
	return owners.Era < era && time.Since(k.newestEraSince) < rewriteGrace
}
