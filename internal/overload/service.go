package overload

import (
	"math"
	"sort"
	"time"
)

const (
	window       = time.Second            // time constant of the averages
	maxFullShare = 0.2                    // share of the requests that may be turned away without a limit,
	minFull      = 3                      // and their number
	growthDelay  = 250 * time.Millisecond // after the limit was reduced, until it grows
	growthShare  = 0.1                    // of the limit by which it grows, at least 1, in the time that a request takes
	calmTime     = 2 * time.Second        // without a request that was turned away, until the limit ends
	minWaiting   = 4                      // requests that may wait for a permit; more if the limit is higher

	serviceTimeWeight = 0.1 // of a new sample in the moving average of the service time
)

// service is the state of one service. Its callers pass the current time and serialize the
// calls.
type service struct {
	inProgress int
	limit      float64   // of the requests in progress; 0 if there is none
	waiting    []*waiter // by rank, then by arrival

	// ran and full count requests by outcome, and busySeconds is the time that those that
	// ran took, all decayed with time constant window, as of decayedAt.
	ran, full, busySeconds float64
	decayedAt              time.Time

	serviceTime time.Duration // moving average
	fullAt      time.Time     // when a request was last turned away
	reducedAt   time.Time     // when the limit was last set
}

// waiter is a request that waits for a permit.
type waiter struct {
	rank    int
	decided chan bool // receives whether the request was admitted
}

// acquire admits a request or queues it. Neither means that it is refused.
func (s *service) acquire(rank int, now time.Time) (admitted bool, queued *waiter) {
	s.endLimit(now)
	if s.hasRoom() {
		s.inProgress++
		return true, nil
	}
	if len(s.waiting) >= s.maxWaiting() && !s.displaceLast(rank) {
		return false, nil
	}
	queued = &waiter{rank: rank, decided: make(chan bool, 1)}
	s.waiting = append(s.waiting, queued)
	sort.SliceStable(s.waiting, func(i, j int) bool { return s.waiting[i].rank < s.waiting[j].rank })
	return false, queued
}

func (s *service) hasRoom() bool { return s.limit == 0 || float64(s.inProgress+1) <= s.limit }

// maxWaiting is about the number of requests that are admitted in one service time.
func (s *service) maxWaiting() int { return max(int(s.limit), minWaiting) }

// displaceLast refuses the least urgent waiting request if it is less urgent than rank.
func (s *service) displaceLast(rank int) bool {
	last := s.waiting[len(s.waiting)-1]
	if last.rank <= rank {
		return false
	}
	s.waiting = s.waiting[:len(s.waiting)-1]
	last.decided <- false
	return true
}

// remove takes a request out of the queue. It returns false if it was decided already.
func (s *service) remove(w *waiter) bool {
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// expectedWait returns the time after which a request of a rank is expected to be admitted.
func (s *service) expectedWait(rank int) time.Duration {
	before := 0
	for _, w := range s.waiting {
		if w.rank <= rank {
			before++
		}
	}
	return time.Duration(float64(s.serviceTime) * (1 + float64(before)/max(s.limit, 1)))
}

// release ends a request and admits waiting ones.
func (s *service) release(outcome Outcome, took time.Duration, now time.Time) {
	s.decay(now)
	switch outcome {
	case Ran:
		s.recordRan(took, now)
	case Full:
		s.recordFull(now)
	}
	s.inProgress--
	s.endLimit(now)
	s.admitWaiting()
}

func (s *service) admitWaiting() {
	for len(s.waiting) > 0 && s.hasRoom() {
		first := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.inProgress++
		first.decided <- true
	}
}

// decay brings the averages up to date.
func (s *service) decay(now time.Time) {
	factor := math.Exp(-now.Sub(s.decayedAt).Seconds() / window.Seconds())
	s.ran *= factor
	s.full *= factor
	s.busySeconds *= factor
	s.decayedAt = now
}

// recordRan records a request that ran. A limit that was not reduced lately grows.
func (s *service) recordRan(took time.Duration, now time.Time) {
	s.ran++
	s.busySeconds += took.Seconds()
	if s.serviceTime == 0 {
		s.serviceTime = took
	}
	s.serviceTime += time.Duration(serviceTimeWeight * float64(took-s.serviceTime))
	if s.limit > 0 && now.Sub(s.reducedAt) > growthDelay {
		s.limit += max(1, growthShare*s.limit) / s.limit
	}
}

// recordFull records a request that was turned away. When they are too many to be chance,
// the limit becomes the number of requests that the servers did take: those that are still
// in progress, or as many as ran at a time on average.
func (s *service) recordFull(now time.Time) {
	s.full++
	s.fullAt = now
	if s.full < minFull || s.fullShare() < maxFullShare {
		return
	}
	s.limit = max(float64(s.inProgress-1), s.busySeconds/window.Seconds(), 1)
	s.reducedAt = now
}

// fullShare returns the share of the requests that was turned away.
func (s *service) fullShare() float64 { return s.full / max(s.full+s.ran, 1) }

// endLimit ends the limit when no request was turned away for calmTime.
func (s *service) endLimit(now time.Time) {
	if s.limit > 0 && now.Sub(s.fullAt) > calmTime {
		s.limit = 0
		s.admitWaiting()
	}
}
