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

// Periods and time limits of the lease.
const (
	leaseRetryDelay  = 250 * time.Millisecond // pause between steps while the lease is not held, and after a failed renewal
	leaseCallTimeout = 2 * time.Second        // limit of one call of the table
	// standbyReadPeriod is the time between two reads of the lease row by the
	// candidate at position 1; the candidate at position n reads it n times as
	// rarely.
	standbyReadPeriod = 10 * time.Second
	// suspectAfter is the time without contact after which a daemon that needs
	// the coordinator reads the lease row more often, whatever its position; see
	// leaseReads.
	suspectAfter = 1500 * time.Millisecond
)

// candidate holds the control lease of one pool or waits to acquire it.
type candidate struct {
	c    *Coordinator
	pool model.PoolName
	wake chan struct{}
	log  *zap.Logger

	// mu serializes the steps that access the lease row in the table.
	mu    sync.Mutex
	era   platform.Era         // era of the table, as of the last answer
	row   platform.RowVersion  // version of that era's lease row as last read or written
	lease ownership.Lease      // content of that version
	watch ownership.LeaseWatch // how long the row has been unchanged
	reads leaseReads           // spaces the reads while the coordinator is missed

	// The fields below belong to the control goroutine.
	controller   *controller // runs while this daemon holds the lease, else nil
	leaseOffered bool        // set when a coordinator offers the released lease
	lastRead     time.Time   // last read of a lease row that another daemon holds
}

func newCandidate(c *Coordinator, pool model.PoolName) *candidate {
	return &candidate{c: c, pool: pool, era: platform.FirstEra, wake: make(chan struct{}, 1), log: c.log.With(zap.String("pool", string(pool)))}
}

