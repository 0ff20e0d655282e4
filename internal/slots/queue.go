package slots

import (
	"sort"
	"time"
)

const (
	extraInFlight          = 1                      // requests admitted beyond a server's slots, so that no slot is idle between two requests
	serviceTimeWeight      = 0.1                    // weight of a new sample in the moving average of the service time
	initialServiceTime     = 80 * time.Millisecond  // assumed service time before the first sample
	lostTicketMargin       = 100 * time.Millisecond // a ticket that is not released expires after this time
	lostTicketServiceTimes = 4                      // plus this many service times
	headroomFactor         = 1.3                    // service times that must be left before respondBy when a request is admitted
)

// serverQueue holds the tickets of admitted requests and the queue of waiting requests
// of one server. Its callers pass the current time and serialize the calls.
type serverQueue struct {
	tickets     map[uint64]time.Time // admitted requests, with the expiry time of each ticket
	waiting     []*waiter            // by rank, then by arrival
	serviceTime time.Duration        // moving average
	lastTicket  uint64
}

// slotRequest are the parameters of a request for a ticket.
type slotRequest struct {
	slots     int       // of the server
	rank      int       // 0 is the most urgent
	respondBy time.Time // time by which the response is due
}

// waiter is a request in the queue.
type waiter struct {
	slotRequest
	admitted chan uint64 // receives the ticket
}

func newServerQueue() *serverQueue {
	return &serverQueue{tickets: map[uint64]time.Time{}, serviceTime: initialServiceTime}
}

// expire removes tickets that were not released in time.
func (q *serverQueue) expire(now time.Time) {
	for ticket, until := range q.tickets {
		if now.After(until) {
			delete(q.tickets, ticket)
		}
	}
}

// hasFreeSlot reports whether a server with this number of slots can take another
// request.
func (q *serverQueue) hasFreeSlot(slots int) bool { return len(q.tickets) < slots+extraInFlight }

// acquire admits the request and returns its ticket, or queues it and returns the
// waiter, or, if it cannot be in time, returns the time until a slot is expected to be
// free.
func (q *serverQueue) acquire(r slotRequest, now time.Time) (ticket uint64, queued *waiter, retryAfter time.Duration) {
	q.expire(now)
	q.admitWaiting(now)
	if q.hasFreeSlot(r.slots) && len(q.waiting) == 0 {
		return q.admit(now), nil, 0
	}
	wait := q.expectedWait(r)
	if now.Add(wait).After(q.latestStart(r)) {
		return 0, nil, wait
	}
	queued = &waiter{slotRequest: r, admitted: make(chan uint64, 1)}
	q.waiting = append(q.waiting, queued)
	sort.SliceStable(q.waiting, func(i, j int) bool { return q.waiting[i].rank < q.waiting[j].rank })
	return 0, queued, 0
}

// expectedWait returns the expected time until a slot is free for a request.
func (q *serverQueue) expectedWait(r slotRequest) time.Duration {
	before := 1
	for _, other := range q.waiting {
		if other.rank <= r.rank {
			before++
		}
	}
	return q.serviceTime * time.Duration(before) / time.Duration(r.slots)
}

// latestStart returns the latest time at which a request can be admitted and still be
// answered by respondBy.
func (q *serverQueue) latestStart(r slotRequest) time.Time {
	return r.respondBy.Add(-time.Duration(headroomFactor * float64(q.serviceTime)))
}

// admit returns a new ticket.
func (q *serverQueue) admit(now time.Time) uint64 {
	q.lastTicket++
	q.tickets[q.lastTicket] = now.Add(lostTicketServiceTimes*q.serviceTime + lostTicketMargin)
	return q.lastTicket
}

// release frees the slot of a ticket and admits waiting requests. took is the time that
// the request ran, or zero if it did not run.
func (q *serverQueue) release(ticket uint64, took time.Duration, now time.Time) {
	if _, known := q.tickets[ticket]; known && took > 0 {
		q.serviceTime += time.Duration(serviceTimeWeight * float64(took-q.serviceTime))
	}
	delete(q.tickets, ticket)
	q.expire(now)
	q.admitWaiting(now)
}

// admitWaiting admits waiting requests while slots are free.
func (q *serverQueue) admitWaiting(now time.Time) {
	for len(q.waiting) > 0 && q.hasFreeSlot(q.waiting[0].slots) {
		first := q.waiting[0]
		q.waiting = q.waiting[1:]
		first.admitted <- q.admit(now)
	}
}

// remove takes a request out of the queue. It returns false if the request has been
// admitted or removed already.
func (q *serverQueue) remove(w *waiter) bool {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}
