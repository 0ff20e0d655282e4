package attemptlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/model"
)

const (
	service model.PoolName = "reads"
	mean                   = 200 * time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

// record records attempts with exponentially distributed times.
func record(l *Limits, count int, rng *rand.Rand, now time.Time) {
	for range count {
		l.Record(service, time.Duration(rng.ExpFloat64()*float64(mean)), now)
	}
}

func TestNoLimitWithoutObservations(t *testing.T) {
	l := New()
	_, limited := l.Limit(&Attempt{Service: service, Slowness: 1, Left: time.Hour}, start)
	must.False(t, limited)
	record(l, minSamples-1, rand.New(rand.NewPCG(1, 1)), start)
	_, limited = l.Limit(&Attempt{Service: service, Slowness: 1, Left: time.Hour}, start)
	must.False(t, limited)
}

// Of the attempts that a server answers, fewer than 1 in 200 are cut off, while one that
// is never answered ends long before the deadline.
func TestLimitSparesAnsweredAttemptsAndEndsOthers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	l := New()
	record(l, 2000, rng, start)
	limit, limited := l.Limit(&Attempt{Service: service, Slowness: 1, Left: 10 * time.Second}, start)
	must.True(t, limited)
	must.Less(t, 5*time.Second, limit)
	cut := 0
	for range 10_000 {
		if time.Duration(rng.ExpFloat64()*float64(mean)) > limit {
			cut++
		}
	}
	must.Less(t, 50, cut)
}

func TestSlowServersGetMoreTime(t *testing.T) {
	l := New()
	record(l, 1000, rand.New(rand.NewPCG(1, 3)), start)
	usual, _ := l.Limit(&Attempt{Service: service, Slowness: 1, Left: time.Minute}, start)
	slow, _ := l.Limit(&Attempt{Service: service, Slowness: 5, Left: time.Minute}, start)
	must.Eq(t, 5*usual, slow)
	fast, _ := l.Limit(&Attempt{Service: service, Slowness: 0.2, Left: time.Minute}, start)
	must.Eq(t, usual, fast)
}

// An attempt is not ended when no other one could be in time afterwards.
func TestNoLimitWhenAnotherAttemptWouldBeLate(t *testing.T) {
	l := New()
	record(l, 1000, rand.New(rand.NewPCG(1, 4)), start)
	_, limited := l.Limit(&Attempt{Service: service, Slowness: 1, Left: time.Second}, start)
	must.False(t, limited)
}

// When a service becomes slow, the limit follows within windowCount windows.
func TestLimitFollowsTheService(t *testing.T) {
	l := New()
	record(l, 1000, rand.New(rand.NewPCG(1, 5)), start)
	before, _ := l.Limit(&Attempt{Service: service, Slowness: 1, Left: time.Hour}, start)
	now := start
	for range windowCount + 1 {
		now = now.Add(windowLength + time.Millisecond)
		for range minSamples {
			l.Record(service, 10*mean, now)
		}
	}
	after, limited := l.Limit(&Attempt{Service: service, Slowness: 1, Left: time.Hour}, now)
	must.True(t, limited)
	must.Between(t, 14*mean, after, 16*mean)
	must.NotEq(t, before, after)
}

// A service that answers within some milliseconds may become slow from one moment to the
// next: its attempts are not all cut off then.
func TestLimitLeavesRoomForSuddenSlowness(t *testing.T) {
	const objective = 600 * time.Millisecond
	l := New()
	for range minSamples {
		l.Record(service, 2*time.Millisecond, start)
	}
	limit, limited := l.Limit(&Attempt{Service: service, LatencyObjective: objective, Left: time.Minute}, start)
	must.True(t, limited)
	must.Eq(t, objective/objectiveDivisor, limit)
	limit, _ = l.Limit(&Attempt{Service: service, Left: time.Minute}, start)
	must.Eq(t, minLimit, limit)
}
