package ownership

import (
	"maps"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Versions is the newest version of each pool's assignment, and of the fleet,
// that a daemon knows to be in the table.
type Versions struct {
	Fleet FleetVersion                 `json:"fleet"`
	Pools map[model.PoolName]model.Seq `json:"pools,omitempty"`
}

// Witness is what one life of a daemon can attest.
type Witness struct {
	informed bool
	fleet    Fleet
	heard    map[model.PoolName]model.Seq
}

// NewWitness returns a witness that has just started and attests nothing.
func NewWitness() *Witness {
	return &Witness{heard: map[model.PoolName]model.Seq{}}
}

// Observe notes that the table holds a pool's assignment of this or a later version.
func (w *Witness) Observe(pool model.PoolName, seq model.Seq) {
	w.heard[pool] = max(w.heard[pool], seq)
}

// ObserveFleet takes a fleet row. It reports whether it is newer than the known one.
func (w *Witness) ObserveFleet(f Fleet) bool {
	if f.Version <= w.fleet.Version {
		return false
	}
	w.fleet = f
	return true
}

// Fleet returns the newest known fleet row.
func (w *Witness) Fleet() Fleet { return w.fleet }

// MarkSynced says that the witness has read all rows from the table in this life.
func (w *Witness) MarkSynced() { w.informed = true }

// Synced reports that the witness may attest.
func (w *Witness) Synced() bool { return w.informed }

// Versions returns a copy of what the witness knows.
func (w *Witness) Versions() Versions {
	return Versions{Fleet: w.fleet.Version, Pools: maps.Clone(w.heard)}
}

// Attestation is a daemon's answer to a round.
type Attestation struct {
	Daemon model.DaemonID `json:"daemon"`
	Synced bool           `json:"informed"`
	Versions
}

// Attest returns the statement of this witness.
func (w *Witness) Attest(daemon model.DaemonID) Attestation {
	return Attestation{Daemon: daemon, Synced: w.informed, Versions: w.Versions()}
}

// AttestedNewest reports that statements asked for in one round show that more than
// half of the fleet knows no version of the pool newer than seq.
func (w *Witness) AttestedNewest(pool model.PoolName, seq model.Seq, statements []Attestation) bool {
	counted := map[model.DaemonID]bool{}
	for _, s := range statements {
		if s.Synced && s.Fleet <= w.fleet.Version && s.Pools[pool] <= seq {
			counted[s.Daemon] = true
		}
	}
	return w.fleet.Version > 0 && w.fleet.Quorum(counted)
}

// ReachedQuorum reports that more than half of the fleet knows the version of the pool
// or a later one. A daemon that knows a newer fleet is not counted.
func (w *Witness) ReachedQuorum(pool model.PoolName, seq model.Seq, statements []Attestation) bool {
	counted := map[model.DaemonID]bool{}
	for _, s := range statements {
		if s.Fleet <= w.fleet.Version && s.Pools[pool] >= seq {
			counted[s.Daemon] = true
		}
	}
	return w.fleet.Version > 0 && w.fleet.Quorum(counted)
}

// SyncFromPeers makes an uninformed witness informed once informed daemons
// that are more than half of the fleet have told what they know. It reports
// whether they have.
func (w *Witness) SyncFromPeers(statements []Attestation) bool {
	counted := map[model.DaemonID]bool{}
	for _, s := range statements {
		if s.Synced && s.Fleet <= w.fleet.Version {
			counted[s.Daemon] = true
		}
	}
	if w.fleet.Version == 0 || !w.fleet.Quorum(counted) {
		return false
	}
	for _, s := range statements {
		for pool, seq := range s.Pools {
			w.Observe(pool, seq)
		}
	}
	w.informed = true
	return true
}
