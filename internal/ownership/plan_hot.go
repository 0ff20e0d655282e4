package ownership

import (
	"fmt"
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Limits of splitting hot keys.
const (
	maxHotKeys = 64 // keys of a pool with a shard of their own, or that will get one
	// hotLoadFraction is the fraction of the mean load of a server from which a
	// key gets a shard of its own.
	hotLoadFraction = 0.25
	// minHotRate is the rate below which no key is split out, in requests per
	// second.
	minHotRate = 20.0
)

// splitHotKeys starts to split the hottest keys out into shards of their own.
// The parent shard first drains at its owner: once the key can move to another
// server, no request on it may still be sent under the parent's epoch.
func (p *planner) splitHotKeys() {
	threshold := max(minHotRate, hotLoadFraction*p.meanServerLoad())
	for _, hot := range p.view.HotKeyLoads {
		if hot.Rate < threshold || len(p.next.HotKeys) >= maxHotKeys {
			return
		}
		p.beginSplit(hot.Key)
	}
}

func (p *planner) meanServerLoad() float64 {
	total := 0.0
	for _, load := range p.view.ShardRates {
		total += load
	}
	return total / float64(max(1, len(p.next.Servers)))
}

func (p *planner) beginSplit(key model.Key) {
	hash := HashKey(key)
	if slices.ContainsFunc(p.next.HotKeys, func(h HotKey) bool { return h.Hash == hash }) {
		return
	}
	id := p.next.ShardOf(key)
	parent := &p.next.Shards[id]
	if parent.Next != "" || parent.Server == "" {
		return
	}
	parent.Next = parent.Server
	parent.MoveSeq = p.next.Seq
	p.next.HotKeys = append(p.next.HotKeys, HotKey{Hash: hash, Shard: model.NoShard, Parent: id, Pending: true})
	p.addChange(ChangeKeySplit, string(key), fmt.Sprintf("hot key of shard %d", id))
}

// finishSplit creates the shards of the keys whose parent has drained. A new
// shard starts with the parent's epoch, so that the epochs of a key never
// decrease.
func (p *planner) finishSplit(id model.ShardID, parent *Shard) {
	for i := range p.next.HotKeys {
		hot := &p.next.HotKeys[i]
		if !hot.Pending || hot.Parent != id {
			continue
		}
		hot.Pending = false
		hot.Shard = model.ShardID(len(p.next.Shards))
		p.next.Shards = append(p.next.Shards, Shard{Server: parent.Server, Epoch: parent.Epoch})
	}
}
