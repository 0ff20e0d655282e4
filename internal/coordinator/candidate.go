package coordinator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/placement"
	"github.com/chicorylug/chicorylug/internal/platform"
)

const leasePrefix = "lease/"

// Periods and bounds of the lease.
const (
	leaseRetry   = 250 * time.Millisecond // pause after a renewal that failed
	leaseTimeout = 2 * time.Second        // bound of one call of the table
	// laterWatch is the period of the second candidate's look at the lease; the
	// n-th one's is n times as long.
	laterWatch = 10 * time.Second
	// suspectAfter is the silence of a coordinator after which every daemon that
	// misses it watches the lease.
	suspectAfter = 1500 * time.Millisecond
)

// candidate holds, or waits for, the control lease of one pool.
type candidate struct {
	c    *Coordinator
	pool model.PoolName
	wake chan struct{}
	log  *zap.Logger

	// mu serializes the steps that call the table for the lease.
	mu    sync.Mutex
	row   platform.RowVersion
	lease ownership.Lease
	watch ownership.LeaseWatch

	// These belong to the control goroutine.
	controller *controller
	offered    bool
	watched    time.Time // last look at the lease of another daemon
}

func newCandidate(c *Coordinator, pool model.PoolName) *candidate {
	return &candidate{c: c, pool: pool, wake: make(chan struct{}, 1), log: c.log.With(zap.String("pool", string(pool)))}
}

func (cand *candidate) poke() {
	select {
	case cand.wake <- struct{}{}:
	default:
	}
}

func (cand *candidate) run(ctx context.Context) {
	for {
		pause := cand.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-cand.wake:
		case <-time.After(pause):
		}
	}
}

// step renews the lease, or looks whether it can be taken, and returns the
// pause until the next step.
func (cand *candidate) step(ctx context.Context) time.Duration {
	cand.mu.Lock()
	defer cand.mu.Unlock()
	var ctl *controller
	var leaving, watches bool
	if err := cand.c.loop.Call(ctx, func() {
		ctl, leaving = cand.controller, cand.c.leaving
		watches = cand.watches(time.Now())
	}); err != nil {
		return leaseRetry
	}
	switch {
	case leaving:
		return leaseRetry
	case ctl != nil && ctl.hasEnded():
		cand.lose(ctx, ctl)
		return cand.tryTake(ctx)
	case ctl != nil:
		return cand.renew(ctx, ctl)
	case watches:
		return cand.tryTake(ctx)
	default:
		return leaseRetry
	}
}

// watches reports that this candidate reads the lease row now. The first one
// besides the holder reads it in each period, the others rarely, unless they
// miss the coordinator themselves. It runs on the control goroutine.
func (cand *candidate) watches(now time.Time) bool {
	known := cand.c.store.Get(cand.pool)
	if cand.offered || known == nil {
		cand.offered = false
		cand.watched = now
		return true
	}
	rank := cand.rank(known.Coordinator.Daemon)
	period := ownership.LeaseRenewInterval
	if rank > 0 && !cand.misses(now) {
		period = time.Duration(rank) * laterWatch
	}
	if now.Sub(cand.watched) < period {
		return false
	}
	cand.watched = now
	return true
}

// misses reports that this daemon needs the coordinator and does not hear it.
func (cand *candidate) misses(now time.Time) bool {
	return cand.c.agent.Misses(cand.pool, now, suspectAfter)
}

// rank returns the number of candidates with a higher score, besides the holder.
func (cand *candidate) rank(holder model.DaemonID) int {
	own := placement.Score(cand.subject(), string(cand.c.config.Name))
	ahead := 0
	for id, daemon := range cand.c.member.Members().Daemons {
		if id == holder || id == cand.c.config.Name || daemon.Leaving {
			continue
		}
		if placement.Score(cand.subject(), string(id)) > own {
			ahead++
		}
	}
	return ahead
}

func (cand *candidate) subject() string { return leasePrefix + string(cand.pool) }

// successors returns the daemons that may take the lease, the first by score first.
func (cand *candidate) successors() []model.DaemonID {
	var ids []model.DaemonID
	for id, daemon := range cand.c.member.Members().Daemons {
		if id != cand.c.config.Name && !daemon.Leaving {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b model.DaemonID) int {
		if placement.Score(cand.subject(), string(a)) > placement.Score(cand.subject(), string(b)) {
			return -1
		}
		return 1
	})
	return ids
}

// tryTake reads the lease row and takes it when it is free or has lapsed.
func (cand *candidate) tryTake(ctx context.Context) time.Duration {
	err := cand.read(ctx)
	now := time.Now()
	if err != nil {
		cand.log.Debug("lease not read", zap.String("step", "lease"), zap.String("peer", "platform"), zap.Error(err))
		return leaseRetry
	}
	if !cand.watch.CanAcquire(cand.lease, cand.c.config.Name, now) {
		return leaseRetry
	}
	if !cand.first(cand.lease) {
		return leaseRetry
	}
	return cand.take(ctx)
}

