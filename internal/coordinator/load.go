package coordinator

import (
	"cmp"
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
)

// Smoothing of load reports.
const (
	loadShare = 0.05 // share of a new report in the smoothed load
	hotKept   = 64   // hot keys followed
	rateFloor = 0.01 // smaller rates are forgotten, in requests a second
)

// loadTable smooths the dispatchers' load reports. It belongs to the control goroutine.
type loadTable struct {
	byShard map[model.ShardID]float64
	byKey   map[model.Key]ownership.KeyLoad
}

func newLoadTable() loadTable {
	return loadTable{byShard: map[model.ShardID]float64{}, byKey: map[model.Key]ownership.KeyLoad{}}
}

// take smooths the shards and keys of reports into the table.
func (t *loadTable) take(reports []ownership.LoadReport) {
	for _, report := range reports {
		for _, shard := range report.Shards {
			t.byShard[shard.Shard] += loadShare * (shard.Rate - t.byShard[shard.Shard])
		}
		for _, key := range report.HotKeyLoads {
			known := t.byKey[key.Key]
			key.Rate = known.Rate + loadShare*(key.Rate-known.Rate)
			t.byKey[key.Key] = key
		}
	}
	t.forget()
}

func (t *loadTable) forget() {
	for key, load := range t.byKey {
		if load.Rate < rateFloor {
			delete(t.byKey, key)
		}
	}
}

// shards returns the smoothed rate of each shard.
func (t *loadTable) shards() map[model.ShardID]float64 { return t.byShard }

// hottest returns the hottest keys, the hottest first.
func (t *loadTable) hottest() []ownership.KeyLoad {
	keys := make([]ownership.KeyLoad, 0, len(t.byKey))
	for _, load := range t.byKey {
		keys = append(keys, load)
	}
	slices.SortFunc(keys, func(a, b ownership.KeyLoad) int {
		if order := cmp.Compare(b.Rate, a.Rate); order != 0 {
			return order
		}
		return cmp.Compare(a.Key, b.Key)
	})
	return keys[:min(hotKept, len(keys))]
}
