package ownership

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// PermitDuration is the validity of a permit from the moment at which it was asked for.
const PermitDuration = 3 * time.Second

// Replica is what one life of a daemon knows of one pool's assignment, and how
// long it may act on it as a dispatcher.
type Replica struct {
	daemon      model.DaemonID
	incarnation model.Incarnation
	known       *Assignment
	contact     time.Time
}

// NewReplica returns a holder that knows nothing.
func NewReplica(daemon model.DaemonID, incarnation model.Incarnation) *Replica {
	return &Replica{daemon: daemon, incarnation: incarnation}
}

// Advance takes an assignment and reports whether it is newer than the known one.
func (h *Replica) Advance(a *Assignment) bool {
	if h.known != nil && a.Seq <= h.known.Seq {
		return false
	}
	h.known = a
	return true
}

// Assignment returns the newest known assignment, or nil.
func (h *Replica) Assignment() *Assignment { return h.known }

// Seq returns the sequence number of the known assignment, zero when there is none.
func (h *Replica) Seq() model.Seq {
	if h.known == nil {
		return 0
	}
	return h.known.Seq
}

// Confirm notes that the coordinator, or more than half of the fleet, was asked
// at the given time and knew of no assignment newer than seq. A confirmation of
// an assignment that is not known here yet counts for nothing.
func (h *Replica) Confirm(seq model.Seq, asked time.Time) {
	if h.known == nil || seq > h.known.Seq || asked.Before(h.contact) {
		return
	}
	h.contact = asked
}

// PermitsUntil returns the end of the permits.
func (h *Replica) PermitsUntil() time.Time {
	if h.contact.IsZero() {
		return time.Time{}
	}
	return h.contact.Add(PermitDuration)
}

// Permits returns the permits that follow from what is known.
func (h *Replica) Permits() []*Permit {
	if h.known == nil {
		return nil
	}
	return PermitsOf(h.known, h.daemon, h.incarnation, h.PermitsUntil())
}

// IsDispatcher reports that the known assignment names this life of the daemon
// as a dispatcher in any state.
func (h *Replica) IsDispatcher() bool {
	if h.known == nil {
		return false
	}
	for i := range h.known.Servers {
		for _, d := range h.known.Servers[i].Dispatchers {
			if d.Daemon == h.daemon && d.Incarnation == h.incarnation {
				return true
			}
		}
	}
	return false
}
