package backends

import (
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// ServerStats sums up what was seen of one server.
type ServerStats struct {
	Responses int `json:"answers,omitempty"`
	// Shed counts the requests that the server did not take.
	Shed int `json:"shed,omitempty"`
	// UnqueuedMS is the total time, in milliseconds, of the Unqueued runs that did not wait.
	Unqueued   int     `json:"unqueued,omitempty"`
	UnqueuedMS float64 `json:"unqueued_ms,omitempty"`
	// LoadSum sums the requests that the server reported to have, one report for each answer and each shed request.
	LoadSum int `json:"present,omitempty"`
}

// KeyedStats is what a daemon saw of one keyed service since the last report.
type KeyedStats struct {
	Keys    map[int]int                    `json:"keys,omitempty"` // requests by key
	Servers map[model.ServerID]ServerStats `json:"servers,omitempty"`
}

// Stats gathers reports for the keepers and the usual service times.
type Stats struct {
	mu            sync.Mutex
	keyed         map[model.PoolName]*KeyedStats
	serviceTimes  map[model.PoolName]time.Duration
	responseBytes map[model.PoolName]float64 // average bytes of an answer
}

func newStats() *Stats {
	return &Stats{keyed: map[model.PoolName]*KeyedStats{}, serviceTimes: map[model.PoolName]time.Duration{}, responseBytes: map[model.PoolName]float64{}}
}

// keyedStats runs under the lock.
func (s *Stats) keyedStats(service model.PoolName) *KeyedStats {
	found := s.keyed[service]
	if found == nil {
		found = &KeyedStats{Keys: map[int]int{}, Servers: map[model.ServerID]ServerStats{}}
		s.keyed[service] = found
	}
	return found
}

// CountRequest counts a request for a key.
func (s *Stats) CountRequest(service model.PoolName, key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keyedStats(service).Keys[key]++
}

// recordShed counts a request that a server did not take.
func (s *Stats) recordShed(service model.PoolName, server model.ServerID, load int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keyedStats := s.keyedStats(service)
	stats := keyedStats.Servers[server]
	stats.Shed++
	stats.LoadSum += load
	keyedStats.Servers[server] = stats
}

// recordResponse counts an answer. took is negative when the run waited.
func (s *Stats) recordResponse(service model.PoolName, server model.ServerID, keyed bool, took time.Duration, load int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took > 0 {
		average := s.serviceTimes[service]
		if average == 0 {
			average = took
		}
		s.serviceTimes[service] = average + time.Duration(serviceTimeWeight/4*float64(took-average))
	}
	if !keyed {
		return
	}
	keyedStats := s.keyedStats(service)
	stats := keyedStats.Servers[server]
	stats.Responses++
	stats.LoadSum += load
	if took > 0 {
		stats.Unqueued++
		stats.UnqueuedMS += took.Seconds() * 1000
	}
	keyedStats.Servers[server] = stats
}

// recordResponseSize counts the bytes of an answer.
func (s *Stats) recordResponseSize(service model.PoolName, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseBytes[service] += serviceTimeWeight / 4 * (float64(size) - s.responseBytes[service])
}

// averageResponseBytes returns the average size of an answer.
func (s *Stats) averageResponseBytes(service model.PoolName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.responseBytes[service])
}

// averageServiceTime returns the average service time of a service.
func (s *Stats) averageServiceTime(service model.PoolName) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if average := s.serviceTimes[service]; average > 0 {
		return average
	}
	return initialServiceTime
}

// Take returns what was gathered since the last call.
func (s *Stats) Take() map[model.PoolName]*KeyedStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.keyed
	s.keyed = map[model.PoolName]*KeyedStats{}
	return taken
}
