package ownership

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Times of control leases.
const (
	// LeaseDuration is the validity of a control lease from the moment at which
	// its holder asked the table for it.
	LeaseDuration = 3 * time.Second
	// LeaseRenewInterval is the time between two renewals.
	LeaseRenewInterval = 1250 * time.Millisecond
)

// Lease is the row of a pool's control lease. The holder is empty when it was released.
type Lease struct {
	Holder      model.DaemonID    `json:"holder"`
	Incarnation model.Incarnation `json:"incarnation"`
	Term        model.Term        `json:"term"`
}

// LeaseWatch is what a candidate has seen of a lease row. The row's version
// changes with each renewal.
type LeaseWatch struct {
	version uint64
	since   time.Time
	seen    bool
}

// Observe notes the row's version as read; now is a time after the answer arrived.
func (w *LeaseWatch) Observe(version uint64, now time.Time) {
	if w.seen && w.version == version {
		return
	}
	*w = LeaseWatch{version: version, since: now, seen: true}
}

// UnchangedSince returns the time at which the row was first seen in its present version.
func (w *LeaseWatch) UnchangedSince() time.Time { return w.since }

// Expired reports that the row was unchanged for the lease's length on this
// daemon's clock: its holder, who counts from an earlier moment, has stopped.
func (w *LeaseWatch) Expired(now time.Time) bool {
	return w.seen && !now.Before(w.since.Add(LeaseDuration+ClockMargin))
}

// CanAcquire reports that a candidate may write itself into the row that it last observed.
func (w *LeaseWatch) CanAcquire(row Lease, candidate model.DaemonID, now time.Time) bool {
	return row.Holder == "" || row.Holder == candidate || w.Expired(now)
}
