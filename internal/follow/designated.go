package follow

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// followOrder returns the daemons in the order in which they are designated: by descending
// number of cores, then by descending score.
func (f *Follower) followOrder() []Daemon {
	daemons := f.Daemons()
	sort.Slice(daemons, func(i, j int) bool {
		if daemons[i].Cores != daemons[j].Cores {
			return daemons[i].Cores > daemons[j].Cores
		}
		return daemons[i].Score(string(ServiceName)) > daemons[j].Score(string(ServiceName))
	})
	return daemons
}

// DesignatedFollowers returns the daemons that are to poll the store, in followOrder: the
// first ones of each zone. The other daemons prefer to poll one of their own zone, so that
// a change comes to a zone from the store and is passed on within it. Each zone has up to
// minStoreFollowers divided by the number of zones, rounded up; fewer if it has fewer daemons.
func (f *Follower) DesignatedFollowers() []Daemon {
	ordered := f.followOrder()
	perZone := map[model.Zone]int{}
	for _, d := range ordered {
		perZone[d.Zone] = 0
	}
	zoneQuota := (minStoreFollowers + len(perZone) - 1) / len(perZone)
	var designated []Daemon
	for _, d := range ordered {
		if perZone[d.Zone] < zoneQuota {
			perZone[d.Zone]++
			designated = append(designated, d)
		}
	}
	return designated
}

// Designated reports whether this daemon is to poll the store itself.
func (f *Follower) Designated() bool {
	for _, d := range f.DesignatedFollowers() {
		if d.Name == f.config.Name {
			return true
		}
	}
	return false
}

// Suspected reports whether a daemon was marked by Suspect within suspectDuration and has
// not registered again since.
func (f *Follower) Suspected(name model.DaemonID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.suspectedAt[name]
	return ok && time.Since(at) < suspectDuration
}

// Suspect marks a daemon as suspected because it did not answer or its data is outdated.
func (f *Follower) Suspect(name model.DaemonID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspectedAt[name] = time.Now()
}

// nearestFirst shuffles the daemons and moves those of this daemon's zone to the front.
func (f *Follower) nearestFirst(daemons []Daemon) []Daemon {
	rand.Shuffle(len(daemons), func(i, j int) { daemons[i], daemons[j] = daemons[j], daemons[i] })
	sort.SliceStable(daemons, func(i, j int) bool {
		return daemons[i].Zone == f.config.Zone && daemons[j].Zone != f.config.Zone
	})
	return daemons
}
