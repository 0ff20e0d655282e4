package dispatcher

import (
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/dispatcher/rankqueue"
	"github.com/chicorylug/chicorylug/internal/reason"
)

// Queue hands out the slots of one server to the goroutines of its requests.
type Queue struct {
	peer string

	mu     sync.Mutex
	policy *rankqueue.Queue[*Waiter]
}

// Waiter is a request that waits for a slot or holds one.
type Waiter struct {
	item    rankqueue.Item[*Waiter]
	verdict chan *reason.Error // nil when a slot was given
	request *request
}

// NewQueue returns a queue for the ranks in s.
func NewQueue(peer string, s rankqueue.Settings) *Queue {
	return &Queue{peer: peer, policy: rankqueue.New[*Waiter](s, time.Now())}
}

// SetSlots changes the number of slots.
func (q *Queue) SetSlots(slots int) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.policy.Slots() != slots {
		q.policy.SetSlots(slots, now)
	}
	q.pump(now)
}

// Configure puts other settings in force.
func (q *Queue) Configure(s rankqueue.Settings) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.policy.Configure(s, now)
	q.pump(now)
}

// Load describes a queue for operators.
type Load struct {
	Slots   int   `json:"slots"`
	InUse   int   `json:"in_use"`
	Waiting []int `json:"waiting"` // by rank, most urgent first
}

// Load returns the present load.
func (q *Queue) Load(ranks int) Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := Load{Slots: q.policy.Slots(), InUse: q.policy.InUse()}
	for rank := range ranks {
		load.Waiting = append(load.Waiting, q.policy.Waiting(rank))
	}
	return load
}

// full reports that all slots are in use.
func (q *Queue) full() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.policy.InUse() >= q.policy.Slots()
}

// Acquire waits for a slot. Release must follow a nil error.
func (q *Queue) Acquire(r *request) *reason.Error {
	w := &r.waiter
	w.request = r
	w.item = rankqueue.Item[*Waiter]{Value: w, Rank: r.rank, Deadline: r.work.Deadline, Alone: r.alone}
	waits, refusal := q.enter(w)
	if refusal != nil || !waits {
		return refusal
	}
	select {
	case refusal := <-w.verdict:
		return refusal
	case <-r.ctx.Done():
		return q.leave(w, r.ended(reason.NotRun, "queue"))
	}
}

// enter takes a free slot or joins the queue.
func (q *Queue) enter(w *Waiter) (bool, *reason.Error) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.policy.Start(&w.item, now) {
		return false, nil
	}
	w.verdict = make(chan *reason.Error, 1)
	if refusal := q.policy.Offer(&w.item, now); refusal != rankqueue.Accepted {
		return false, q.refusal(refusal)
	}
	q.pump(now)
	return true, nil
}

func (q *Queue) refusal(why rankqueue.Refusal) *reason.Error {
	switch why {
	case rankqueue.Full:
		return reason.New(reason.QueueFull, "queue", q.peer, "the queue of the rank is full")
	case rankqueue.NotAlone:
		refusal := reason.New(reason.SuspectedCrash, "queue", q.peer, "a server crashed while the request ran; it may run only alone and the server is busy")
		refusal.RetryAfter = suspectRetryAfter
		return refusal
	default:
		return reason.New(reason.DeadlineTooShort, "queue", q.peer, "the request cannot finish before its deadline")
	}
}

// pump gives out free slots. It runs under the lock.
func (q *Queue) pump(now time.Time) {
	for {
		item, refusal := q.policy.Next(now)
		if item == nil {
			return
		}
		if refusal == rankqueue.Accepted {
			item.Value.verdict <- nil
		} else {
			item.Value.verdict <- q.refusal(refusal)
		}
	}
}

// leave gives up waiting. A slot that came at the same time is passed on.
func (q *Queue) leave(w *Waiter, refusal *reason.Error) *reason.Error {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.policy.Remove(&w.item, now) {
		q.pump(now)
		return refusal
	}
	if given := <-w.verdict; given != nil {
		return given
	}
	q.policy.Done(&w.item, 0, now)
	q.pump(now)
	return refusal
}

// Release gives a slot back after a run of the given time, zero when none was measured.
func (q *Queue) Release(w *Waiter, service time.Duration) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.policy.Done(&w.item, service, now)
	q.pump(now)
}

// Recheck refuses the waiting requests for which check returns a refusal.
func (q *Queue) Recheck(check func(*request) *reason.Error) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.policy.Each(func(item *rankqueue.Item[*Waiter]) {
		if refusal := check(item.Value.request); refusal != nil {
			q.policy.Remove(item, now)
			item.Value.verdict <- refusal
		}
	})
	q.pump(now)
}
