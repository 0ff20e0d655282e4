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
	mu       sync.Mutex
	keyed    map[model.PoolName]*KeyedStats
	services map[model.PoolName]time.Duration
	answers  map[model.PoolName]float64 // average bytes of an answer
}

func newStats() *Stats {
	return &Stats{keyed: map[model.PoolName]*KeyedStats{}, services: map[model.PoolName]time.Duration{}, answers: map[model.PoolName]float64{}}
}

// of runs under the lock.
func (s *Stats) of(service model.PoolName) *KeyedStats {
	found := s.keyed[service]
	if found == nil {
		found = &KeyedStats{Keys: map[int]int{}, Servers: map[model.ServerID]ServerStats{}}
		s.keyed[service] = found
	}
	return found
}

// Asked counts a request for a key.
func (s *Stats) Asked(service model.PoolName, key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of(service).Keys[key]++
}

// shed counts a request that a server did not take.
func (s *Stats) shed(service model.PoolName, server model.ServerID, present int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := s.of(service)
	stats := of.Servers[server]
	stats.Shed++
	stats.LoadSum += present
	of.Servers[server] = stats
}

// answered counts an answer. took is negative when the run waited.
func (s *Stats) answered(service model.PoolName, server model.ServerID, keyed bool, took time.Duration, present int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took > 0 {
		usual := s.services[service]
		if usual == 0 {
			usual = took
		}
		s.services[service] = usual + time.Duration(serviceWeight/4*float64(took-usual))
	}
	if !keyed {
		return
	}
	of := s.of(service)
	stats := of.Servers[server]
	stats.Responses++
	stats.LoadSum += present
	if took > 0 {
		stats.Unqueued++
		stats.UnqueuedMS += took.Seconds() * 1000
	}
	of.Servers[server] = stats
}

// sized counts the bytes of an answer.
func (s *Stats) sized(service model.PoolName, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[service] += serviceWeight / 4 * (float64(bytes) - s.answers[service])
}

// usualBytes returns the average size of an answer.
func (s *Stats) usualBytes(service model.PoolName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.answers[service])
}

// usual returns the average service time of a service.
func (s *Stats) usual(service model.PoolName) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if usual := s.services[service]; usual > 0 {
		return usual
	}
	return firstService
}

// Take returns what was gathered since the last call.
func (s *Stats) Take() map[model.PoolName]*KeyedStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.keyed
	s.keyed = map[model.PoolName]*KeyedStats{}
	return taken
}
