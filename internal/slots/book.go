package slots

import (
	"sort"
	"time"
)

const (
	extraInFlight          = 1                      // requests at a server beyond its slots, so that none stands idle between two
	serviceTimeWeight      = 0.1                    // share of a new sample in the average service time
	initialServiceTime     = 80 * time.Millisecond  // service time before the first sample
	lostTicketMargin       = 100 * time.Millisecond // a request whose end is not reported counts as ended after
	lostTicketServiceTimes = 4                      // so many service times and this time
	headroomFactor         = 1.3                    // expected service times that must be left of the goal
)

// serverQueue keeps the requests of one server: those that were let go, and those that
// wait. It has no clock and no lock of its own.
type serverQueue struct {
	tickets     map[uint64]time.Time // requests at the server, until when at most
	waiting     []*waiter
	serviceTime time.Duration
	lastTicket  uint64
}

// slotRequest is a request that asks for a slot.
type slotRequest struct {
	slots     int
	rank      int
	respondBy time.Time // the moment by which its answer is worth most
}

type waiter struct {
	slotRequest
	admitted chan uint64
}

func newServerQueue() *serverQueue {
	return &serverQueue{tickets: map[uint64]time.Time{}, serviceTime: initialServiceTime}
}

// expire drops requests whose end was not reported.
func (q *serverQueue) expire(now time.Time) {
	for ticket, until := range q.tickets {
		if now.After(until) {
			delete(q.tickets, ticket)
		}
	}
}

func (q *serverQueue) hasFreeSlot(slots int) bool { return len(q.tickets) < slots+extraInFlight }

// acquire lets the request go, lets it wait, or returns how long it should stay away.
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

// expectedWait is the time until a slot is free for a request.
func (q *serverQueue) expectedWait(r slotRequest) time.Duration {
	before := 1
	for _, other := range q.waiting {
		if other.rank <= r.rank {
			before++
		}
	}
	return q.serviceTime * time.Duration(before) / time.Duration(r.slots)
}

// latestStart is the last moment at which a request can begin and be in time.
func (q *serverQueue) latestStart(r slotRequest) time.Time {
	return r.respondBy.Add(-time.Duration(headroomFactor * float64(q.serviceTime)))
}

func (q *serverQueue) admit(now time.Time) uint64 {
	q.lastTicket++
	q.tickets[q.lastTicket] = now.Add(lostTicketServiceTimes*q.serviceTime + lostTicketMargin)
	return q.lastTicket
}

// release ends a request and lets those go that wait.
func (q *serverQueue) release(ticket uint64, took time.Duration, now time.Time) {
	if _, known := q.tickets[ticket]; known && took > 0 {
		q.serviceTime += time.Duration(serviceTimeWeight * float64(took-q.serviceTime))
	}
	delete(q.tickets, ticket)
	q.expire(now)
	q.admitWaiting(now)
}

// admitWaiting lets waiting requests go while slots are free.
func (q *serverQueue) admitWaiting(now time.Time) {
	for len(q.waiting) > 0 && q.hasFreeSlot(q.waiting[0].slots) {
		first := q.waiting[0]
		q.waiting = q.waiting[1:]
		first.admitted <- q.admit(now)
	}
}

// remove takes a request out of the queue. It reports false when it was let go.
func (q *serverQueue) remove(w *waiter) bool {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}
