package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Retries of a direct entry after a server had no free slot.
const (
	directBackoffFirst = 5 * time.Millisecond
	directBackoffLimit = 100 * time.Millisecond
)

// directEntry is the baseline of the flood experiment: an entry that sends to
// every server itself, under a limit and a rank queue of its own, and knows
// nothing of the other entries.
type directEntry struct {
	caller *caller
	floors []float64
	limit  int // requests at one server at one time
	queue  int // waiting requests of one rank at one server

	mu      sync.Mutex
	servers map[string]*localQueue
}

func newDirectEntry(c *caller, floors []float64, limit, queue int) *directEntry {
	return &directEntry{caller: c, floors: floors, limit: limit, queue: queue, servers: map[string]*localQueue{}}
}

func (e *directEntry) serverQueue(address string) *localQueue {
	e.mu.Lock()
	defer e.mu.Unlock()
	q, ok := e.servers[address]
	if !ok {
		q = newLocalQueue(e.floors, e.limit, e.queue)
		e.servers[address] = q
	}
	return q
}

// get sends a request once a local slot is free, again while the server sheds it.
func (e *directEntry) get(ctx context.Context, address, path string, rank int) answer {
	q := e.serverQueue(address)
	if !q.acquire(ctx, rank) {
		return answer{notRun: true}
	}
	defer q.release()
	pause := directBackoffFirst
	for {
		got := e.caller.get(address, path)
		if !got.notRun || ctx.Err() != nil {
			return got
		}
		select {
		case <-ctx.Done():
			return got
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
		pause = min(2*pause, directBackoffLimit)
	}
}

// localQueue hands out an entry's local slots at one server: the most urgent
// rank first, but a rank below its floor before that.
type localQueue struct {
	floors []float64
	limit  int

	mu      sync.Mutex
	free    int
	waiting [][]chan struct{}
	served  []float64
	total   float64
}

// servedDecay makes old requests count less in the shares of the ranks.
const servedDecay = 0.99

func newLocalQueue(floors []float64, slots, limit int) *localQueue {
	return &localQueue{
		floors:  floors,
		limit:   limit,
		free:    slots,
		waiting: make([][]chan struct{}, len(floors)),
		served:  make([]float64, len(floors)),
	}
}

func (q *localQueue) acquire(ctx context.Context, rank int) bool {
	ready, ok := q.enter(rank)
	if !ok || ready == nil {
		return ok
	}
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return !q.leave(ready, rank)
	}
}

// enter takes a free slot (nil channel) or joins the queue; ok is false when it is full.
func (q *localQueue) enter(rank int) (ready chan struct{}, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.free > 0 {
		q.free--
		q.count(rank)
		return nil, true
	}
	if len(q.waiting[rank]) >= q.limit {
		return nil, false
	}
	ready = make(chan struct{})
	q.waiting[rank] = append(q.waiting[rank], ready)
	return ready, true
}

// leave gives up waiting. It reports false when the slot came at the same time.
func (q *localQueue) leave(ready chan struct{}, rank int) bool {
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

func (q *localQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	rank := q.nextRank()
	if rank < 0 {
		q.free++
		return
	}
	q.count(rank)
	close(q.waiting[rank][0])
	q.waiting[rank] = q.waiting[rank][1:]
}

// nextRank runs under the lock. It returns -1 when nothing waits.
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

// count runs under the lock.
func (q *localQueue) count(rank int) {
	for i := range q.served {
		q.served[i] *= servedDecay
	}
	q.total = q.total*servedDecay + 1
	q.served[rank]++
}

// ownerAddresses maps each key's shard to its owner's address.
type ownerAddresses struct {
	shardOf func(model.Key) model.ShardID
	address []string // by shard
}

func (o *ownerAddresses) of(key model.Key) string { return o.address[o.shardOf(key)] }
