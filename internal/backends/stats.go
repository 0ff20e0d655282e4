package backends

import (
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// ServerStats are the counts of one server since the last report. The encoded names are
// kept for daemons of other builds.
type ServerStats struct {
	Responses int `json:"answers,omitempty"`
	// Shed counts the requests that the server rejected because it was full.
	Shed int `json:"shed,omitempty"`
	// Unqueued counts the responses to requests that did not queue at the server.
	// UnqueuedMS is the total duration of these requests, in milliseconds, as if all were of
	// one kind and the servers' machines always as usual.
	Unqueued   int     `json:"unqueued,omitempty"`
	UnqueuedMS float64 `json:"unqueued_ms,omitempty"`
	// LoadSum is the sum of the loads (running and waiting requests) that the server last
	// reported, taken once per response and per shed request.
	LoadSum int `json:"present,omitempty"`
}

// KeyedStats are a daemon's counts of one keyed service since the last report.
type KeyedStats struct {
	Keys    map[int]int                    `json:"keys,omitempty"` // requests by key
	Servers map[model.ServerID]ServerStats `json:"servers,omitempty"`
}

// Stats collects the reports for the keepers and the average service times and response
// sizes of services. It is safe for concurrent use.
type Stats struct {
	mu            sync.Mutex
	keyed         map[model.PoolName]*KeyedStats
	serviceTimes  map[model.PoolName]time.Duration // moving average over all servers of a service
	responseBytes map[model.PoolName]float64       // moving average of the body size, from 0
}

// averageWeight is the weight of a new sample in the moving averages.
const averageWeight = 0.05

func newStats() *Stats {
	return &Stats{keyed: map[model.PoolName]*KeyedStats{}, serviceTimes: map[model.PoolName]time.Duration{}, responseBytes: map[model.PoolName]float64{}}
}

// keyedStats returns the counts of a service. The caller must hold s.mu.
func (s *Stats) keyedStats(service model.PoolName) *KeyedStats {
	found := s.keyed[service]
	if found == nil {
		found = &KeyedStats{Keys: map[int]int{}, Servers: map[model.ServerID]ServerStats{}}
		s.keyed[service] = found
	}
	return found
}

// CountRequest counts a request for a key of a keyed service.
func (s *Stats) CountRequest(service model.PoolName, key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keyedStats(service).Keys[key]++
}

// recordShed counts a request that a server rejected because it was full. load is the
// last reported number of requests at the server.
func (s *Stats) recordShed(service model.PoolName, server model.ServerID, load int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keyedStats := s.keyedStats(service)
	stats := keyedStats.Servers[server]
	stats.Shed++
	stats.LoadSum += load
	keyedStats.Servers[server] = stats
}

// recordResponse counts a response, and adds took, the duration of the run, to the
// service's moving average. It is negative if the duration does not count. even is what the
// run would have taken had it been of the service's usual kind, at a usual time.
func (s *Stats) recordResponse(service model.PoolName, server model.ServerID, keyed bool, took, even time.Duration, load int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took > 0 {
		average := s.serviceTimes[service]
		if average == 0 {
			average = took
		}
		s.serviceTimes[service] = average + time.Duration(averageWeight*float64(took-average))
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
		stats.UnqueuedMS += even.Seconds() * 1000
	}
	keyedStats.Servers[server] = stats
}

// recordResponseSize adds the size of a response body, in bytes, to the service's moving
// average. A sample has the same weight as in the average of service times.
func (s *Stats) recordResponseSize(service model.PoolName, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseBytes[service] += averageWeight * (float64(size) - s.responseBytes[service])
}

// averageResponseBytes returns the average size of a response body in bytes.
func (s *Stats) averageResponseBytes(service model.PoolName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.responseBytes[service])
}

// averageServiceTime returns the average service time of a service, or
// initialServiceTime before the first sample.
func (s *Stats) averageServiceTime(service model.PoolName) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if average := s.serviceTimes[service]; average > 0 {
		return average
	}
	return initialServiceTime
}

// Take returns the counts since the last call and resets them.
func (s *Stats) Take() map[model.PoolName]*KeyedStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.keyed
	s.keyed = map[model.PoolName]*KeyedStats{}
	return taken
}
