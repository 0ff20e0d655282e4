package keeper

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/follow"
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
func (k *Keeper) becomeUncertainKeeper(ctx context.Context, next *catalog.Owners, reason string) {
	next.Uncertain = true
	next.EarlierKeeperMayRenew = true
	k.becomeKeeper(ctx, next, time.Now().Add(k.longestEarlierGrants()), reason)
}

// confirmNoOtherKeeper asks all other daemons to step down as keepers of a service, until
// all have confirmed or the time after which it doesn't matter has passed. Keys are granted
// once the last grant that one of them, or a daemon that is not known, may have sent has
// expired. A daemon that confirms late but has granted nothing meanwhile adds no wait.
func (k *Keeper) confirmNoOtherKeeper(s *serviceKeeper) {
	defer s.done.Done()
	request := s.ownTerm()
	s.mu.Lock()
	end := s.earlierGrantsUntil
	s.mu.Unlock()
	asked := k.otherDaemons()
	lastGrantAt := time.Now()
	for s.ctx.Err() == nil && time.Now().Before(end) {
		round := k.requestYields(s.ctx, asked, request)
		asked = round.unconfirmed
		lastGrantAt = later(lastGrantAt, round.lastGrantAt)
		if len(asked) == 0 {
			s.endEarlierGrantsAt(lastGrantAt.Add(maxGrantLifetime(k.grantHold())))
			s.log.Info("no other daemon grants keys of the service", zap.Duration("last_grant", time.Since(lastGrantAt)))
			return
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(yieldRetryDelay):
		}
	}
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
	unconfirmed []follow.Daemon // that may still be keepers
	lastGrantAt time.Time       // latest time at which one of the others may have granted keys
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
			lastGrantAt, confirmed := k.requestYield(ctx, d, r)
			mu.Lock()
			defer mu.Unlock()
			if !confirmed {
				round.unconfirmed = append(round.unconfirmed, d)
				return
			}
			round.lastGrantAt = later(round.lastGrantAt, lastGrantAt)
		}()
	}
	calls.Wait()
	return round
}