// first reports that a lease that nobody ever held is this candidate's to take:
// so the leases of the pools spread over the daemons.
func (cand *candidate) first(lease ownership.Lease) bool {
	return lease.Term > 0 || cand.rank("") == 0 || time.Since(cand.watch.UnchangedSince()) > ownership.LeaseDuration
}

func (cand *candidate) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	row, err := cand.c.table.Get(ctx, cand.subject())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	cand.row = row.Version
	cand.lease = ownership.Lease{}
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &cand.lease); err != nil {
			return errors.Wrap(err, "decode lease")
		}
	}
	cand.watch.Observe(uint64(row.Version), time.Now())
	return nil
}

// take writes this daemon into the lease row under the next term.
func (cand *candidate) take(ctx context.Context) time.Duration {
	next := ownership.Lease{
		Holder:      cand.c.config.Name,
		Incarnation: cand.c.member.Incarnation(),
		Term:        cand.lease.Term + 1,
	}
	asked := time.Now()
	if err := cand.write(ctx, next); err != nil {
		cand.log.Debug("lease not taken", zap.String("step", "lease"), zap.String("peer", "platform"), zap.Error(err))
		return leaseRetry
	}
	earlier := cand.lease
	cand.lease = next
	ctl := newController(cand.c, cand.pool, next.Term)
	ctl.extend(asked)
	_ = cand.c.loop.Call(ctx, func() { cand.controller = ctl })
	cand.c.counters.leases(1)
	cand.c.journal.Add(journal.Event{Kind: journal.LeaseTaken, Pool: cand.pool, Cause: takeCause(earlier), Term: next.Term})
	cand.c.background.Go(ctl.run)
	return ownership.LeaseRenewInterval
}

func takeCause(earlier ownership.Lease) string {
	switch {
	case earlier.Term == 0:
		return "the pool had no coordinator yet"
	case earlier.Holder == "":
		return "the lease was released"
	default:
		return "the lease of " + string(earlier.Holder) + " lapsed"
	}
}

func (cand *candidate) write(ctx context.Context, lease ownership.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	value, err := json.Marshal(lease)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	version, err := platform.Resolve(ctx, cand.c.table, platform.Write{
		Key:     cand.subject(),
		Value:   value,
		Expect:  cand.row,
		WriteID: platform.WriteID(uuid.NewString()),
	})
	if err != nil {
		return errors.Wrap(err, "write lease")
	}
	cand.row = version
	return nil
}

// renew extends the lease. A renewal with an unknown outcome is read back: the
// lease goes on as long as the row names this daemon under its term.
func (cand *candidate) renew(ctx context.Context, ctl *controller) time.Duration {
	asked := time.Now()
	err := cand.write(ctx, cand.lease)
	if err == nil {
		ctl.extend(asked)
		return ownership.LeaseRenewInterval - ownership.LeaseRenewInterval/10 + rand.N(ownership.LeaseRenewInterval/10)
	}
	cand.log.Debug("lease not renewed", zap.String("step", "renew"), zap.String("peer", "platform"), zap.Error(err))
	own := cand.lease
	if err := cand.read(ctx); err != nil {
		return leaseRetry
	}
	if cand.lease != own {
		cand.lose(ctx, ctl)
		return leaseRetry
	}
	return 0
}

// lose ends the control of the pool.
func (cand *candidate) lose(ctx context.Context, ctl *controller) {
	ctl.end()
	_ = cand.c.loop.Call(ctx, func() { cand.controller = nil })
	cand.c.journal.Add(journal.Event{
		Kind:  journal.LeaseLost,
		Pool:  cand.pool,
		Cause: "the table names " + string(cand.lease.Holder),
		Term:  cand.lease.Term,
	})
}

// release gives the lease up and tells a successor.
func (cand *candidate) release(ctx context.Context) error {
	cand.mu.Lock()
	defer cand.mu.Unlock()
	var ctl *controller
	if err := cand.c.loop.Call(ctx, func() { ctl = cand.controller; cand.controller = nil }); err != nil || ctl == nil {
		return err
	}
	ctl.end()
	released := ownership.Lease{Term: cand.lease.Term}
	if err := cand.write(ctx, released); err != nil {
		return err
	}
	cand.c.journal.Add(journal.Event{Kind: journal.LeaseLost, Pool: cand.pool, Cause: "released: this daemon leaves", Term: released.Term})
	cand.offer(ctx, released.Term)
	return nil
}
