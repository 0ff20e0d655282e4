package slots

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func wanting(rank int, inTime time.Duration) want {
	return want{slots: 3, rank: rank, inTime: start.Add(inTime)}
}

func TestRequestsGoWhileSlotsAreFree(t *testing.T) {
	b := newBook()
	for range 3 + ahead {
		ticket, queued, _ := b.ask(wanting(0, time.Second), start)
		must.Positive(t, ticket)
		must.Nil(t, queued)
	}
	ticket, queued, _ := b.ask(wanting(0, time.Second), start)
	must.Zero(t, ticket)
	must.NotNil(t, queued)
	b.done(1, 0, start)
	must.Eq(t, 3+ahead+1, <-queued.granted)
}

func TestARequestThatCannotBeInTimeStaysAway(t *testing.T) {
	b := newBook()
	for range 3 + ahead {
		b.ask(wanting(0, time.Second), start)
	}
	ticket, queued, stayAway := b.ask(wanting(0, firstService), start)
	must.Zero(t, ticket)
	must.Nil(t, queued)
	must.Positive(t, stayAway)
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	b := newBook()
	for range 3 + ahead {
		b.ask(wanting(0, time.Second), start)
	}
	_, low, _ := b.ask(wanting(2, time.Second), start)
	_, urgent, _ := b.ask(wanting(0, time.Second), start)
	b.done(1, 0, start)
	must.Positive(t, <-urgent.granted)
	must.True(t, b.leave(low))
	must.False(t, b.leave(low))
}

func TestRequestsWhoseEndIsNotReportedAreForgotten(t *testing.T) {
	b := newBook()
	for range 3 + ahead {
		b.ask(wanting(0, time.Second), start)
	}
	ticket, _, _ := b.ask(wanting(0, time.Minute), start.Add(lostServices*firstService+lostAfter+1))
	must.Positive(t, ticket)
}

// However requests come, end and leave, a server never gets more than its slots
// and a few, and nobody waits while a slot is free.
func TestSlotsAreNeitherExceededNorIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBook()
		now := start
		var out []uint64
		var queue []*waiter
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 200).Draw(t, "steps")
		for _, step := range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch step {
			case 0, 1:
				w := want{slots: 3, rank: rapid.IntRange(0, 2).Draw(t, "rank"), inTime: now.Add(300 * time.Millisecond)}
				ticket, queued, stayAway := b.ask(w, now)
				switch {
				case ticket > 0:
					out = append(out, ticket)
				case queued != nil:
					queue = append(queue, queued)
				default:
					must.Positive(t, stayAway)
				}
			case 2:
				if len(out) > 0 {
					b.done(out[0], 50*time.Millisecond, now)
					out = out[1:]
				}
			case 3:
				if len(queue) > 0 {
					b.leave(queue[0])
				}
			}
			var still []*waiter
			for _, w := range queue {
				select {
				case ticket := <-w.granted:
					out = append(out, ticket)
				default:
					still = append(still, w)
				}
			}
			queue = still
			must.LessEq(t, 3+ahead, len(b.tickets))
			if len(b.waiting) > 0 {
				must.Eq(t, 3+ahead, len(b.tickets))
			}
		}
	})
}
