package catalog

import (
	"cmp"
	"sort"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// LastKey is the highest of the 65,536 keys; keys begin at 0.
const LastKey = 65535

// Fence is a fencing token: a number that rises with each new owner of a key. A
// server refuses a grant whose fence is lower than one that it has seen for the
// same key.
type Fence uint64

// Range is a contiguous range of keys and its owner.
type Range struct {
	From      int
	To        int // inclusive
	Server    model.ServerID
	StartedMS int64 // Server.StartedMS of the owning process
	Fence     Fence
}

// Keys returns the number of keys in the range.
func (r Range) Keys() int { return r.To - r.From + 1 }

// Owners assigns the keys of one service to servers. It must not be modified after
// it is published.
type Owners struct {
	Service model.PoolName
	// Position is that of the record in the store. Its era is the one that the record
	// was written for: a record that has not been written again since the store came
	// back from an older copy keeps its earlier era.
	platform.Position
	// Keeper is the daemon that assigns the ranges. Term rises by 1 with each change
	// of the keeper.
	Keeper model.DaemonID
	// KeeperIncarnation identifies the keeper's process: it differs after a restart.
	KeeperIncarnation model.Incarnation
	Term              model.Term
	// EarlierKeeperMayRenew says that an earlier keeper may still renew its grants:
	// it was not known to have stopped, and the time for which a keeper without
	// contact to the store goes on renewing has not passed.
	EarlierKeeperMayRenew bool
	// Uncertain says that servers may have been granted keys that the ranges give to
	// others: the record was made from an older one after the store had lost newer
	// ones. Nothing may be granted until all earlier grants have expired.
	Uncertain bool
	// Ranges are sorted by key and don't overlap. Keys in no range have no owner.
	Ranges []Range
	// Load describes how the load is spread over the keys: the keys at equal steps of
	// the load summed from key 0 up. It is empty while the load is not known.
	Load []int
}

// LaterTermThan reports whether the keeper of o was appointed after that of other. The
// era of a record goes before its term, since terms may be lost with the records.
func (o *Owners) LaterTermThan(other *Owners) bool {
	return cmp.Or(cmp.Compare(o.Era, other.Era), cmp.Compare(o.Term, other.Term)) > 0
}

// Owner returns the range of a key, or nil when the key has no owner.
func (o *Owners) Owner(key int) *Range {
	i := sort.Search(len(o.Ranges), func(i int) bool { return o.Ranges[i].To >= key })
	if i == len(o.Ranges) || o.Ranges[i].From > key {
		return nil
	}
	return &o.Ranges[i]
}
