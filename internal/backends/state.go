package backends

import (
	"math"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/serverspeed"
)

// Parameters of the estimates of a server's state.
const (
	failureWeight       = 0.25                    // weight of a new outcome in the moving average of the failure rate
	loadDecayTime       = 400 * time.Millisecond  // time constant of the exponential decay of a reported load
	failureDecayTime    = 3 * time.Second         // time constant of the exponential decay of the failure rate
	initialServiceTime  = 100 * time.Millisecond  // assumed service time before the first sample
	warmUpFactor        = 1.6                     // factor on the service time while a server warms up
	noResponseEjection  = 1500 * time.Millisecond // ejection time of a server that sent nothing until the end of an attempt
	dialFailureEjection = 400 * time.Millisecond  // ejection time of a server that could not be connected to
	shedEjection        = 100 * time.Millisecond  // ejection time of a server that rejected a request because it was full
	silentEjection      = 300 * time.Millisecond  // ejection time of a server that left a request unanswered and answered others
	failingRate         = 0.4                     // failure rate from which on a server counts as failing: two failures in a row, or most of several
)

// state is the state of one server process as observed by this daemon.
type state struct {
	mu             sync.Mutex
	inFlight       int          // requests that this daemon has sent and that have not ended
	load           dialect.Load // as the server last reported it
	loadReportedAt time.Time
	sentSinceLoad  int     // requests sent after the load was reported
	failureRate    float64 // moving average, 0 to 1, as of lastOutcomeAt
	lastOutcomeAt  time.Time
	lastAnswerAt   time.Time // when the server last answered this daemon, with whatever status
	ejectedUntil   time.Time // until then used only if all servers are ejected
}

// requestStarted records that a request is being sent.
func (s *state) requestStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.sentSinceLoad++
}

// startRequest records that a request is being sent to the server, which has this number
// of slots. hadRoom says whether the server had room for it. With onlyWithRoom, nothing is
// recorded if it had none, and started is false.
func (s *state) startRequest(slots int, onlyWithRoom bool, now time.Time) (hadRoom, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	hadRoom = s.expectedLoad(now) < float64(slots)
	if onlyWithRoom && !hadRoom {
		return false, false
	}
	s.inFlight++
	s.sentSinceLoad++
	return hadRoom, true
}

// cancelRequest takes back what startRequest recorded: the request was not sent.
func (s *state) cancelRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.sentSinceLoad = max(s.sentSinceLoad-1, 0) // zero if a load was reported meanwhile
}

// requestEnded records that an attempt has ended.
func (s *state) requestEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// setLoad records the load that the server reported.
func (s *state) setLoad(load dialect.Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadReportedAt, s.sentSinceLoad = load, now, 0
}

// recordOutcome records whether an attempt failed.
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

// decayedFailureRate returns the failure rate as of now. The caller must hold s.mu.
func (s *state) decayedFailureRate(now time.Time) float64 {
	if s.lastOutcomeAt.IsZero() {
		return 0
	}
	return s.failureRate * math.Exp(-now.Sub(s.lastOutcomeAt).Seconds()/failureDecayTime.Seconds())
}

// recordAnswer records that the server answered.
func (s *state) recordAnswer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAnswerAt = now
}

// answeredSince reports whether the server answered this daemon after the given time.
func (s *state) answeredSince(start time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAnswerAt.After(start)
}

// eject excludes the server from selection for the period, unless all servers of its
// service are ejected.
func (s *state) eject(now time.Time, period time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := now.Add(period); until.After(s.ejectedUntil) {
		s.ejectedUntil = until
	}
}

// candidate is a server with a copy of its state, for the choice of a server.
type candidate struct {
	server  *catalog.Server
	ejected bool
	// expectedLoad is the estimated number of requests at the server, running or queued.
	expectedLoad float64
	// sent is the number of requests sent to it since it last reported its load.
	sent        int
	failureRate float64
	// usual is the time that a usual server needs for the request.
	usual   time.Duration
	key     serverspeed.Key
	speed   serverspeed.Estimate
	untried bool // no attempt of this daemon has ended at the server
}

// failing reports whether the server's failures are too many to be chance.
func (c candidate) failing() bool { return c.failureRate >= failingRate }

// candidate returns the server as a candidate, without its speed.
func (s *state) candidate(server *catalog.Server, now time.Time) candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return candidate{
		server:       server,
		ejected:      now.Before(s.ejectedUntil),
		expectedLoad: s.expectedLoad(now),
		sent:         s.sentSinceLoad,
		failureRate:  s.decayedFailureRate(now),
		untried:      s.lastOutcomeAt.IsZero(),
	}
}

// expectedLoad returns the estimated number of requests at the server: this daemon's own,
// or what the server last reported and was sent since, which counts less as time passes.
// The caller must hold s.mu.
func (s *state) expectedLoad(now time.Time) float64 {
	own := float64(s.inFlight)
	if s.loadReportedAt.IsZero() {
		return own
	}
	weight := math.Exp(-now.Sub(s.loadReportedAt).Seconds() / loadDecayTime.Seconds())
	reported := float64(s.load.Running + s.load.Waiting + s.sentSinceLoad)
	return math.Max(own, weight*reported+(1-weight)*own)
}

// delay returns the expected time until the response to a request that is sent now:
// the service time plus the time in the server's queue.
func (c candidate) delay() time.Duration {
	return time.Duration(c.usual.Seconds() * c.speed.Lasting * c.pressure() * float64(time.Second))
}

// pressure returns by how much the server is slower now than it is usually: because of its
// machine, its load and its queue.
func (c candidate) pressure() float64 {
	over := math.Max(0, c.expectedLoad+1-float64(c.server.Slots)) / float64(c.server.Slots)
	return c.speed.Moment * (1 + over)
}
