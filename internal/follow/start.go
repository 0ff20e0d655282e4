package follow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
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

// register writes this daemon's record, replacing that of its previous incarnation. It
// tries until it succeeds, in the background once a configuration is known.
func (f *Follower) register(ctx context.Context) {
	value, err := json.Marshal(f.Self())
	if err != nil {
		f.log.Error("daemon record could not be encoded, daemon not registered", zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		err := f.putSelf(ctx, value)
		if err == nil {
			return
		}
		f.log.Warn("daemon could not be registered in the store, retrying", zap.String("peer", "store"), zap.Error(err))
		if f.catalog.Load().Configuration != nil {
			// The daemon can serve with what the seeds sent, so don't delay its start.
			f.background.Go(func(ctx context.Context) {
				sleep(ctx, storeRetryDelay)
				f.register(ctx)
			})
			return
		}
		sleep(ctx, storeRetryDelay)
	}
}

// putSelf writes this daemon's record once. On a conflict, or when the outcome is
// unknown, it reads the records again, so that the next try expects the right revision.
func (f *Follower) putSelf(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	name := platform.DaemonPrefix + string(f.config.Name)
	expect := platform.Revision(0)
	if registered, ok := f.replicas[platform.Shared].get(name); ok && registered.Era == f.replicas[platform.Shared].completeUpTo().Era {
		expect = registered.Revision // one of an earlier era was lost by the store
	}
	record := platform.Record{Name: name, Value: value}
	position, err := f.store.Put(ctx, platform.Shared, record, expect)
	if err == nil {
		f.markStoreAnswered()
		record.Position = position
		f.ApplyWrite(platform.Shared, record)
		return nil
	}
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrAmbiguous) {
		if readErr := f.readCollection(ctx, platform.Shared); readErr != nil {
			return readErr
		}
	}
	return err
}
