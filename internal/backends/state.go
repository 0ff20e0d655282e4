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
	serviceWeight  = 0.2                     // share of a new sample in the average service time
	failureWeight  = 0.25                    // share of a new outcome in the failure rate
	loadFades      = 400 * time.Millisecond  // time in which a reported load loses most of its worth
	failureFades   = 3 * time.Second         // time in which a failure rate loses most of its worth
	firstService   = 100 * time.Millisecond  // service time before the first sample
	warmingSlower  = 1.6                     // factor of the service time while a server warms up
	silentEjection = 1500 * time.Millisecond // time for which a server that did not answer is passed over
	refusedAgain   = 400 * time.Millisecond  // the same for a server that refused a connection
	shedEjection   = 100 * time.Millisecond  // the same for a server that was full
)

// state is what this daemon has seen of one life of a server.
type state struct {
	mu        sync.Mutex
	inFlight  int
	load      dialect.Load
	loadAt    time.Time
	sentSince int           // requests that were sent after the load was reported
	service   time.Duration // average time of a run without waiting
	failures  float64       // share of attempts that failed, 0 to 1
	failedAt  time.Time
	avoid     time.Time // not chosen before, while there is another
}

// began notes that a request is sent.
func (s *state) began() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.sentSince++
}

// ended notes that a request is not at the server any more.
func (s *state) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// reported takes the load that a server told.
func (s *state) reported(load dialect.Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt, s.sentSince = load, now, 0
}

// served takes the time of a run that did not wait.
func (s *state) served(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.service == 0 {
		s.service = took
		return
	}
	s.service += time.Duration(serviceWeight * float64(took-s.service))
}

// outcome takes whether an attempt failed.
func (s *state) outcome(failed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = s.failureRate(now)
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failures += failureWeight * (sample - s.failures)
	s.failedAt = now
}

// failureRate runs under the lock.
func (s *state) failureRate(now time.Time) float64 {
	if s.failedAt.IsZero() {
		return 0
	}
	return s.failures * math.Exp(-now.Sub(s.failedAt).Seconds()/failureFades.Seconds())
}

// passOver makes the server the last choice for a while.
func (s *state) passOver(now time.Time, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := now.Add(d); until.After(s.avoid) {
		s.avoid = until
	}
}

// view is a server's state at one moment, for the choice.
type view struct {
	server  *catalog.Server
	avoided bool
	// busy is the expected number of requests at the server.
	busy     float64
	service  time.Duration
	failures float64
}

func (s *state) view(server *catalog.Server, usual time.Duration, now time.Time) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := view{server: server, avoided: now.Before(s.avoid), service: s.service, failures: s.failureRate(now)}
	if v.service == 0 {
		v.service = usual
	}
	if now.Before(server.WarmUpUntil) {
		v.service = time.Duration(float64(v.service) * warmingSlower)
	}
	v.busy = float64(s.inFlight)
	if !s.loadAt.IsZero() {
		worth := math.Exp(-now.Sub(s.loadAt).Seconds() / loadFades.Seconds())
		told := float64(s.load.Running + s.load.Waiting + s.sentSince)
		v.busy = math.Max(v.busy, worth*told+(1-worth)*v.busy)
	}
	return v
}

// delay is the expected time to an answer of a request that is sent now.
func (v view) delay() time.Duration {
	over := math.Max(0, v.busy+1-float64(v.server.Slots)) / float64(v.server.Slots)
	return time.Duration(float64(v.service) * (1 + over))
}
