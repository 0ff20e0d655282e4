package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// The table may come back from an older copy, which begins its next era. Each era has
// lease and assignment rows of its own. The holder of a lease that is still valid knows
// the latest assignment and writes both again. Any other candidate waits until that
// lease would have expired, and then begins with an unsettled assignment.

// enterEra forgets the lease row of the era before.
func (cand *candidate) enterEra(era platform.Era) {
	cand.log.Warn("the store came back from an older copy", zap.String("step", "lease"), zap.String("peer", "platform"),
		zap.Uint64("era", uint64(era)), zap.Uint64("earlier_era", uint64(cand.era)))
	cand.era = era
	cand.row = 0
	cand.lease = ownership.Lease{}
	cand.watch = ownership.LeaseWatch{}
}

// keepControl makes the holder of a lease of an earlier era its holder in the present
// one, unless the lease has expired or another daemon holds it now. While it was valid,
// nobody else can have written the assignment, whatever the table has lost. It returns
// the pause until the next step.
func (cand *candidate) keepControl(ctx context.Context, ctl *controller) time.Duration {
	asked := time.Now()
	held := ctl.holdsLease()
	if err := cand.readLease(ctx); err != nil {
		return leaseRetryDelay
	}
	next := ownership.Lease{
		Holder:      cand.c.config.Name,
		Incarnation: cand.c.member.Incarnation(),
		Term:        ownership.Lease{}.NextTerm(cand.era),
	}
	written := cand.row != 0 && cand.lease == next // by an attempt whose answer was lost
	latest := ctl.latestAssignment()
	if latest == nil || (!written && (!held || cand.row != 0)) {
		cand.endControl(ctx, ctl)
		return leaseRetryDelay
	}
	if err := cand.writeLease(ctx, next); err != nil {
		cand.log.Debug("writing the control lease again failed", zap.String("step", "lease"), zap.String("peer", "platform"), zap.Error(err))
		return leaseRetryDelay
	}
	cand.lease = next
	ctl.end()
	kept := newController(cand.c, cand.pool, next.Term, cand.era)
	kept.known = latest
	cand.startControl(ctx, kept, asked, "written again: the store came back from an older copy")
	return ownership.LeaseRenewInterval
}

// endEra makes the controller plan nothing more, because the table's era has ended, and
// the candidate begin a term of the new era.
func (ctl *controller) endEra(ctx context.Context) {
	ctl.eraEnded = true
	_ = ctl.c.loop.Call(ctx, func() {
		if cand := ctl.c.candidates[ctl.pool]; cand != nil {
			cand.wakeUp()
		}
	})
}

// noteLatest records the assignment on which the next one has to be based, also when
// the outcome of its write is not known.
func (ctl *controller) noteLatest(a *ownership.Assignment) {
	ctl.lease.mu.Lock()
	defer ctl.lease.mu.Unlock()
	ctl.lease.latest = a
}

// latestAssignment returns the assignment on which the next one has to be based, or nil
// before this term has begun.
func (ctl *controller) latestAssignment() *ownership.Assignment {
	ctl.lease.mu.Lock()
	defer ctl.lease.mu.Unlock()
	return ctl.lease.latest
}

// unsettled returns the assignment with which this term begins in an era that has none:
// the newest that this daemon or the table's older copy has, as unsettled.
func (ctl *controller) unsettled(ctx context.Context) (*ownership.Assignment, error) {
	newest := &ownership.Assignment{Pool: ctl.pool}
	if known := ctl.c.store.Get(ctl.pool); known != nil {
		newest = known
	}
	for era := ctl.era - 1; era >= platform.FirstEra; era-- {
		row, err := ctl.c.table.Get(ctx, platform.EraKey(ctl.rowKey(), era))
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		copied := &ownership.Assignment{}
		if err := json.Unmarshal(row.Value, copied); err != nil {
			return nil, errors.Wrapf(err, "decode %s", row.Key)
		}
		if copied.NewerThan(newest) {
			newest = copied
		}
		break
	}
	return newest.AsUnsettled(ctl.era), nil
}
