package dispatcher

import (
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/dispatcher/rankqueue"
	"github.com/chicorylug/chicorylug/internal/reason"
)

// Queue assigns the slots of one server to the goroutines that handle its
// requests. A slot is the right to have one request in progress at the server.
type Queue struct {
	peer string // server that refusals name

	mu     sync.Mutex
	policy *rankqueue.Queue[*Waiter] // decides which request gets a slot
}

// Waiter is a request that waits for a slot or holds one.
type Waiter struct {
	item    rankqueue.Item[*Waiter]
	result  chan *reason.Error // receives nil when the request got a slot
	request *request
}

// NewQueue returns an empty queue for the ranks in s. peer names the server in refusals.
func NewQueue(peer string, s rankqueue.Settings) *Queue {
	return &Queue{peer: peer, policy: rankqueue.New[*Waiter](s, time.Now())}
}

// SetSlots changes the number of slots and assigns those that are free.
func (q *Queue) SetSlots(slots int) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.policy.Slots() != slots {
		q.policy.SetSlots(slots, now)
	}
	q.assignSlots(now)
}

// Configure replaces the settings of the queue.
func (q *Queue) Configure(s rankqueue.Settings) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.policy.Configure(s, now)
	q.assignSlots(now)
}

// QueueStats describes a queue for operators. It is published as JSON.
type QueueStats struct {
	Slots   int   `json:"slots"`
	InUse   int   `json:"in_use"`
	Waiting []int `json:"waiting"` // requests by rank, most urgent rank first
}

// Stats returns the current numbers for the given number of ranks.
func (q *Queue) Stats(ranks int) QueueStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	stats := QueueStats{Slots: q.policy.Slots(), InUse: q.policy.InUse()}
	for rank := range ranks {
		stats.Waiting = append(stats.Waiting, q.policy.Waiting(rank))
	}
	return stats
}

// saturated reports whether all slots are in use.
func (q *Queue) saturated() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.policy.InUse() >= q.policy.Slots()
}

// Acquire waits for a slot until r.ctx ends. It returns nil when r got a slot, and
// Release must then be called; otherwise it returns the refusal.
func (q *Queue) Acquire(r *request) *reason.Error {
	w := &r.waiter
	w.request = r
	w.item = rankqueue.Item[*Waiter]{Value: w, Rank: r.rank, Deadline: r.work.Deadline, Alone: r.alone}
	waits, refusal := q.startOrEnqueue(w)
	if refusal != nil || !waits {
		return refusal
	}
	select {
	case refusal := <-w.result:
		return refusal
	case <-r.ctx.Done():
		return q.cancelWait(w, r.contextRefusal(reason.NotRun, "queue"))
	}
}

// startOrEnqueue takes a free slot or adds the request to the queue. It reports
// whether the request waits.
func (q *Queue) startOrEnqueue(w *Waiter) (bool, *reason.Error) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.policy.TryStart(&w.item, now) {
		return false, nil
	}
	w.result = make(chan *reason.Error, 1)
	if decision := q.policy.Enqueue(&w.item, now); decision != rankqueue.Accepted {
		return false, q.refusal(decision)
	}
	q.assignSlots(now)
	return true, nil
}

func (q *Queue) refusal(decision rankqueue.Decision) *reason.Error {
	switch decision {
	case rankqueue.Full:
		return reason.New(reason.QueueFull, "queue", q.peer, "the queue of the rank is full")
	case rankqueue.AloneTimeout:
		refusal := reason.New(reason.SuspectedCrash, "queue", q.peer, "a server crashed while the request ran; it may run only alone and the server is busy")
		refusal.RetryAfter = suspectRetryAfter
		return refusal
	default:
		return reason.New(reason.DeadlineTooShort, "queue", q.peer, "the request cannot finish before its deadline")
	}
}

// assignSlots assigns free slots to waiting requests. The caller holds q.mu.
func (q *Queue) assignSlots(now time.Time) {
	for {
		item, decision := q.policy.Next(now)
		if item == nil {
			return
		}
		if decision == rankqueue.Accepted {
			item.Value.result <- nil
		} else {
			item.Value.result <- q.refusal(decision)
		}
	}
}

// cancelWait removes a waiting request and returns refusal. If the queue has refused
// the request in the meantime, that refusal is returned. A slot that was assigned
// in the meantime is released.
func (q *Queue) cancelWait(w *Waiter, refusal *reason.Error) *reason.Error {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.policy.Remove(&w.item, now) {
		q.assignSlots(now)
		return refusal
	}
	if result := <-w.result; result != nil {
		return result
	}
	q.policy.Done(&w.item, 0, now)
	q.assignSlots(now)
	return refusal
}

// Release releases the slot of a request that took serviceTime, which is zero when
// no service time was measured.
func (q *Queue) Release(w *Waiter, serviceTime time.Duration) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.policy.Done(&w.item, serviceTime, now)
	q.assignSlots(now)
}

// Recheck removes the waiting requests for which check returns a refusal. Acquire
// returns that refusal for them.
func (q *Queue) Recheck(check func(*request) *reason.Error) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.policy.Each(func(item *rankqueue.Item[*Waiter]) {
		if refusal := check(item.Value.request); refusal != nil {
			q.policy.Remove(item, now)
			item.Value.result <- refusal
		}
	})
	q.assignSlots(now)
}
