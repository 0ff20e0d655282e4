package dispatcher

import (
	"slices"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
)

// Load measurement.
const (
	loadPeriod  = time.Second // time between two reports
	hotKeys     = 8           // keys in a report
	sketchKeys  = 64          // keys counted at one time
	keptPortion = 0.5         // weight of the earlier rate in the reported one
)

// loadMeter counts the requests of one server by shard and finds its hottest keys.
type loadMeter struct {
	mu     sync.Mutex
	since  time.Time
	counts map[model.ShardID]int
	rates  map[model.ShardID]float64
	keys   *sketch
}

func newLoadMeter(now time.Time) *loadMeter {
	return &loadMeter{
		since:  now,
		counts: map[model.ShardID]int{},
		rates:  map[model.ShardID]float64{},
		keys:   newSketch(sketchKeys),
	}
}

func (m *loadMeter) count(shard model.ShardID, key model.Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[shard]++
	if key != "" && shard != model.NoShard {
		m.keys.add(key, shard)
	}
}

// report returns the load since the last report, or false when the period has
// not passed yet.
func (m *loadMeter) report(ref model.ServerRef, now time.Time) (ownership.LoadReport, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	passed := now.Sub(m.since)
	if passed < loadPeriod {
		return ownership.LoadReport{}, false
	}
	m.since = now
	m.smooth(passed)
	r := ownership.LoadReport{Server: ref, HotKeyLoads: m.keys.hottest(hotKeys, passed)}
	for shard, rate := range m.rates {
		r.Shards = append(r.Shards, ownership.ShardLoad{Shard: shard, Rate: rate})
	}
	slices.SortFunc(r.Shards, func(a, b ownership.ShardLoad) int { return int(a.Shard - b.Shard) })
	m.keys.reset()
	return r, true
}

const leastRate = 0.01 // requests a second below which a shard is left out

func (m *loadMeter) smooth(passed time.Duration) {
	for shard, count := range m.counts {
		if _, known := m.rates[shard]; !known {
			m.rates[shard] = float64(count) / passed.Seconds()
		}
	}
	for shard, rate := range m.rates {
		rate = keptPortion*rate + (1-keptPortion)*float64(m.counts[shard])/passed.Seconds()
		m.rates[shard] = rate
		if rate < leastRate {
			delete(m.rates, shard)
		}
	}
	clear(m.counts)
}

// sketch finds the most frequent keys in bounded memory (space-saving): a new
// key takes the place of the least frequent one and inherits its count.
type sketch struct {
	capacity int
	entries  []keyCount
	index    map[model.Key]int
}

type keyCount struct {
	key    model.Key
	shard  model.ShardID
	count  int
	excess int // the part of count that may belong to other keys
}

func newSketch(capacity int) *sketch {
	return &sketch{capacity: capacity, index: map[model.Key]int{}}
}

func (s *sketch) add(key model.Key, shard model.ShardID) {
	if i, known := s.index[key]; known {
		s.entries[i].count++
		return
	}
	if len(s.entries) < s.capacity {
		s.index[key] = len(s.entries)
		s.entries = append(s.entries, keyCount{key: key, shard: shard, count: 1})
		return
	}
	i := s.least()
	delete(s.index, s.entries[i].key)
	s.index[key] = i
	least := s.entries[i].count
	s.entries[i] = keyCount{key: key, shard: shard, count: least + 1, excess: least}
}

func (s *sketch) least() int {
	least := 0
	for i := range s.entries {
		if s.entries[i].count < s.entries[least].count {
			least = i
		}
	}
	return least
}

// hottest returns the keys with the highest certain counts as rates.
func (s *sketch) hottest(limit int, passed time.Duration) []ownership.KeyLoad {
	var hot []ownership.KeyLoad
	for _, e := range s.entries {
		if certain := e.count - e.excess; certain > 1 {
			hot = append(hot, ownership.KeyLoad{Key: e.key, Shard: e.shard, Rate: float64(certain) / passed.Seconds()})
		}
	}
	slices.SortFunc(hot, func(a, b ownership.KeyLoad) int {
		if a.Rate > b.Rate {
			return -1
		}
		return 1
	})
	return hot[:min(limit, len(hot))]
}

func (s *sketch) reset() {
	s.entries = s.entries[:0]
	clear(s.index)
}
