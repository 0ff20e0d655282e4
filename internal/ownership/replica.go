package ownership

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// PermitDuration is the validity of a permit, counted from the time at which
// the daemon asked for it.
const PermitDuration = 3 * time.Second

// Replica is a daemon's copy of one pool's assignment, with the time until
// which the daemon may act on it as a dispatcher. It belongs to one incarnation
// of the daemon.
type Replica struct {
	daemon      model.DaemonID
	incarnation model.Incarnation
	assignment  *Assignment
	confirmedAt time.Time // when the latest confirmation was asked for
}

// NewReplica returns a replica without an assignment.
func NewReplica(daemon model.DaemonID, incarnation model.Incarnation) *Replica {
	return &Replica{daemon: daemon, incarnation: incarnation}
}

// Advance installs the assignment if it is newer than the present one (see
// NewerThan), and reports whether it was.
func (r *Replica) Advance(a *Assignment) bool {
	if !a.NewerThan(r.assignment) {
		return false
	}
	r.assignment = a
	return true
}

// Assignment returns the newest assignment received, or nil.
func (r *Replica) Assignment() *Assignment { return r.assignment }

// Seq returns the sequence number of the assignment, or zero when there is
// none.
func (r *Replica) Seq() model.Seq {
	if r.assignment == nil {
		return 0
	}
	return r.assignment.Seq
}

// Confirm records that the coordinator, or a majority of the fleet, was asked
// at the given time and had no assignment newer than seq. It has no effect when
// the replica does not yet have that version.
func (r *Replica) Confirm(seq model.Seq, asked time.Time) {
	if r.assignment == nil || seq > r.assignment.Seq || asked.Before(r.confirmedAt) {
		return
	}
	r.confirmedAt = asked
}

// PermitsUntil returns the expiry of the permits, or the zero time before the
// first confirmation.
func (r *Replica) PermitsUntil() time.Time {
	if r.confirmedAt.IsZero() {
		return time.Time{}
	}
	return r.confirmedAt.Add(PermitDuration)
}

// Permits returns the permits that the assignment gives to this incarnation of
// the daemon. They may have expired.
func (r *Replica) Permits() []*Permit {
	if r.assignment == nil {
		return nil
	}
	return PermitsOf(r.assignment, r.daemon, r.incarnation, r.PermitsUntil())
}

// IsDispatcher reports whether the assignment lists this incarnation of the
// daemon as a dispatcher, active or retiring.
func (r *Replica) IsDispatcher() bool {
	if r.assignment == nil {
		return false
	}
	for i := range r.assignment.Servers {
		for _, d := range r.assignment.Servers[i].Dispatchers {
			if d.Daemon == r.daemon && d.Incarnation == r.incarnation {
				return true
			}
		}
	}
	return false
}
