package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// A daemon that becomes keeper from a record of an earlier era is uncertain: the store may
// have lost what was granted after it.

// maxConcurrentYields bounds the requests to step down that are sent at a time.
const maxConcurrentYields = 16

// yieldRetryDelay is the pause before daemons that did not confirm are asked again.
const yieldRetryDelay = time.Second

// clearExpiredDoubts removes from a record what no longer holds: that an earlier keeper may
// renew, and that unknown grants may be in force. s.mu must be held.
func (s *serviceKeeper) clearExpiredDoubts(next *catalog.Owners) {
	doubtful := time.Now().Before(s.earlierGrantsUntil)
	next.EarlierKeeperMayRenew = next.EarlierKeeperMayRenew && doubtful
	next.Uncertain = next.Uncertain && doubtful
}

// mustNotGrant reports whether grants that this keeper doesn't know may still be in force.
// s.mu must be held.
func (s *serviceKeeper) mustNotGrant(now time.Time) bool {
	return s.owners.Uncertain && now.Before(s.earlierGrantsUntil)
}

// becomeUncertainKeeper becomes the keeper with a record whose ranges may not be what
// servers were granted last, by a keeper that may not be known either. Nothing is granted
// until every earlier grant has expired: soon, if all other daemons confirm that they
// grant none, or after the time for which a keeper without the store goes on renewing.
func (k *Keeper) becomeUncertainKeeper(ctx context.Context, next, earlier *catalog.Owners, reason string) {
	next.Uncertain = true
	next.EarlierKeeperMayRenew = true
	k.becomeKeeper(ctx, next, earlier, time.Now().Add(k.longestEarlierGrants()), reason)
}

// confirmNoOtherKeeper asks all other daemons to step down as keepers of a service, until
// all have confirmed or the time after which it doesn't matter has passed. Keys are granted
// once the last grant that one of them may have sent has expired, or also a daemon that is not
// known if this one does not remember the latest keeper. A daemon that confirms late but has
// granted nothing meanwhile adds no wait.
func (k *Keeper) confirmNoOtherKeeper(s *serviceKeeper, earlier *catalog.Owners) {
	defer s.done.Done()
	request := s.ownTerm()
	s.mu.Lock()
	end := s.earlierGrantsUntil
	s.mu.Unlock()
	asked := k.otherDaemons()
	becameKeeperAt := time.Now()
	lastGrantAt := becameKeeperAt
	remembers := k.remembersLatest(earlier, s.era())
	if remembers {
		lastGrantAt = becameKeeperAt.Add(-k.grantsIdleFor(s.service)) // of this daemon
	}
	for s.ctx.Err() == nil && time.Now().Before(end) {
		round := k.requestYields(s.ctx, asked, request)
		asked = round.unconfirmed
		lastGrantAt = later(lastGrantAt, round.lastGrantAt)
		if remembers && round.knowsLaterThan(earlier) {
			lastGrantAt = later(lastGrantAt, becameKeeperAt)
		}
		if len(asked) == 0 {
			s.endEarlierGrantsAt(lastGrantAt.Add(maxGrantLifetime(k.grantHold())))
			s.log.Info("no other daemon grants keys of the service", zap.Duration("last_grant", time.Since(lastGrantAt)), zap.Bool("remembered", remembers))
			return
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(yieldRetryDelay):
		}
	}
}

// remembersLatest reports whether this daemon has followed the store in the era before and knows
// from then who was the keeper last, and that nobody else could grant keys. As for a running
// keeper, that one daemon remembers it is enough unless another one knows of a later keeper.
func (k *Keeper) remembersLatest(earlier *catalog.Owners, era platform.Era) bool {
	if earlier == nil || earlier.Era+1 != era || earlier.Uncertain || earlier.EarlierKeeperMayRenew {
		return false
	}
	_, known := k.follow.DaemonByName(earlier.Keeper)
	return (known || earlier.Keeper == k.config.Name) && k.follow.FollowedSince() <= earlier.Era
}

func (k *Keeper) otherDaemons() []follow.Daemon {
	var others []follow.Daemon
	for _, d := range k.follow.Daemons() {
		if d.Name != k.config.Name {
			others = append(others, d)
		}
	}
	return others
}

// yieldRound is the outcome of one request to each of several daemons to step down.
type yieldRound struct {
	unconfirmed []follow.Daemon   // that may still be keepers
	lastGrantAt time.Time         // latest time at which one of the others may have granted keys
	known       []*catalog.Owners // era and term of the latest owners that the others know
}

// knowsLaterThan reports whether one of the daemons knows a later keeper of the same era.
func (r *yieldRound) knowsLaterThan(earlier *catalog.Owners) bool {
	return slices.ContainsFunc(r.known, func(o *catalog.Owners) bool { return o.Era == earlier.Era && o.LaterTermThan(earlier) })
}

// requestYields asks daemons to step down, maxConcurrentYields at a time. A daemon whose
// process has ended is no keeper.
func (k *Keeper) requestYields(ctx context.Context, daemons []follow.Daemon, r *yieldRequest) *yieldRound {
	var mu sync.Mutex
	round := &yieldRound{}
	var calls sync.WaitGroup
	free := make(chan struct{}, maxConcurrentYields)
	for _, d := range daemons {
		free <- struct{}{}
		calls.Add(1)
		go func() {
			defer calls.Done()
			defer func() { <-free }()
			lastGrantAt, known, confirmed := k.requestYield(ctx, d, r)
			mu.Lock()
			defer mu.Unlock()
			if !confirmed {
				round.unconfirmed = append(round.unconfirmed, d)
				return
			}
			round.lastGrantAt = later(round.lastGrantAt, lastGrantAt)
			if known != nil {
				round.known = append(round.known, known)
			}
		}()
	}
	calls.Wait()
	return round
}
