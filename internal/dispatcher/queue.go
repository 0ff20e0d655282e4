package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/reason"
)

// Queue hands out the slots of one server, the most urgent rank first.
type Queue struct {
	peer string

	mu      sync.Mutex
	slots   int
	inUse   int
	limit   int
	waiting [][]*waiter // by rank index, oldest first
}

type waiter struct {
	ready chan struct{}
	gone  bool
}

// NewQueue returns a queue for a number of ranks; at most limit requests of a rank wait.
func NewQueue(peer string, ranks, slots, limit int) *Queue {
	return &Queue{peer: peer, slots: slots, limit: limit, waiting: make([][]*waiter, ranks)}
}

// SetSlots changes the number of slots.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
	q.wake()
}

// Acquire waits for a slot. Release must follow a nil error.
func (q *Queue) Acquire(ctx context.Context, rank int, deadline time.Time) *reason.Error {
	w, refusal := q.enter(rank)
	if refusal != nil || w == nil {
		return refusal
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return q.leave(w, reason.New(reason.CallerGone, "queue", q.peer, "the request was cancelled while it waited"))
	case <-timer.C:
		return q.leave(w, reason.New(reason.DeadlinePassed, "queue", q.peer, "the deadline passed while the request waited"))
	}
}

// enter takes a free slot (nil waiter) or joins the queue.
func (q *Queue) enter(rank int) (*waiter, *reason.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.inUse < q.slots {
		q.inUse++
		return nil, nil
	}
	if len(q.waiting[rank]) >= q.limit {
		return nil, reason.New(reason.QueueFull, "queue", q.peer, "%d requests of the rank wait already", q.limit)
	}
	w := &waiter{ready: make(chan struct{})}
	q.waiting[rank] = append(q.waiting[rank], w)
	return w, nil
}

// leave gives up waiting. A slot that came at the same time is passed on.
func (q *Queue) leave(w *waiter, refusal *reason.Error) *reason.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.ready:
		q.inUse--
		q.wake()
	default:
		w.gone = true
	}
	return refusal
}

// Release gives a slot back.
func (q *Queue) Release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inUse--
	q.wake()
}

// wake runs under the lock.
func (q *Queue) wake() {
	for q.inUse < q.slots {
		w := q.pop()
		if w == nil {
			return
		}
		q.inUse++
		close(w.ready)
	}
}

// pop runs under the lock.
func (q *Queue) pop() *waiter {
	for rank := range q.waiting {
		for len(q.waiting[rank]) > 0 {
			w := q.waiting[rank][0]
			q.waiting[rank] = q.waiting[rank][1:]
			if !w.gone {
				return w
			}
		}
	}
	return nil
}
