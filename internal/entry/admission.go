package entry

import (
	"sync/atomic"

	"github.com/chicorylug/chicorylug/internal/reason"
)

// Limits for each rank at one entry, so that overload in one rank does not use
// the capacity of the others.
const (
	maxRanks        = 16               // ranks with limits of their own; further ranks share those of the last
	rankRequests    = 2048             // requests in progress
	rankBufferBytes = 32 * 1024 * 1024 // bytes of request and response bodies in memory
)

// admission limits the requests in progress and their buffers, separately for
// each rank.
type admission struct {
	ranks [maxRanks]rankUsage
}

// rankUsage is what the requests of one rank use of its limits.
type rankUsage struct {
	requests atomic.Int64 // in progress
	bytes    atomic.Int64 // of buffered bodies
}

// rank returns the usage of the rank with an index.
func (a *admission) rank(index int) *rankUsage {
	return &a.ranks[min(index, maxRanks-1)]
}

// enter admits a request. The caller must call leave when enter returned nil.
func (r *rankUsage) enter() *reason.Error {
	if r.requests.Add(1) > rankRequests {
		r.requests.Add(-1)
		return reason.New(reason.EntryFull, "admit", "", "%d requests of the rank are in progress at this daemon", rankRequests)
	}
	return nil
}

func (r *rankUsage) leave() { r.requests.Add(-1) }

// reserve takes buffer space. The caller must call free when reserve returned nil.
func (r *rankUsage) reserve(bytes int64) *reason.Error {
	if r.bytes.Add(bytes) > rankBufferBytes {
		r.bytes.Add(-bytes)
		return reason.New(reason.EntryFull, "admit", "", "the rank's buffers at this daemon are in use")
	}
	return nil
}

func (r *rankUsage) free(bytes int64) { r.bytes.Add(-bytes) }

// inProgress returns the number of requests in progress by rank.
func (a *admission) inProgress() []int64 {
	counts := make([]int64, maxRanks)
	for i := range a.ranks {
		counts[i] = a.ranks[i].requests.Load()
	}
	return counts
}

func (a *admission) total() int64 {
	var total int64
	for _, count := range a.inProgress() {
		total += count
	}
	return total
}