// wakeUp makes run take its next step at once.
func (cand *candidate) wakeUp() {
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

// step renews the lease, or acquires it when that is possible, and returns the
// pause until the next step.
func (cand *candidate) step(ctx context.Context) time.Duration {
	cand.mu.Lock()
	defer cand.mu.Unlock()
	var ctl *controller
	var leaving, readDue bool
	missingPeriod := cand.reads.period()
	if err := cand.c.loop.Call(ctx, func() {
		ctl, leaving = cand.controller, cand.c.leaving
		readDue = cand.shouldReadLease(missingPeriod, time.Now())
	}); err != nil {
		return leaseRetryDelay
	}
	switch {
	case leaving:
		return leaseRetryDelay
	case ctl != nil && ctl.hasEnded():
		cand.endControl(ctx, ctl)
		return cand.tryAcquire(ctx)
	case ctl != nil:
		return cand.renew(ctx, ctl)
	case readDue:
		return cand.tryAcquire(ctx)
	default:
		return leaseRetryDelay
	}
}

// shouldReadLease reports whether this candidate is due to read the lease row.
// To limit the load on the table, only the candidate at position 0 reads it in
// each renewal period; the others read it rarely, or in each missingPeriod if they
// miss the coordinator themselves. It runs on the control goroutine.
func (cand *candidate) shouldReadLease(missingPeriod time.Duration, now time.Time) bool {
	assignment := cand.c.store.Get(cand.pool)
	if cand.leaseOffered || assignment == nil {
		cand.leaseOffered = false
		cand.lastRead = now
		return true
	}
	position := cand.position(assignment.Coordinator.Daemon)
	period := ownership.LeaseRenewInterval
	if position > 0 {
		period = missingPeriod
	}
	if position > 0 && !cand.missesCoordinator(now) {
		period = time.Duration(position) * standbyReadPeriod
	}
	if now.Sub(cand.lastRead) < period {
		return false
	}
	cand.lastRead = now
	return true
}

// missesCoordinator reports whether this daemon is a dispatcher of the pool and
// has had no contact with the coordinator for suspectAfter.
func (cand *candidate) missesCoordinator(now time.Time) bool {
	return cand.c.agent.CoordinatorUnresponsive(cand.pool, now, suspectAfter)
}

// position returns the position of this candidate in the order of succession,
// from 0: the number of candidates with a higher placement score, without the
// holder of the lease and daemons that are leaving.
func (cand *candidate) position(holder model.DaemonID) int {
	own := placement.Score(cand.leaseKey(), string(cand.c.config.Name))
	ahead := 0
	for id, daemon := range cand.c.member.Members().Daemons {
		if id == holder || id == cand.c.config.Name || daemon.Leaving {
			continue
		}
		if placement.Score(cand.leaseKey(), string(id)) > own {
			ahead++
		}
	}
	return ahead
}

// leaseKey returns the key of the lease row, which is also the input of the
// placement scores.
func (cand *candidate) leaseKey() string { return leasePrefix + string(cand.pool) }

// successors returns the other daemons that may acquire the lease, in
// descending order of score.
func (cand *candidate) successors() []model.DaemonID {
	var ids []model.DaemonID
	for id, daemon := range cand.c.member.Members().Daemons {
		if id != cand.c.config.Name && !daemon.Leaving {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b model.DaemonID) int {
		if placement.Score(cand.leaseKey(), string(a)) > placement.Score(cand.leaseKey(), string(b)) {
			return -1
		}
		return 1
	})
	return ids
}

// tryAcquire reads the lease row and acquires the lease if it is released or
// has expired. It returns the pause until the next step.
func (cand *candidate) tryAcquire(ctx context.Context) time.Duration {
	before := cand.row
	err := cand.readLease(ctx)
	now := time.Now()
	cand.reads.observe(err == nil && cand.row != before, now)
	if err != nil {
		cand.log.Debug("reading the control lease failed", zap.String("step", "lease"), zap.String("peer", "platform"), zap.Error(err))
		return leaseRetryDelay
	}
	if !cand.watch.CanAcquire(cand.lease, cand.era, cand.c.config.Name, now) {
		return leaseRetryDelay
	}
	if !cand.mayAcquireFirst(cand.lease) {
		return leaseRetryDelay
	}
	return cand.acquire(ctx)
}

// mayAcquireFirst reports whether the position of this candidate allows it to
// acquire the lease. A lease that was never held is left to the candidate at
// position 0 for LeaseDuration, so that the leases of the pools are spread over
// the daemons. Any candidate may acquire a lease that was held before.
func (cand *candidate) mayAcquireFirst(lease ownership.Lease) bool {
	return lease.Term > 0 || cand.position("") == 0 || time.Since(cand.watch.UnchangedSince()) > ownership.LeaseDuration
}

// readLease reads the lease row of the table's era and records its version.
func (cand *candidate) readLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	row, err := cand.c.table.Get(ctx, platform.EraKey(cand.leaseKey(), cand.era))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if row.Era != cand.era {
		if row.Era > cand.era {
			cand.enterEra(row.Era)
		}
		return errors.Wrapf(platform.ErrOtherEra, "read lease: era %d", row.Era)
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

// acquire writes this daemon into the lease row under the next term and starts
// a controller.
func (cand *candidate) acquire(ctx context.Context) time.Duration {
	next := ownership.Lease{
		Holder:      cand.c.config.Name,
		Incarnation: cand.c.member.Incarnation(),
		Term:        cand.lease.NextTerm(cand.era),
	}
	asked := time.Now()
	if err := cand.writeLease(ctx, next); err != nil {
		cand.log.Debug("acquiring the control lease failed", zap.String("step", "lease"), zap.String("peer", "platform"), zap.Error(err))
		return leaseRetryDelay
	}
	earlier := cand.lease
	cand.lease = next
	cand.startControl(ctx, newController(cand.c, cand.pool, next.Term, cand.era), asked, acquireCause(earlier, cand.era))
	return ownership.LeaseRenewInterval
}

// startControl starts the controller of a lease whose write was sent at the given time.
func (cand *candidate) startControl(ctx context.Context, ctl *controller, asked time.Time, cause string) {
	ctl.extendLease(asked)
	_ = cand.c.loop.Call(ctx, func() { cand.controller = ctl })
	cand.c.counters.leases(1)
	cand.c.journal.Add(journal.Event{Kind: journal.LeaseTaken, Pool: cand.pool, Cause: cause, Term: ctl.term})
	cand.c.background.Go(ctl.run)
}

func acquireCause(earlier ownership.Lease, era platform.Era) string {
	switch {
	case earlier.Term == 0 && era > platform.FirstEra:
		return "the store came back from an older copy, and the lease that it has lost lapsed"
	case earlier.Term == 0:
		return "the pool had no coordinator yet"
	case earlier.Holder == "":
		return "the lease was released"
	default:
		return "the lease of " + string(earlier.Holder) + " lapsed"
	}
}

// writeLease writes the lease row if the table still holds the version that was
// last read or written.
func (cand *candidate) writeLease(ctx context.Context, lease ownership.Lease) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	value, err := json.Marshal(lease)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	version, err := platform.WriteAndConfirm(ctx, cand.c.table, platform.Write{
		Key:     platform.EraKey(cand.leaseKey(), cand.era),
		Value:   value,
		Expect:  cand.row,
		WriteID: platform.WriteID(uuid.NewString()),
		Era:     cand.era,
	})
	if err != nil {
		return errors.Wrap(err, "write lease")
	}
	cand.row = version
	return nil
}

// renew extends the lease. When the outcome of the write is unknown or
// negative, the row is read back: the lease continues if the row still names
// this daemon under its term. It returns the pause until the next step.
func (cand *candidate) renew(ctx context.Context, ctl *controller) time.Duration {
	if ctl.era != cand.era {
		return cand.keepControl(ctx, ctl)
	}
	asked := time.Now()
	err := cand.writeLease(ctx, cand.lease)
	if err == nil {
		ctl.extendLease(asked)
		return ownership.LeaseRenewInterval - ownership.LeaseRenewInterval/10 + rand.N(ownership.LeaseRenewInterval/10)
	}
	cand.log.Debug("renewing the control lease failed", zap.String("step", "renew"), zap.String("peer", "platform"), zap.Error(err))
	own := cand.lease
	if err := cand.readLease(ctx); errors.Is(err, platform.ErrOtherEra) {
		return 0
	} else if err != nil {
		return leaseRetryDelay
	}
	if cand.lease != own {
		cand.endControl(ctx, ctl)
		return leaseRetryDelay
	}
	return 0
}

// endControl ends this daemon's control of the pool.
func (cand *candidate) endControl(ctx context.Context, ctl *controller) {
	ctl.end()
	_ = cand.c.loop.Call(ctx, func() { cand.controller = nil })
	cand.c.journal.Add(journal.Event{
		Kind:  journal.LeaseLost,
		Pool:  cand.pool,
		Cause: "the table names " + string(cand.lease.Holder),
		Term:  cand.lease.Term,
	})
}

// release gives up the lease, if it is held, and notifies a successor.
func (cand *candidate) release(ctx context.Context) error {
	cand.mu.Lock()
	defer cand.mu.Unlock()
	var ctl *controller
	if err := cand.c.loop.Call(ctx, func() { ctl = cand.controller; cand.controller = nil }); err != nil || ctl == nil {
		return err
	}
	ctl.end()
	released := ownership.Lease{Term: cand.lease.Term}
	if err := cand.writeLease(ctx, released); err != nil {
		return err
	}
	cand.c.journal.Add(journal.Event{Kind: journal.LeaseLost, Pool: cand.pool, Cause: "released: this daemon leaves", Term: released.Term})
	cand.offerLease(ctx, released.Term)
	return nil
}
