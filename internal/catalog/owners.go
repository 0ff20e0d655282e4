package catalog

import (
	"sort"

	"github.com/chicorylug/chicorylug/internal/model"
)

// LastKey is the highest key; keys begin at 0.
const LastKey = 65535

// Fence orders the owners of a key. A server refuses what bears a lower one
// than it has seen.
type Fence uint64

// Range is a run of keys with its owner.
type Range struct {
	From      int
	To        int // inclusive
	Server    model.ServerID
	StartedMS int64
	Fence     Fence
}

// Keys returns the number of keys in the range.
func (r Range) Keys() int { return r.To - r.From + 1 }

// Owners is the division of one service's keys. It is never changed once published.
type Owners struct {
	Service  model.PoolName
	Revision uint64
	// Keeper decides on the ranges; Term counts the keepers.
	Keeper model.DaemonID
	// KeeperIncarnation tells the lives of a daemon apart.
	KeeperIncarnation model.Incarnation
	Term              model.Term
	// EarlierKeeperMayRenew says that a keeper before this one may still renew its grants: it was
	// not known to have ended, and the time that it goes on alone has not passed.
	EarlierKeeperMayRenew bool
	// Ranges are in the order of their keys. Keys in no range have no owner.
	Ranges []Range
	// Load is the share of requests by bucket of keys, in parts of 65,536.
	Load []int
}

// Owner returns the range of a key, or nil when the key has no owner.
func (o *Owners) Owner(key int) *Range {
	i := sort.Search(len(o.Ranges), func(i int) bool { return o.Ranges[i].To >= key })
	if i == len(o.Ranges) || o.Ranges[i].From > key {
		return nil
	}
	return &o.Ranges[i]
}
