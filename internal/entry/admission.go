package entry

import (
	"sync/atomic"

	"github.com/chicorylug/chicorylug/internal/reason"
)

// Bounds of one rank at one entry. A flood of one rank can't take what others need.
const (
	maxRanks        = 16               // ranks beyond share the last bound
	rankRequests    = 2048             // requests in progress
	rankBufferBytes = 32 * 1024 * 1024 // bytes of bodies held in memory
)

// admission bounds the requests in progress and their buffers by rank.
type admission struct {
	ranks [maxRanks]rankUse
}

type rankUse struct {
	requests atomic.Int64
	bytes    atomic.Int64
}

func (a *admission) rank(index int) *rankUse {
	return &a.ranks[min(index, maxRanks-1)]
}

// enter admits a request; leave must follow a nil error.
func (r *rankUse) enter() *reason.Error {
	if r.requests.Add(1) > rankRequests {
		r.requests.Add(-1)
		return reason.New(reason.EntryFull, "admit", "", "%d requests of the rank are in progress at this daemon", rankRequests)
	}
	return nil
}

func (r *rankUse) leave() { r.requests.Add(-1) }

// reserve takes buffer space; free must follow a nil error.
func (r *rankUse) reserve(bytes int64) *reason.Error {
	if r.bytes.Add(bytes) > rankBufferBytes {
		r.bytes.Add(-bytes)
		return reason.New(reason.EntryFull, "admit", "", "the rank's buffers at this daemon are in use")
	}
	return nil
}

func (r *rankUse) free(bytes int64) { r.bytes.Add(-bytes) }

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
