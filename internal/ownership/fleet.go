package ownership

import (
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
)

// FleetVersion counts the written versions of the fleet row.
type FleetVersion uint64

// Fleet is the table row that names the daemons whose majority counts.
type Fleet struct {
	Version FleetVersion     `json:"version"`
	Members []model.DaemonID `json:"members"`
	// Previous is the earlier set while a change is under way; a majority of
	// both sets counts until more than half of it knows this version.
	Previous []model.DaemonID `json:"previous,omitempty"`
}

// Quorum reports that the daemons are more than half of each set.
func (f *Fleet) Quorum(daemons map[model.DaemonID]bool) bool {
	if !majority(f.Members, daemons) {
		return false
	}
	return len(f.Previous) == 0 || majority(f.Previous, daemons)
}

// All returns the members of both sets.
func (f *Fleet) All() []model.DaemonID {
	all := slices.Clone(f.Members)
	for _, id := range f.Previous {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

func majority(members []model.DaemonID, daemons map[model.DaemonID]bool) bool {
	count := 0
	for _, id := range members {
		if daemons[id] {
			count++
		}
	}
	return 2*count > len(members)
}

// NextFleet returns the row that follows, or nil when the row stands. The
// listed daemons are sorted; knowing are the daemons known to know this version.
func NextFleet(f Fleet, listed []model.DaemonID, knowing map[model.DaemonID]bool) *Fleet {
	switch {
	case f.Version == 0:
		return &Fleet{Version: 1, Members: listed}
	case len(f.Previous) > 0:
		if !majority(f.Previous, knowing) {
			return nil
		}
		return &Fleet{Version: f.Version + 1, Members: f.Members}
	case slices.Equal(f.Members, listed):
		return nil
	default:
		return &Fleet{Version: f.Version + 1, Members: listed, Previous: f.Members}
	}
}
