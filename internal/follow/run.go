package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/retry"
)

// Periods, delays and bounds.
const (
	minStoreFollowers = 3                       // least number of designated daemons, if there are as many
	storePollWait     = 900 * time.Millisecond  // the store answers a poll without a change after this time
	sharedPollWait    = 1700 * time.Millisecond // the same for platform.Shared, whose changes need not arrive within a bound
	storePollSlack    = 500 * time.Millisecond  // time beyond the wait for the store's answer, enough for a slow store
	readTimeout       = 1500 * time.Millisecond // for one read of a whole collection, or one write
	peerPollWait      = 450 * time.Millisecond  // a daemon answers a poll without a change after this time
	peerPollTimeout   = 750 * time.Millisecond  // for one poll of a daemon with a wait of peerPollWait
	answerTransit     = 250 * time.Millisecond  // longest time of an answer on its way
	answersOnWay      = 2                       // answers that bring a change here: the store's to a daemon, and that daemon's
	changeBatchDelay  = 150 * time.Millisecond  // pause after a change, so that the next poll returns further ones together
	seedTimeout       = 100 * time.Millisecond  // time without an answer of a seed after which the store is read too
	bootstrapDelay    = 400 * time.Millisecond  // time for the other daemons of a new fleet to register
	storeRetryDelay   = 300 * time.Millisecond  // shortest pause after a failed call of the store
	wakePeriod        = 50 * time.Millisecond   // between two looks whether the store is back, in longer pauses
	suspectDuration   = 2 * time.Second         // time for which a daemon that failed to answer is not asked again
	storelessDuration = 500 * time.Millisecond  // the same for one that answers but does not reach the store
	peerRetryDelay    = 300 * time.Millisecond  // pause before the peers are tried again, up to twice as long at random
	maxStoreAge       = 3000 * time.Millisecond // age from which on the store counts as unreachable, and a peer's data as outdated
)

// run loads the collections, registers this daemon and keeps the collections current
// until ctx ends.
func (f *Follower) run(ctx context.Context) {
	retries := storeRetries()
	for !f.loadAll(ctx) && ctx.Err() == nil {
		sleep(ctx, retries.Next())
	}
	f.register(ctx)
	f.awaitOtherDaemons(ctx)
	f.background.Go(f.refreshCopies)
	f.background.Go(f.watchEarlierDaemons)
	for ctx.Err() == nil {
		switch {
		case f.Designated():
			f.followsStore.Store(true)
			f.followStore(ctx)
		case f.followPeers(ctx):
		case f.turn.due(time.Now()):
			f.turn.called(time.Now(), f.standIn(ctx))
		default:
			sleep(ctx, peerRetryDelay+rand.N(peerRetryDelay))
		}
	}
}

// followStore polls the store for all collections: in a designated daemon until ctx ends
// or it is no longer designated, in another one once for each collection. It reports whether
// the last poll of any of them succeeded.
func (f *Follower) followStore(ctx context.Context) bool {
	ctx, end := context.WithCancel(ctx)
	defer end()
	var loops sync.WaitGroup
	var reached atomic.Bool
	designated := f.Designated()
	for _, c := range collections {
		loops.Go(func() {
			if f.followCollection(ctx, c, designated) {
				reached.Store(true)
			}
			if designated {
				end() // for all collections: one that ended alone would be polled no more if the daemon is designated again
			}
		})
	}
	loops.Wait()
	return reached.Load()
}

// standIn polls the store once for each collection, in place of the designated daemons. It reports
// whether the store answers this daemon.
func (f *Follower) standIn(ctx context.Context) bool {
	reached := f.turn.reached || f.probeStore(ctx)
	f.followsStore.Store(reached)
	reached = reached && f.followStore(ctx)
	f.followsStore.Store(reached)
	return reached
}

// probeStore calls the store once, for the changes of one collection without waiting for any, and
// reports whether that succeeded.
func (f *Follower) probeStore(ctx context.Context) bool {
	if err := f.pollStore(ctx, platform.Configurations, 0); err != nil {
		f.log.Info("the store could not be polled instead of another daemon", zap.String("peer", "store"), zap.Error(err))
		return false
	}
	return true
}

// followCollection polls the store for one collection, as followStore says. It reports whether
// the last poll succeeded.
func (f *Follower) followCollection(ctx context.Context, c platform.Collection, designated bool) bool {
	failing := false
	retries := storeRetries()
	defer func() { f.countFailing(failing, false) }()
	for ctx.Err() == nil {
		err := f.pollStore(ctx, c, f.pollWait(c))
		if ctx.Err() != nil {
			return !failing
		}
		if err != nil && !failing {
			f.log.Warn("polls of the store fail", zap.String("peer", "store"), zap.String("collection", string(c)), zap.Error(err))
		}
		if err == nil && failing {
			f.log.Info("polls of the store succeed again", zap.String("peer", "store"), zap.String("collection", string(c)))
		}
		f.countFailing(failing, err != nil)
		failing = err != nil
		if failing {
			f.catchUp()
		}
		if !designated || !f.Designated() {
			return !failing
		}
		if failing {
			f.sleepAfterFailure(ctx, retries.Next())
		} else {
			retries = storeRetries()
		}
	}
	return !failing
}

