package ownership

import (
	"reflect"
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Delta carries what changed from one version of an assignment to a later one.
type Delta struct {
	Pool model.PoolName `json:"pool"`
	// Base is the version that the delta fits; zero for a whole assignment.
	Base        model.Seq        `json:"base,omitempty"`
	Term        model.Term       `json:"term"`
	Seq         model.Seq        `json:"seq"`
	Keyed       bool             `json:"keyed,omitempty"`
	Coordinator Coordinator      `json:"coordinator"`
	FixedShards int              `json:"fixed_shards,omitempty"`
	HotKeys     []HotKey         `json:"hot_keys,omitempty"`
	ShardCount  int              `json:"shard_count,omitempty"`
	Shards      []ShardChange    `json:"shards,omitempty"`
	Servers     []Server         `json:"servers,omitempty"`
	Removed     []model.ServerID `json:"removed,omitempty"`
}

// ShardChange is the new value of one shard.
type ShardChange struct {
	ID model.ShardID `json:"id"`
	Shard
}

// DeltaOf returns what leads from base to next. A nil base gives all of next.
func DeltaOf(base, next *Assignment) *Delta {
	d := &Delta{
		Pool:        next.Pool,
		Term:        next.Term,
		Seq:         next.Seq,
		Keyed:       next.Keyed,
		Coordinator: next.Coordinator,
		FixedShards: next.FixedShards,
		HotKeys:     next.HotKeys,
		ShardCount:  len(next.Shards),
	}
	if base == nil {
		base = &Assignment{}
	}
	d.Base = base.Seq
	for id, shard := range next.Shards {
		if id >= len(base.Shards) || base.Shards[id] != shard {
			d.Shards = append(d.Shards, ShardChange{ID: model.ShardID(id), Shard: shard})
		}
	}
	for _, server := range next.Servers {
		if old := base.Server(server.ID); old == nil || !reflect.DeepEqual(*old, server) {
			d.Servers = append(d.Servers, server)
		}
	}
	for _, server := range base.Servers {
		if next.Server(server.ID) == nil {
			d.Removed = append(d.Removed, server.ID)
		}
	}
	return d
}

// Apply returns the assignment that follows from the known one, which may be
// nil. It reports false when the delta is not newer or does not fit.
func (d *Delta) Apply(known *Assignment) (*Assignment, bool) {
	if d.Seq <= knownSeq(known) || (d.Base != 0 && d.Base != knownSeq(known)) {
		return nil, false
	}
	if d.Base == 0 {
		known = &Assignment{}
	}
	next := &Assignment{
		Pool:        d.Pool,
		Term:        d.Term,
		Seq:         d.Seq,
		Keyed:       d.Keyed,
		Coordinator: d.Coordinator,
		FixedShards: d.FixedShards,
		HotKeys:     d.HotKeys,
		Shards:      make([]Shard, d.ShardCount),
		Servers:     slices.Clone(known.Servers),
	}
	copy(next.Shards, known.Shards)
	for _, change := range d.Shards {
		if int(change.ID) >= len(next.Shards) {
			return nil, false
		}
		next.Shards[change.ID] = change.Shard
	}
	next.Servers = slices.DeleteFunc(next.Servers, func(s Server) bool { return slices.Contains(d.Removed, s.ID) })
	for _, server := range d.Servers {
		next.putServer(server)
	}
	return next, true
}

func knownSeq(a *Assignment) model.Seq {
	if a == nil {
		return 0
	}
	return a.Seq
}

// putServer replaces or adds a server. It runs before the assignment is published.
func (a *Assignment) putServer(server Server) {
	if known := a.Server(server.ID); known != nil {
		*known = server
		return
	}
	a.Servers = append(a.Servers, server)
}
