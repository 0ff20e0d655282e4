package follow

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// followOrder returns the daemons in the order in which they are designated: recordOrder, but with
// those that are gone at the end.
func (f *Follower) followOrder() []Daemon {
	daemons := f.recordOrder()
	if gone := f.goneDaemons(daemons); len(gone) > 0 {
		sort.SliceStable(daemons, func(i, j int) bool { return !gone[daemons[i].Name] && gone[daemons[j].Name] })
	}
	return daemons
}

// recordOrder returns the registered daemons by descending number of cores, then by descending
// score.
func (f *Follower) recordOrder() []Daemon {
	daemons := f.Daemons()
	scores := make(map[model.DaemonID]float64, len(daemons))
	for _, d := range daemons {
		scores[d.Name] = d.Score(string(ServiceName))
	}
	sort.Slice(daemons, func(i, j int) bool {
		if daemons[i].Cores != daemons[j].Cores {
			return daemons[i].Cores > daemons[j].Cores
		}
		return scores[daemons[i].Name] > scores[daemons[j].Name]
	})
	return daemons
}

// DesignatedFollowers returns the daemons that are to poll the store, in followOrder: the
// first ones of each zone. The other daemons prefer to poll one of their own zone, so that
// a change comes to a zone from the store and is passed on within it. Each zone has up to
// minStoreFollowers divided by the number of zones, rounded up; fewer if it has fewer daemons.
func (f *Follower) DesignatedFollowers() []Daemon { return f.followers(0) }

// substitutes returns the daemons that poll the store while none of the designated ones reaches
// it, and that the others then try to poll: the next ones of each zone, as many as are
// designated.
func (f *Follower) substitutes() []Daemon { return f.followers(1) }

// followers returns the daemons of a tier: the designated ones are tier 0.
func (f *Follower) followers(tier int) []Daemon {
	ordered := f.followOrder()
	perZone := map[model.Zone]int{}
	for _, d := range ordered {
		perZone[d.Zone] = 0
	}
	zoneQuota := (minStoreFollowers + len(perZone) - 1) / len(perZone)
	var chosen []Daemon
	for _, d := range ordered {
		if perZone[d.Zone]/zoneQuota == tier {
			chosen = append(chosen, d)
		}
		perZone[d.Zone]++
	}
	return chosen
}

// Designated reports whether this daemon is to poll the store itself.
func (f *Follower) Designated() bool { return f.isAmong(f.DesignatedFollowers()) }

// isAmong reports whether this daemon is one of the given ones.
func (f *Follower) isAmong(daemons []Daemon) bool {
	for _, d := range daemons {
		if d.Name == f.config.Name {
			return true
		}
	}
	return false
}

// Suspected reports whether a daemon is suspected and has not registered again since.
func (f *Follower) Suspected(name model.DaemonID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.suspectedUntil[name])
}

// Suspect marks a daemon as suspected for suspectDuration because it did not answer or its data
// is outdated.
func (f *Follower) Suspect(name model.DaemonID) { f.suspectFor(name, suspectDuration) }

func (f *Follower) suspectFor(name model.DaemonID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspectedUntil[name] = time.Now().Add(d)
}

// nearestFirst shuffles the daemons and moves those of this daemon's zone to the front.
func (f *Follower) nearestFirst(daemons []Daemon) []Daemon {
	rand.Shuffle(len(daemons), func(i, j int) { daemons[i], daemons[j] = daemons[j], daemons[i] })
	sort.SliceStable(daemons, func(i, j int) bool {
		return daemons[i].Zone == f.config.Zone && daemons[j].Zone != f.config.Zone
	})
	return daemons
}
