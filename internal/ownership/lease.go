package ownership

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Times of control leases.
const (
	// LeaseLength is the validity of a control lease from the moment at which
	// its holder asked the table for it.
	LeaseLength = 3 * time.Second
	// LeasePeriod is the time between two renewals.
	LeasePeriod = 1250 * time.Millisecond
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

// Since returns the time at which the row was first seen in its present version.
func (w *LeaseWatch) Since() time.Time { return w.since }

// Lapsed reports that the row was unchanged for the lease's length on this
// daemon's clock: its holder, who counts from an earlier moment, has stopped.
func (w *LeaseWatch) Lapsed(now time.Time) bool {
	return w.seen && !now.Before(w.since.Add(LeaseLength+ClockMargin))
}

// MayTake reports that a candidate may write itself into the row that it last observed.
func (w *LeaseWatch) MayTake(row Lease, candidate model.DaemonID, now time.Time) bool {
	return row.Holder == "" || row.Holder == candidate || w.Lapsed(now)
}
