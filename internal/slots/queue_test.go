package slots

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func newSlotRequest(rank int, timeLeft time.Duration) slotRequest {
	return slotRequest{slots: 3, rank: rank, respondBy: start.Add(timeLeft)}
}

func TestRequestsAreAdmittedWhileSlotsAreFree(t *testing.T) {
	q := newServerQueue()
	for range 3 + extraInFlight {
		ticket, queued, _ := q.acquire(newSlotRequest(0, time.Second), start)
		must.Positive(t, ticket)
		must.Nil(t, queued)
	}
	ticket, queued, _ := q.acquire(newSlotRequest(0, time.Second), start)
	must.Zero(t, ticket)
	must.NotNil(t, queued)
	q.release(1, 0, start)
	must.Eq(t, 3+extraInFlight+1, <-queued.admitted)
}

func TestRequestThatCannotBeInTimeIsRefused(t *testing.T) {
	q := newServerQueue()
	for range 3 + extraInFlight {
		q.acquire(newSlotRequest(0, time.Second), start)
	}
	ticket, queued, retryAfter := q.acquire(newSlotRequest(0, initialServiceTime), start)
	must.Zero(t, ticket)
	must.Nil(t, queued)
	must.Positive(t, retryAfter)
}

func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	q := newServerQueue()
	for range 3 + extraInFlight {
		q.acquire(newSlotRequest(0, time.Second), start)
	}
	_, low, _ := q.acquire(newSlotRequest(2, time.Second), start)
	_, urgent, _ := q.acquire(newSlotRequest(0, time.Second), start)
	q.release(1, 0, start)
	must.Positive(t, <-urgent.admitted)
	must.True(t, q.remove(low))
	must.False(t, q.remove(low))
}

func TestUnreleasedTicketsExpire(t *testing.T) {
	q := newServerQueue()
	for range 3 + extraInFlight {
		q.acquire(newSlotRequest(0, time.Second), start)
	}
	ticket, _, _ := q.acquire(newSlotRequest(0, time.Minute), start.Add(lostTicketServiceTimes*initialServiceTime+lostTicketMargin+1))
	must.Positive(t, ticket)
}

// In any sequence of arrivals, releases and removals, a server never gets more requests
// than its slots plus extraInFlight, and no request waits while a slot is free.
func TestSlotsAreNeitherExceededNorIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newServerQueue()
		now := start
		var running []uint64
		var waiting []*waiter
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 200).Draw(t, "steps")
		for _, step := range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch step {
			case 0, 1:
				request := slotRequest{slots: 3, rank: rapid.IntRange(0, 2).Draw(t, "rank"), respondBy: now.Add(300 * time.Millisecond)}
				ticket, queued, retryAfter := q.acquire(request, now)
				switch {
				case ticket > 0:
					running = append(running, ticket)
				case queued != nil:
					waiting = append(waiting, queued)
				default:
					must.Positive(t, retryAfter)
				}
			case 2:
				if len(running) > 0 {
					q.release(running[0], 50*time.Millisecond, now)
					running = running[1:]
				}
			case 3:
				if len(waiting) > 0 {
					q.remove(waiting[0])
				}
			}
			var stillWaiting []*waiter
			for _, w := range waiting {
				select {
				case ticket := <-w.admitted:
					running = append(running, ticket)
				default:
					stillWaiting = append(stillWaiting, w)
				}
			}
			waiting = stillWaiting
			must.LessEq(t, 3+extraInFlight, len(q.tickets))
			if len(q.waiting) > 0 {
				must.Eq(t, 3+extraInFlight, len(q.tickets))
			}
		}
	})
}
