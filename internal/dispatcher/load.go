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
	loadPeriod         = time.Second // time between two reports
	maxHotKeys         = 8           // maximum number of keys in a report
	sketchCapacity     = 64          // keys that are counted at the same time
	previousRateWeight = 0.5         // weight of the previous rate in the moving average
)

// loadMeter measures the request rate of each shard of one server and finds the
// keys with the most requests.
type loadMeter struct {
	mu         sync.Mutex
	lastReport time.Time
	counts     map[model.ShardID]int     // requests since the last report
	rates      map[model.ShardID]float64 // moving averages, in requests a second
	keys       *sketch
}

func newLoadMeter(now time.Time) *loadMeter {
	return &loadMeter{
		lastReport: now,
		counts:     map[model.ShardID]int{},
		rates:      map[model.ShardID]float64{},
		keys:       newSketch(sketchCapacity),
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

// report returns the load of the server and true, or false when the last report
// is less than loadPeriod ago. Rates are in requests a second.
func (m *loadMeter) report(ref model.ServerRef, now time.Time) (ownership.LoadReport, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	elapsed := now.Sub(m.lastReport)
	if elapsed < loadPeriod {
		return ownership.LoadReport{}, false
	}
	m.lastReport = now
	m.updateRates(elapsed)
	r := ownership.LoadReport{Server: ref, HotKeyLoads: m.keys.hottest(maxHotKeys, elapsed)}
	for shard, rate := range m.rates {
		r.Shards = append(r.Shards, ownership.ShardLoad{Shard: shard, Rate: rate})
	}
	slices.SortFunc(r.Shards, func(a, b ownership.ShardLoad) int { return int(a.Shard - b.Shard) })
	m.keys.reset()
	return r, true
}

const minReportedRate = 0.01 // requests a second; shards with a lower rate are not reported

// updateRates updates the moving averages from the counts of the elapsed time and
// clears the counts. The first rate of a shard is not averaged.
func (m *loadMeter) updateRates(elapsed time.Duration) {
	for shard, count := range m.counts {
		if _, known := m.rates[shard]; !known {
			m.rates[shard] = float64(count) / elapsed.Seconds()
		}
	}
	for shard, rate := range m.rates {
		rate = previousRateWeight*rate + (1-previousRateWeight)*float64(m.counts[shard])/elapsed.Seconds()
		m.rates[shard] = rate
		if rate < minReportedRate {
			delete(m.rates, shard)
		}
	}
	clear(m.counts)
}

// sketch finds the most frequent keys in bounded memory with the Space-Saving
// algorithm: a new key replaces the one with the lowest count and inherits that count.
type sketch struct {
	capacity int
	entries  []keyCount
	index    map[model.Key]int
}

type keyCount struct {
	key       model.Key
	shard     model.ShardID
	count     int
	overcount int // part of count that was inherited and may belong to other keys
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
	i := s.minIndex()
	delete(s.index, s.entries[i].key)
	s.index[key] = i
	evicted := s.entries[i].count
	s.entries[i] = keyCount{key: key, shard: shard, count: evicted + 1, overcount: evicted}
}

// minIndex returns the index of the entry with the lowest count.
func (s *sketch) minIndex() int {
	lowest := 0
	for i := range s.entries {
		if s.entries[i].count < s.entries[lowest].count {
			lowest = i
		}
	}
	return lowest
}

// hottest returns at most limit keys with their rates in requests a second, highest
// first. Only the part of a count that surely belongs to the key is used.
func (s *sketch) hottest(limit int, elapsed time.Duration) []ownership.KeyLoad {
	var hot []ownership.KeyLoad
	for _, e := range s.entries {
		if guaranteed := e.count - e.overcount; guaranteed > 1 {
			hot = append(hot, ownership.KeyLoad{Key: e.key, Shard: e.shard, Rate: float64(guaranteed) / elapsed.Seconds()})
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
