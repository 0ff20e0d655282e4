package ownership

import (
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
)

// FleetVersion is the version of the fleet row: 1 for the first row, and one more
// with each write. Zero means that no row has been seen.
type FleetVersion uint64

// Fleet is the table row that lists the daemons of which a quorum is formed.
type Fleet struct {
	Version FleetVersion     `json:"version"`
	Members []model.DaemonID `json:"members"`
	// Previous is the former membership while a change is in progress (joint
	// consensus): a quorum then needs a majority of both sets. The change ends
	// once a majority of Previous has this version.
	Previous []model.DaemonID `json:"previous,omitempty"`
}

// Quorum reports whether the daemons include a majority of each member set.
func (f *Fleet) Quorum(daemons map[model.DaemonID]bool) bool {
	if !isMajority(f.Members, daemons) {
		return false
	}
	return len(f.Previous) == 0 || isMajority(f.Previous, daemons)
}

// All returns the union of Members and Previous.
func (f *Fleet) All() []model.DaemonID {
	all := slices.Clone(f.Members)
	for _, id := range f.Previous {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

// isMajority reports whether more than half of the members are among the
// daemons.
func isMajority(members []model.DaemonID, daemons map[model.DaemonID]bool) bool {
	count := 0
	for _, id := range members {
		if daemons[id] {
			count++
		}
	}
	return 2*count > len(members)
}

// NextFleet returns the fleet row that replaces f, or nil when f stays. listed
// are the daemons of the instance list, sorted; updated are the daemons that
// are known to have the version of f.
func NextFleet(f Fleet, listed []model.DaemonID, updated map[model.DaemonID]bool) *Fleet {
	switch {
	case f.Version == 0:
		return &Fleet{Version: 1, Members: listed}
	case len(f.Previous) > 0:
		if !isMajority(f.Previous, updated) {
			return nil
		}
		return &Fleet{Version: f.Version + 1, Members: f.Members}
	case slices.Equal(f.Members, listed):
		return nil
	default:
		return &Fleet{Version: f.Version + 1, Members: listed, Previous: f.Members}
	}
}
