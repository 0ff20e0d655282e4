package ownership

import (
	"reflect"
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Delta is the difference between two versions of a pool's assignment.
type Delta struct {
	Pool model.PoolName `json:"pool"`
	// Base is the version to which the delta applies; zero means that the delta
	// carries the whole assignment.
	Base        model.Seq        `json:"base,omitempty"`
	Term        model.Term       `json:"term"`
	Seq         model.Seq        `json:"seq"`
	Keyed       bool             `json:"keyed,omitempty"`
	Coordinator Coordinator      `json:"coordinator"`
	FixedShards int              `json:"fixed_shards,omitempty"`
	HotKeys     []HotKey         `json:"hot_keys,omitempty"`    // all hot keys, changed or not
	ShardCount  int              `json:"shard_count,omitempty"` // number of all shards
	Shards      []ShardChange    `json:"shards,omitempty"`      // new and changed shards
	Servers     []Server         `json:"servers,omitempty"`     // new and changed servers
	Removed     []model.ServerID `json:"removed,omitempty"`     // servers that were removed
	Unsettled   bool             `json:"unsettled,omitempty"`
}

// ShardChange is the new value of one shard.
type ShardChange struct {
	ID model.ShardID `json:"id"`
	Shard
}

// DeltaOf returns the delta from base to next. With a nil base it carries all
// of next.
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
		Unsettled:   next.Unsettled,
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

// Apply returns the assignment that results from applying the delta to base,
// which may be nil. It reports false when the delta is not newer than base or
// was made for another version.
func (d *Delta) Apply(base *Assignment) (*Assignment, bool) {
	if d.Seq <= seqOf(base) || (d.Base != 0 && d.Base != seqOf(base)) {
		return nil, false
	}
	if d.Base == 0 {
		base = &Assignment{}
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
		Servers:     slices.Clone(base.Servers),
		Unsettled:   d.Unsettled,
	}
	copy(next.Shards, base.Shards)
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

func seqOf(a *Assignment) model.Seq {
	if a == nil {
		return 0
	}
	return a.Seq
}

// putServer replaces or adds a server. It may only be called before the
// assignment is published.
func (a *Assignment) putServer(server Server) {
	if existing := a.Server(server.ID); existing != nil {
		*existing = server
		return
	}
	a.Servers = append(a.Servers, server)
}
