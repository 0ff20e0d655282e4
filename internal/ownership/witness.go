package ownership

import (
	"maps"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// Versions are the newest versions that a daemon has seen in the table, of the
// fleet row and of each pool's assignment.
type Versions struct {
	Fleet FleetVersion                 `json:"fleet"`
	Pools map[model.PoolName]model.Seq `json:"pools,omitempty"`
	// Floor is below all versions of the table's era in which the daemon has read the
	// table since its start. Of earlier eras it knows nothing.
	Floor model.Seq `json:"floor,omitempty"`
}

// newest returns the newest version of a pool's assignment that the daemon may have
// seen.
func (v *Versions) newest(pool model.PoolName) model.Seq { return max(v.Pools[pool], v.Floor) }

// Witness records which versions one incarnation of a daemon has seen. Its
// attestations let a dispatcher renew its permits without the coordinator:
// before a coordinator stops waiting for a silent dispatcher, it has a majority
// of the fleet observe the newer version, so a majority that has seen nothing
// newer proves that the dispatcher may continue.
type Witness struct {
	synced bool                         // see Synced
	fleet  Fleet                        // newest fleet row
	pools  map[model.PoolName]model.Seq // newest version of each pool's assignment
	floor  model.Seq                    // see Versions
}

// NewWitness returns a witness that has seen no versions and is not synced.
func NewWitness() *Witness {
	return &Witness{pools: map[model.PoolName]model.Seq{}}
}

// Observe records that the table holds this or a later version of a pool's
// assignment.
func (w *Witness) Observe(pool model.PoolName, seq model.Seq) {
	w.pools[pool] = max(w.pools[pool], seq)
}

// ObserveFleet records a fleet row and reports whether it is newer than the
// recorded one.
func (w *Witness) ObserveFleet(f Fleet) bool {
	if f.Version <= w.fleet.Version {
		return false
	}
	w.fleet = f
	return true
}

// Fleet returns the newest recorded fleet row.
func (w *Witness) Fleet() Fleet { return w.fleet }

// MarkSynced records that this incarnation has read all rows of an era from the table.
// It attests no version of an earlier era: the table may have lost later ones.
func (w *Witness) MarkSynced(era platform.Era) {
	w.synced = true
	w.floor = max(w.floor, model.Seq(platform.FloorOfEra(era)))
}

// Synced reports whether the witness has caught up since the daemon started.
// Attestations of a witness that is not synced do not count, because its
// earlier incarnation may have seen newer versions.
func (w *Witness) Synced() bool { return w.synced }

// Versions returns a copy of the versions seen.
func (w *Witness) Versions() Versions {
	return Versions{Fleet: w.fleet.Version, Pools: maps.Clone(w.pools), Floor: w.floor}
}

// Attestation is a daemon's answer to the question which versions it has seen.
type Attestation struct {
	Daemon model.DaemonID `json:"daemon"`
	Synced bool           `json:"informed"` // the encoded name is kept for daemons of other builds
	Versions
}

// Attest returns the attestation of this witness.
func (w *Witness) Attest(daemon model.DaemonID) Attestation {
	return Attestation{Daemon: daemon, Synced: w.synced, Versions: w.Versions()}
}

// AttestedNewest reports whether the attestations, all requested in one round,
// show that a majority of the fleet has seen no version of the pool's
// assignment newer than seq. A daemon that is not synced, or that has seen a
// newer fleet row than this witness, does not count.
func (w *Witness) AttestedNewest(pool model.PoolName, seq model.Seq, attestations []Attestation) bool {
	counted := map[model.DaemonID]bool{}
	for _, a := range attestations {
		if a.Synced && a.Fleet <= w.fleet.Version && a.newest(pool) <= seq {
			counted[a.Daemon] = true
		}
	}
	return w.fleet.Version > 0 && w.fleet.Quorum(counted)
}

// ReachedQuorum reports whether the attestations show that a majority of the
// fleet has seen version seq of the pool's assignment or a later one. A daemon
// that has seen a newer fleet row than this witness does not count.
func (w *Witness) ReachedQuorum(pool model.PoolName, seq model.Seq, attestations []Attestation) bool {
	counted := map[model.DaemonID]bool{}
	for _, a := range attestations {
		if a.Fleet <= w.fleet.Version && a.Pools[pool] >= seq {
			counted[a.Daemon] = true
		}
	}
	return w.fleet.Version > 0 && w.fleet.Quorum(counted)
}

// SyncFromPeers makes the witness synced once synced daemons that form a
// majority of the fleet have answered, and records all versions in the answers.
// It reports whether that majority has answered.
func (w *Witness) SyncFromPeers(attestations []Attestation) bool {
	counted := map[model.DaemonID]bool{}
	for _, a := range attestations {
		if a.Synced && a.Fleet <= w.fleet.Version {
			counted[a.Daemon] = true
		}
	}
	if w.fleet.Version == 0 || !w.fleet.Quorum(counted) {
		return false
	}
	for _, a := range attestations {
		for pool, seq := range a.Pools {
			w.Observe(pool, seq)
		}
		w.floor = max(w.floor, a.Floor)
	}
	w.synced = true
	return true
}