// storeRetries returns the pauses between polls of the store that fail.
func storeRetries() retry.Backoff {
	return retry.Backoff{First: 2 * storeRetryDelay, Limit: 4 * storeRetryDelay}
}

// countFailing counts the collections whose last poll of the store failed, given the
// results of the poll before and of the last one. When the first one fails, it answers
// the pending polls of other daemons, so that they choose another peer at once.
func (f *Follower) countFailing(before, now bool) {
	switch {
	case now && !before:
		if f.failingCollections.Add(1) == 1 {
			f.notifyChanged()
		}
	case before && !now:
		f.failingCollections.Add(-1)
	}
}

// sleepAfterFailure waits before the next poll of the store after one that failed. If no poll
// of any collection succeeded, it ends soon after one does: the store is back.
func (f *Follower) sleepAfterFailure(ctx context.Context, pause time.Duration) {
	began := time.Now()
	wakeable := int(f.failingCollections.Load()) == len(collections)
	sleep(ctx, min(pause, storeRetryDelay))
	for ctx.Err() == nil && time.Since(began) < pause && !(wakeable && f.StoreAge() < time.Since(began)) {
		sleep(ctx, min(wakePeriod, pause-time.Since(began)))
	}
}

// pollWait returns the time after which the store answers a poll for a collection without a
// change. A daemon that stands in for the designated ones polls anew when all its polls have
// ended: then all of them end soon.
func (f *Follower) pollWait(c platform.Collection) time.Duration {
	if c == platform.Shared && f.Designated() {
		return sharedPollWait
	}
	return storePollWait
}

// pollStore waits for the next changes of a collection and applies them. It reads the
// whole collection when there is no copy yet, the copy is of an earlier era, or the store does
// not have the changes since the copy's position.
func (f *Follower) pollStore(ctx context.Context, c platform.Collection, wait time.Duration) error {
	have := f.replicas[c].completeUpTo()
	if have.IsZero() || (have.Era < f.StoreEra() && f.Designated()) {
		return f.readCollection(ctx, c)
	}
	changed, err := f.readChanges(ctx, c, have, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		return f.reread(ctx, c, err)
	}
	if err != nil {
		return err
	}
	f.rereads[c].reset()
	if changed {
		sleep(ctx, changeBatchDelay)
	}
	return nil
}

// readChanges asks the store for the changes of a collection after a position, waits some time
// for the first one, and applies them. It reports whether there were any.
func (f *Follower) readChanges(ctx context.Context, c platform.Collection, have platform.Position, wait time.Duration) (changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storePollSlack)
	defer cancel()
	began := time.Now()
	page, err := f.store.Changes(ctx, c, have, wait)
	f.storeCalls.Inc()
	if err != nil {
		return false, err
	}
	f.applyAnswer(c, update{Records: wireRecords(page.Records), Position: page.Position}, answeredAt(began, wait))
	return len(page.Records) > 0, nil
}

// readCollection reads a whole collection from the store and applies it.
func (f *Follower) readCollection(ctx context.Context, c platform.Collection) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	page, err := f.store.Read(ctx, c)
	f.storeCalls.Inc()
	if err != nil {
		return err
	}
	f.applyAnswer(c, update{Full: true, Records: wireRecords(page.Records), Position: page.Position}, began)
	return nil
}

// applyAnswer applies what the store has answered about a collection, with all changes up to
// a time.
func (f *Follower) applyAnswer(c platform.Collection, u update, asOf time.Time) {
	f.markStoreAnswered()
	f.logReceived(c, u, storePeer)
	f.applyUpdate(c, u)
	f.markComplete(c, asOf)
	if c == platform.Shared {
		markCurrent(&f.sharedAnsweredAt, time.Now())
	}
}

// markCurrent replaces the time as of which copies are current by a later one.
func markCurrent(current *atomic.Pointer[time.Time], asOf time.Time) {
	if last := current.Load(); last == nil || asOf.After(*last) {
		current.Store(&asOf)
	}
}

// markStoreAnswered records that the store answered this daemon now.
func (f *Follower) markStoreAnswered() {
	now := time.Now()
	f.storeAnsweredAt.Store(&now)
	f.currentAsOf.Store(&now)
}

func wireRecords(records []platform.Record) []wireRecord {
	list := make([]wireRecord, 0, len(records))
	for _, record := range records {
		list = append(list, wireRecord(record))
	}
	return list
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
