package coordinator

import (
	"cmp"
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
)

// Smoothing of load reports.
const (
	smoothingFactor = 0.05 // weight of a new report in the exponential moving average
	maxHotKeys      = 64   // number of keys that hottest returns
	minRate         = 0.01 // keys below this rate are dropped, in requests per second
)

// loadTable holds the exponential moving averages of the reported rates, in
// requests per second. It belongs to the control goroutine.
type loadTable struct {
	byShard map[model.ShardID]float64
	byKey   map[model.Key]ownership.KeyLoad
}

func newLoadTable() loadTable {
	return loadTable{byShard: map[model.ShardID]float64{}, byKey: map[model.Key]ownership.KeyLoad{}}
}

// add adds reports to the averages.
func (t *loadTable) add(reports []ownership.LoadReport) {
	for _, report := range reports {
		for _, shard := range report.Shards {
			t.byShard[shard.Shard] += smoothingFactor * (shard.Rate - t.byShard[shard.Shard])
		}
		for _, key := range report.HotKeyLoads {
			previous := t.byKey[key.Key]
			key.Rate = previous.Rate + smoothingFactor*(key.Rate-previous.Rate)
			t.byKey[key.Key] = key
		}
	}
	t.dropIdleKeys()
}

// dropIdleKeys removes the keys whose rate is below minRate.
func (t *loadTable) dropIdleKeys() {
	for key, load := range t.byKey {
		if load.Rate < minRate {
			delete(t.byKey, key)
		}
	}
}

// shards returns the smoothed rate of each shard.
func (t *loadTable) shards() map[model.ShardID]float64 { return t.byShard }

// hottest returns the keys with the highest rates, the highest first.
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
	return keys[:min(maxHotKeys, len(keys))]
}
