package ownership

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// Durations of control leases.
const (
	// LeaseDuration is the validity of a control lease, counted from the time
	// at which its holder sent the write to the table.
	LeaseDuration = 3 * time.Second
	// LeaseRenewInterval is the time between two renewals.
	LeaseRenewInterval = 1250 * time.Millisecond
)

// Lease is the table row of a pool's control lease. Holder is empty when the
// lease is released.
type Lease struct {
	Holder      model.DaemonID    `json:"holder"`
	Incarnation model.Incarnation `json:"incarnation"`
	Term        model.Term        `json:"term"`
}

// NextTerm returns the term that follows a lease in an era. The table gives no term
// out twice, whatever it has lost.
func (l Lease) NextTerm(era platform.Era) model.Term {
	return model.Term(platform.NextInEra(uint64(l.Term), era))
}

// LeaseWatch tracks, for a candidate, how long a lease row has been unchanged.
// Each renewal changes the row's version. A watch is for one era.
type LeaseWatch struct {
	version uint64    // of the row as last read
	since   time.Time // when the row was first read in this version
	seen    bool      // whether the row has been read at all
}

// Observe records the version of the row as read; now must be a time after the
// answer arrived.
func (w *LeaseWatch) Observe(version uint64, now time.Time) {
	if w.seen && w.version == version {
		return
	}
	*w = LeaseWatch{version: version, since: now, seen: true}
}

// UnchangedSince returns the time at which the row was first seen in its
// present version.
func (w *LeaseWatch) UnchangedSince() time.Time { return w.since }

// Expired reports whether the row has been unchanged for LeaseDuration plus
// ClockMargin on this daemon's clock. The holder counts from an earlier time,
// so it has stopped acting on the lease.
func (w *LeaseWatch) Expired(now time.Time) bool {
	return w.seen && !now.Before(w.since.Add(LeaseDuration+ClockMargin))
}

// CanAcquire reports whether the candidate may write itself into the row of an era
// that it last observed. A row without a term was never written: in a later era the
// lease may then be that of a holder of the era before, whom the table has lost.
func (w *LeaseWatch) CanAcquire(row Lease, era platform.Era, candidate model.DaemonID, now time.Time) bool {
	if row.Term == 0 && era > platform.FirstEra {
		return w.Expired(now)
	}
	return row.Holder == "" || row.Holder == candidate || w.Expired(now)
}
