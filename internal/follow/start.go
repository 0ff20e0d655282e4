package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// loadAll loads all collections from a seed or from the store. It reports false when
// one is still missing.
func (f *Follower) loadAll(ctx context.Context) bool {
	f.loadFromSeeds(ctx)
	return f.readMissing(ctx)
}

// loadFromSeeds loads the collections from a seed, which saves a read of the store and
// lets a daemon start while the store is unavailable. It returns after seedTimeout at
// the latest, so that seeds that are down delay the start little; the seeds are then
// polled further while the store is read.
func (f *Follower) loadFromSeeds(ctx context.Context) {
	done := make(chan struct{})
	f.background.Go(func(ctx context.Context) {
		defer close(done)
		f.pollOneSeed(ctx)
	})
	timer := time.NewTimer(seedTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// pollOneSeed polls the seeds in random order until one answers.
func (f *Follower) pollOneSeed(ctx context.Context) {
	for _, i := range rand.Perm(len(f.config.Seeds)) {
		seed := f.config.Seeds[i]
		if seed == f.config.AdvertisedControl() || ctx.Err() != nil {
			continue
		}
		if _, err := f.poll(ctx, seed, 0); err == nil {
			return
		}
	}
}

// readMissing reads from the store the collections that no seed has sent. It reports
// whether all reads succeeded.
func (f *Follower) readMissing(ctx context.Context) bool {
	var readers sync.WaitGroup
	var failed atomic.Bool
	for _, c := range collections {
		if !f.replicas[c].completeUpTo().IsZero() {
			continue
		}
		readers.Add(1)
		go func() {
			defer readers.Done()
			if err := f.readCollection(ctx, c); err != nil {
				failed.Store(true)
				f.log.Warn("collection could not be read from the store", zap.String("peer", "store"), zap.String("collection", string(c)), zap.Error(err))
			}
		}()
	}
	readers.Wait()
	return !failed.Load()
}

// awaitOtherDaemons waits for bootstrapDelay and reads the daemons again when no other
// daemon is registered, as in a fleet that has just been started. Otherwise each daemon
// would find only itself and be designated.
func (f *Follower) awaitOtherDaemons(ctx context.Context) {
	others := false
	countDaemons := func() { others = len(f.Daemons()) > 1 } // runs after the updates that were posted to the loop before
	if err := f.loop.Call(ctx, countDaemons); err != nil || others {
		return
	}
	sleep(ctx, bootstrapDelay)
	if err := f.readCollection(ctx, platform.Shared); err != nil {
		f.log.Warn("daemons could not be read from the store", zap.String("peer", "store"), zap.Error(err))
	}
}
