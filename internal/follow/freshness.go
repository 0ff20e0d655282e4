package follow

import (
	"sync/atomic"
	"time"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// StoreAge returns the time since the store last answered this daemon, 24 h before the first answer.
func (f *Follower) StoreAge() time.Duration { return age(&f.storeAnsweredAt) }

// SharedAge returns the time since the store last answered this daemon about platform.Shared,
// 24 h before the first answer.
func (f *Follower) SharedAge() time.Duration { return age(&f.sharedAnsweredAt) }

// CopyAge returns the age of the copies: the time since the store last answered this
// daemon or one that it polls, 24 h before the first answer.
func (f *Follower) CopyAge() time.Duration { return age(&f.currentAsOf) }

// collectionAge returns the age of the copy of one collection: changes that were made in the
// store before that time are in the copy. 24 h before the first answer.
func (f *Follower) collectionAge(c platform.Collection) time.Duration { return age(f.completeAsOf[c]) }

// collectionAges returns the ages of all copies in milliseconds.
func (f *Follower) collectionAges() map[platform.Collection]int64 {
	ages := map[platform.Collection]int64{}
	for _, c := range collections {
		ages[c] = f.collectionAge(c).Milliseconds()
	}
	return ages
}

// markComplete records that the copy of a collection has all changes up to a time.
func (f *Follower) markComplete(c platform.Collection, asOf time.Time) {
	markCurrent(f.completeAsOf[c], asOf)
}

// unknownAge is the age reported before the first answer.
const unknownAge = 24 * time.Hour

func age(at *atomic.Pointer[time.Time]) time.Duration {
	if t := at.Load(); t != nil {
		return time.Since(*t)
	}
	return unknownAge
}

// StoreReachable reports whether the store answers this daemon: its last answer is
// younger than maxStoreAge, and the last poll of each collection succeeded.
func (f *Follower) StoreReachable() bool {
	return f.StoreAge() < maxStoreAge && f.failingCollections.Load() == 0
}

// StoreEra returns the newest era of the store that this daemon has heard of, 0 before the
// first answer.
func (f *Follower) StoreEra() platform.Era {
	newest := platform.Era(0)
	for _, r := range f.replicas {
		newest = max(newest, r.completeUpTo().Era)
	}
	return newest
}

// FollowedSince returns the era in which this process first had a copy of platform.Shared, 0
// before. What the store lost when that era began, it does not know.
func (f *Follower) FollowedSince() platform.Era {
	return f.replicas[platform.Shared].followedSince()
}
