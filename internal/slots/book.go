package slots

import (
	"sort"
	"time"
)

const (
	ahead         = 1                      // requests at a server beyond its slots, so that none stands idle between two
	serviceWeight = 0.1                    // share of a new sample in the average service time
	firstService  = 80 * time.Millisecond  // service time before the first sample
	lostAfter     = 100 * time.Millisecond // a request whose end is not reported counts as ended after
	lostServices  = 4                      // so many service times and this time
	headroom      = 1.3                    // expected service times that must be left of the goal
)

// book keeps the requests of one server: those that were let go, and those that
// wait. It has no clock and no lock of its own.
type book struct {
	tickets map[uint64]time.Time // requests at the server, until when at most
	waiting []*waiter
	service time.Duration
	last    uint64
}

// want is a request that asks for a slot.
type want struct {
	slots  int
	rank   int
	inTime time.Time // the moment by which its answer is worth most
}

type waiter struct {
	want
	granted chan uint64
}

func newBook() *book {
	return &book{tickets: map[uint64]time.Time{}, service: firstService}
}

// expire drops requests whose end was not reported.
func (b *book) expire(now time.Time) {
	for ticket, until := range b.tickets {
		if now.After(until) {
			delete(b.tickets, ticket)
		}
	}
}

func (b *book) free(slots int) bool { return len(b.tickets) < slots+ahead }

// ask lets the request go, lets it wait, or returns how long it should stay away.
func (b *book) ask(w want, now time.Time) (ticket uint64, queued *waiter, stayAway time.Duration) {
	b.expire(now)
	b.next(now)
	if b.free(w.slots) && len(b.waiting) == 0 {
		return b.grant(now), nil, 0
	}
	expected := b.expected(w)
	if now.Add(expected).After(b.latest(w)) {
		return 0, nil, expected
	}
	queued = &waiter{want: w, granted: make(chan uint64, 1)}
	b.waiting = append(b.waiting, queued)
	sort.SliceStable(b.waiting, func(i, j int) bool { return b.waiting[i].rank < b.waiting[j].rank })
	return 0, queued, 0
}

// expected is the time until a slot is free for a request.
func (b *book) expected(w want) time.Duration {
	before := 1
	for _, other := range b.waiting {
		if other.rank <= w.rank {
			before++
		}
	}
	return b.service * time.Duration(before) / time.Duration(w.slots)
}

// latest is the last moment at which a request can begin and be in time.
func (b *book) latest(w want) time.Time {
	return w.inTime.Add(-time.Duration(headroom * float64(b.service)))
}

func (b *book) grant(now time.Time) uint64 {
	b.last++
	b.tickets[b.last] = now.Add(lostServices*b.service + lostAfter)
	return b.last
}

// done ends a request and lets those go that wait.
func (b *book) done(ticket uint64, took time.Duration, now time.Time) {
	if _, known := b.tickets[ticket]; known && took > 0 {
		b.service += time.Duration(serviceWeight * float64(took-b.service))
	}
	delete(b.tickets, ticket)
	b.expire(now)
	b.next(now)
}

// next lets waiting requests go while slots are free.
func (b *book) next(now time.Time) {
	for len(b.waiting) > 0 && b.free(b.waiting[0].slots) {
		first := b.waiting[0]
		b.waiting = b.waiting[1:]
		first.granted <- b.grant(now)
	}
}

// leave takes a request out of the queue. It reports false when it was let go.
func (b *book) leave(w *waiter) bool {
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return true
		}
	}
	return false
}
