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
)

// Periods, delays and bounds.
const (
	minStoreFollowers      = 3                       // least number of designated daemons, if there are as many
	storePollWait          = 900 * time.Millisecond  // the store answers a poll without a change after this time
	sharedPollWait         = 1700 * time.Millisecond // the same for platform.Shared, whose changes need not arrive within a bound
	storePollSlack         = 500 * time.Millisecond  // time beyond the wait for the store's answer, enough for a slow store
	readTimeout            = 1500 * time.Millisecond // for one read of a whole collection, or one write
	peerPollWait           = 600 * time.Millisecond  // a daemon answers a poll without a change after this time
	peerPollTimeout        = 900 * time.Millisecond  // for one poll of a daemon with a wait of peerPollWait
	changeBatchDelay       = 150 * time.Millisecond  // pause after a change, so that the next poll returns further ones together
	seedTimeout            = 100 * time.Millisecond  // time without an answer of a seed after which the store is read too
	bootstrapDelay         = 400 * time.Millisecond  // time for the other daemons of a new fleet to register
	storeRetryDelay        = 300 * time.Millisecond  // pause after a failed call of the store
	undesignatedRetryDelay = time.Second             // the same for a daemon that is not designated
	suspectDuration        = 2 * time.Second         // time for which a daemon that failed to answer is not asked again
	maxStoreAge            = 3000 * time.Millisecond // age from which on the store counts as unreachable, and a peer's data as outdated
)

// run loads the collections, registers this daemon and keeps the collections current
// until ctx ends.
func (f *Follower) run(ctx context.Context) {
	for !f.loadAll(ctx) && ctx.Err() == nil {
		sleep(ctx, storeRetryDelay)
	}
	f.register(ctx)
	f.awaitOtherDaemons(ctx)
	for ctx.Err() == nil {
		if f.Designated() {
			f.followStore(ctx)
			continue
		}
		if !f.followPeers(ctx) {
			f.followStore(ctx)
		}
	}
}

// followStore polls the store for all collections: in a designated daemon until ctx ends
// or it is no longer designated, in another one once for each collection.
func (f *Follower) followStore(ctx context.Context) {
	var loops sync.WaitGroup
	for _, c := range collections {
		loops.Add(1)
		go func() {
			defer loops.Done()
			f.followCollection(ctx, c)
		}()
	}
	loops.Wait()
}

// followCollection polls the store for one collection, as followStore says.
func (f *Follower) followCollection(ctx context.Context, c platform.Collection) {
	failing := false
	defer func() { f.countFailing(failing, false) }()
	for ctx.Err() == nil {
		err := f.pollStore(ctx, c)
		if err != nil && !failing {
			f.log.Warn("polls of the store fail", zap.String("peer", "store"), zap.String("collection", string(c)), zap.Error(err))
		}
		if err == nil && failing {
			f.log.Info("polls of the store succeed again", zap.String("peer", "store"), zap.String("collection", string(c)))
		}
		f.countFailing(failing, err != nil)
		failing = err != nil
		if failing {
			f.catchUpFromPeers(ctx)
			f.sleepAfterFailure(ctx)
		}
		if !f.Designated() {
			return
		}
	}
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

// sleepAfterFailure waits before the next call of the store after one that failed: for
// one to two times the delay, at random. The delay is longer for daemons that call the
// store only because no designated daemon is usable.
func (f *Follower) sleepAfterFailure(ctx context.Context) {
	minDelay := storeRetryDelay
	if !f.Designated() {
		minDelay = undesignatedRetryDelay
	}
	sleep(ctx, minDelay+rand.N(minDelay))
}

// pollStore waits for the next changes of a collection and applies them. It reads the
// whole collection when there is no copy yet, or the store does not have the changes since
// the copy's position.
func (f *Follower) pollStore(ctx context.Context, c platform.Collection) error {
	if f.replicas[c].completeUpTo().IsZero() {
		return f.readCollection(ctx, c)
	}
	wait := storePollWait
	if c == platform.Shared {
		wait = sharedPollWait
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait+storePollSlack)
	defer cancel()
	page, err := f.store.Changes(waitCtx, c, f.replicas[c].completeUpTo(), wait)
	f.storeCalls.Inc()
	if errors.Is(err, platform.ErrHistoryGone) {
		return f.reread(ctx, c, err)
	}
	if err != nil {
		return err
	}
	f.rereads[c].reset()
	f.applyAnswer(c, update{Records: wireRecords(page.Records), Position: page.Position})
	if len(page.Records) > 0 {
		sleep(ctx, changeBatchDelay)
	}
	return nil
}

// readCollection reads a whole collection from the store and applies it.
func (f *Follower) readCollection(ctx context.Context, c platform.Collection) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := f.store.Read(ctx, c)
	f.storeCalls.Inc()
	if err != nil {
		return err
	}
	f.applyAnswer(c, update{Full: true, Records: wireRecords(page.Records), Position: page.Position})
	return nil
}

// applyAnswer applies what the store has answered just now about a collection.
func (f *Follower) applyAnswer(c platform.Collection, u update) {
	f.markStoreAnswered()
	f.applyUpdate(c, u)
	switch c {
	case platform.Servers:
		markCurrent(&f.registrationsAsOf, time.Now())
	case platform.Shared:
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
