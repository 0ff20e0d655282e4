package overload

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

const (
	work    = 30 * time.Millisecond
	maxWait = 200 * time.Millisecond
)

// fill has a service run a number of requests, turn others away, and so get a limit of
// that number.
func fill(s *service, running int, now time.Time) {
	for range running + minFull {
		s.acquire(0, now)
	}
	for range minFull {
		s.release(Full, 0, now)
	}
}

// While no request is turned away, none is refused or waits, whatever the load.
func TestNothingIsRefusedWhileNothingIsTurnedAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s service
		now := time.Unix(1_700_000_000, 0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			if s.inProgress > 0 && rapid.Bool().Draw(t, "ends") {
				s.release(rapid.SampledFrom([]Outcome{Ran, Other}).Draw(t, "outcome"), work, now)
				continue
			}
			admitted, _ := s.acquire(rapid.IntRange(0, 9).Draw(t, "rank"), now)
			must.True(t, admitted)
		}
	})
}

// In every sequence of arrivals and ends, no more urgent request is refused while a less
// urgent one waits, few wait, and none waits while there is room.
func TestLeastUrgentRequestsAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s service
		now := time.Unix(1_700_000_000, 0)
		fill(&s, rapid.IntRange(1, 10).Draw(t, "running"), now)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if s.inProgress > 0 && rapid.Bool().Draw(t, "ends") {
				s.release(rapid.SampledFrom([]Outcome{Ran, Full, Other}).Draw(t, "outcome"), work, now)
			} else {
				rank := rapid.IntRange(0, 3).Draw(t, "rank")
				admitted, queued := s.acquire(rank, now)
				for _, w := range s.waiting {
					must.True(t, admitted || queued != nil || w.rank <= rank)
				}
			}
			must.True(t, len(s.waiting) == 0 || !s.hasRoom())
			must.LessEq(t, 200, len(s.waiting))
		}
	})
}

// The limit is the number of requests that the servers took.
func TestLimitIsWhatServersTook(t *testing.T) {
	var s service
	fill(&s, 8, time.Unix(1_700_000_000, 0))
	must.Eq(t, 8, s.limit)
}

// Some requests that find all servers full by chance set no limit.
func TestFewRequestsTurnedAwaySetNoLimit(t *testing.T) {
	var s service
	now := time.Unix(1_700_000_000, 0)
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		admitted, _ := s.acquire(0, now)
		must.True(t, admitted)
		outcome := Ran
		if i%10 == 9 {
			outcome = Full
		}
		s.release(outcome, work, now)
	}
}

// A service that has room again gets more requests, and soon all of them.
func TestLimitEndsWhenServersHaveRoom(t *testing.T) {
	const running = 8
	var s service
	now := time.Unix(1_700_000_000, 0)
	fill(&s, running, now)
	for range int(calmTime / work / 2) {
		now = now.Add(work)
		s.release(Ran, work, now)
		s.acquire(0, now)
	}
	must.Greater(t, running, s.limit)
	now = now.Add(calmTime)
	s.release(Ran, work, now)
	must.Zero(t, s.limit)
}

// A request waits for its turn, or is refused after maxWait or when its caller leaves; an
// urgent one that comes later is first.
func TestRequestsWaitInOrderOfRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(zap.NewNop())
		fill(l.service("s"), 1, time.Now())
		order := make(chan int, 2)
		for _, rank := range []int{3, 0} {
			go func() {
				permit, _ := l.Acquire(context.Background(), &Request{Service: "s", Rank: rank, MaxWait: maxWait})
				must.NotNil(t, permit)
				order <- rank
				permit.Release(Ran, work)
			}()
			synctest.Wait()
		}
		started := time.Now()
		permit, retryAfter := l.Acquire(context.Background(), &Request{Service: "s", Rank: 3, MaxWait: maxWait / 2})
		must.Nil(t, permit)
		must.GreaterEq(t, 0, retryAfter)
		must.Eq(t, maxWait/2, time.Since(started))
		(&Permit{limiter: l, service: "s"}).Release(Ran, work)
		must.Eq(t, 0, <-order)
		must.Eq(t, 3, <-order)
	})
}

// Services without requests are forgotten.
func TestIdleServicesAreForgotten(t *testing.T) {
	l := New(zap.NewNop())
	permit, _ := l.Acquire(context.Background(), &Request{Service: "s"})
	l.Prune(time.Now().Add(time.Hour))
	must.MapLen(t, 1, l.services)
	permit.Release(Ran, work)
	l.Prune(time.Now().Add(time.Hour))
	must.MapEmpty(t, l.services)
}
