package catalog

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// Evacuation is an operator's request that the servers of an availability zone get no
// requests until it is taken back.
type Evacuation struct {
	Zone model.Zone
	// Position is that of the last change of its record in the store.
	platform.Position
	// Since is when this daemon first heard of the evacuation. Ended is when it heard that
	// the evacuation was taken back, and zero while it is in force.
	Since time.Time
	Ended time.Time
	// NotBefore is a time at which the evacuation had not been asked for yet: this daemon's
	// copy of the store's records was certainly complete then, without it. It is zero if there
	// was no earlier copy.
	NotBefore time.Time
}

// InForce reports whether the evacuation has not been taken back.
func (e Evacuation) InForce() bool { return !e.Since.IsZero() && e.Ended.IsZero() }

// Evacuated reports whether an availability zone is evacuated.
func (s *Snapshot) Evacuated(zone model.Zone) bool { return s.Evacuations[zone].InForce() }
