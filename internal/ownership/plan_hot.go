package ownership

import (
	"fmt"
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Bounds of hot keys.
const (
	maxHotKeys = 64
	// hotShare is the share of a server's mean load from which on a key gets a
	// shard of its own.
	hotShare = 0.25
	// hotRateFloor is the rate below which no key is split, in requests a second.
	hotRateFloor = 20.0
)

// splitHotKeys begins to give the hottest keys shards of their own. The parent
// shard first drains under its owner: no request on the key may pass under the
// parent's epoch once the key can move apart from it.
func (p *planner) splitHotKeys() {
	threshold := max(hotRateFloor, hotShare*p.meanServerLoad())
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
	p.note(ChangeKeySplit, string(key), fmt.Sprintf("hot key of shard %d", id))
}

// finishSplit creates the shards of keys that waited for their parent's drain.
// The epoch continues the parent's, so that a key's epochs only rise.
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
