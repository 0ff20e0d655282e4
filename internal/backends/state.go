package backends

import (
	"math"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
)

// What is learned of a server, and how fast it is forgotten.
const (
	serviceTimeWeight   = 0.2                     // share of a new sample in the average service time
	failureWeight       = 0.25                    // share of a new outcome in the failure rate
	loadDecayTime       = 400 * time.Millisecond  // time in which a reported load loses most of its worth
	failureDecayTime    = 3 * time.Second         // time in which a failure rate loses most of its worth
	initialServiceTime  = 100 * time.Millisecond  // service time before the first sample
	warmUpFactor        = 1.6                     // factor of the service time while a server warms up
	noResponseEjection  = 1500 * time.Millisecond // time for which a server that did not answer is passed over
	dialFailureEjection = 400 * time.Millisecond  // the same for a server that refused a connection
	shedEjection        = 100 * time.Millisecond  // the same for a server that was full
)

// state is what this daemon has seen of one life of a server.
type state struct {
	mu             sync.Mutex
	inFlight       int
	load           dialect.Load
	loadReportedAt time.Time
	sentSinceLoad  int           // requests that were sent after the load was reported
	serviceTime    time.Duration // average time of a run without waiting
	failureRate    float64       // share of attempts that failed, 0 to 1
	lastOutcomeAt  time.Time
	ejectedUntil   time.Time // not chosen before, while there is another
}

// requestStarted notes that a request is sent.
func (s *state) requestStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.sentSinceLoad++
}

// requestEnded notes that a request is not at the server any more.
func (s *state) requestEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// setLoad takes the load that a server told.
func (s *state) setLoad(load dialect.Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadReportedAt, s.sentSinceLoad = load, now, 0
}

// recordServiceTime takes the time of a run that did not wait.
func (s *state) recordServiceTime(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serviceTime == 0 {
		s.serviceTime = took
		return
	}
	s.serviceTime += time.Duration(serviceTimeWeight * float64(took-s.serviceTime))
}

// recordOutcome takes whether an attempt failed.
func (s *state) recordOutcome(failed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failureRate = s.decayedFailureRate(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failureRate += failureWeight * (sample - s.failureRate)
	s.lastOutcomeAt = now
}

// decayedFailureRate runs under the lock.
func (s *state) decayedFailureRate(now time.Time) float64 {
	if s.lastOutcomeAt.IsZero() {
		return 0
	}
	return s.failureRate * math.Exp(-now.Sub(s.lastOutcomeAt).Seconds()/failureDecayTime.Seconds())
}

// eject makes the server the last choice for a while.
func (s *state) eject(now time.Time, period time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := now.Add(period); until.After(s.ejectedUntil) {
		s.ejectedUntil = until
	}
}

// candidate is a server's state at one moment, for the choice.
type candidate struct {
	server  *catalog.Server
	ejected bool
	// expectedLoad is the expected number of requests at the server.
	expectedLoad float64
	serviceTime  time.Duration
	failureRate  float64
}

func (s *state) candidate(server *catalog.Server, defaultServiceTime time.Duration, now time.Time) candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := candidate{server: server, ejected: now.Before(s.ejectedUntil), serviceTime: s.serviceTime, failureRate: s.decayedFailureRate(now)}
	if c.serviceTime == 0 {
		c.serviceTime = defaultServiceTime
	}
	if now.Before(server.WarmUpUntil) {
		c.serviceTime = time.Duration(float64(c.serviceTime) * warmUpFactor)
	}
	c.expectedLoad = float64(s.inFlight)
	if !s.loadReportedAt.IsZero() {
		weight := math.Exp(-now.Sub(s.loadReportedAt).Seconds() / loadDecayTime.Seconds())
		reported := float64(s.load.Running + s.load.Waiting + s.sentSinceLoad)
		c.expectedLoad = math.Max(c.expectedLoad, weight*reported+(1-weight)*c.expectedLoad)
	}
	return c
}

// delay is the expected time to an answer of a request that is sent now.
func (c candidate) delay() time.Duration {
	over := math.Max(0, c.expectedLoad+1-float64(c.server.Slots)) / float64(c.server.Slots)
	return time.Duration(float64(c.serviceTime) * (1 + over))
}
