package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Bounds of the backoff between a direct entry's retries after a server had no free slot.
const (
	directBackoffFirst = 5 * time.Millisecond
	directBackoffLimit = 100 * time.Millisecond
)

// directEntry is an entry of the flood experiment's baseline. It sends to every server
// directly, without a dispatcher, and has its own limit and queues for each server. It
// does not coordinate with the other entries.
type directEntry struct {
	caller     *caller
	floors     []float64 // guaranteed share of each rank, from 0 to 1
	slots      int       // concurrent requests to one server
	queueLimit int       // waiting requests of one rank for one server

	mu      sync.Mutex
	servers map[string]*localQueue
}

func newDirectEntry(c *caller, floors []float64, slots, queueLimit int) *directEntry {
	return &directEntry{caller: c, floors: floors, slots: slots, queueLimit: queueLimit, servers: map[string]*localQueue{}}
}

func (e *directEntry) serverQueue(address string) *localQueue {
	e.mu.Lock()
	defer e.mu.Unlock()
	q, ok := e.servers[address]
	if !ok {
		q = newLocalQueue(e.floors, e.slots, e.queueLimit)
		e.servers[address] = q
	}
	return q
}

// get sends a request when a local slot is free, and retries with backoff while the server
// sheds it. It returns notRun if the queue is full or ctx ends before a slot is free.
func (e *directEntry) get(ctx context.Context, address, path string, rank int) callResult {
	q := e.serverQueue(address)
	if !q.acquire(ctx, rank) {
		return callResult{notRun: true}
	}
	defer q.release()
	backoff := directBackoffFirst
	for {
		result := e.caller.get(address, path)
		if !result.notRun || ctx.Err() != nil {
			return result
		}
		select {
		case <-ctx.Done():
			return result
		case <-time.After(backoff/2 + rand.N(backoff/2)):
		}
		backoff = min(2*backoff, directBackoffLimit)
	}
}

// localQueue allocates an entry's local slots for one server. A rank whose share of the
// recent requests is below its floor comes first, then the most urgent rank; rank 0 is the
// most urgent.
type localQueue struct {
	floors     []float64
	queueLimit int

	mu      sync.Mutex
	free    int
	waiting [][]chan struct{} // by rank, oldest first; closed when the slot is granted
	served  []float64         // decayed count of granted slots by rank
	total   float64           // sum of served
}

// servedDecay is the factor by which each granted slot lowers the weight of the earlier
// ones in the shares of the ranks.
const servedDecay = 0.99

func newLocalQueue(floors []float64, slots, queueLimit int) *localQueue {
	return &localQueue{
		floors:     floors,
		queueLimit: queueLimit,
		free:       slots,
		waiting:    make([][]chan struct{}, len(floors)),
		served:     make([]float64, len(floors)),
	}
}

// acquire takes a slot, waiting until one is free or ctx ends. It returns false if the
// queue of the rank is full or ctx ended first.
func (q *localQueue) acquire(ctx context.Context, rank int) bool {
	ready, ok := q.tryAcquire(rank)
	if !ok || ready == nil {
		return ok
	}
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return !q.cancelWait(ready, rank)
	}
}

// tryAcquire takes a free slot and returns a nil channel, or joins the queue and returns
// the channel that is closed when the slot is granted. ok is false if the queue is full.
func (q *localQueue) tryAcquire(rank int) (ready chan struct{}, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.free > 0 {
		q.free--
		q.recordServed(rank)
		return nil, true
	}
	if len(q.waiting[rank]) >= q.queueLimit {
		return nil, false
	}
	ready = make(chan struct{})
	q.waiting[rank] = append(q.waiting[rank], ready)
	return ready, true
}

// cancelWait leaves the queue. It returns false if the slot has already been granted.
func (q *localQueue) cancelWait(ready chan struct{}, rank int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting[rank] {
		if other == ready {
			q.waiting[rank] = append(q.waiting[rank][:i], q.waiting[rank][i+1:]...)
			return true
		}
	}
	return false
}

// release passes the slot to the next waiting request, or frees it.
func (q *localQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	rank := q.nextRank()
	if rank < 0 {
		q.free++
		return
	}
	q.recordServed(rank)
	close(q.waiting[rank][0])
	q.waiting[rank] = q.waiting[rank][1:]
}

// nextRank returns the rank that gets the next slot, or -1 if no request waits. The caller
// must hold q.mu.
func (q *localQueue) nextRank() int {
	first := -1
	for rank, waiting := range q.waiting {
		if len(waiting) == 0 {
			continue
		}
		if q.served[rank] < q.floors[rank]*q.total {
			return rank
		}
		if first < 0 {
			first = rank
		}
	}
	return first
}

// recordServed counts a slot granted to a rank. The caller must hold q.mu.
func (q *localQueue) recordServed(rank int) {
	for i := range q.served {
		q.served[i] *= servedDecay
	}
	q.total = q.total*servedDecay + 1
	q.served[rank]++
}

// ownerAddresses maps keys to the addresses of the servers that own their shards.
type ownerAddresses struct {
	shardOf   func(model.Key) model.ShardID
	addresses []string // by shard
}

func (o *ownerAddresses) of(key model.Key) string { return o.addresses[o.shardOf(key)] }
