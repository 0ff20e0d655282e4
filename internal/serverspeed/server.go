package serverspeed

import (
	"math"
	"time"
)

// Memories of the estimates. The lasting speed is that of the long memory, until a change is
// detected.
const (
	longMemory   = time.Minute
	momentMemory = 400 * time.Millisecond // of what the server reports
	slopeMemory  = 20 * time.Second
)

// Parameters of the estimates. Times are handled as logarithms of ratios.
const (
	maxSamples   = 30  // of the long memory
	priorSamples = 0.5 // samples of the usual speed that each server begins with

	// boundDeviations is by how many standard deviations a lower bound must exceed the
	// estimate to count: those that are nearer would draw the estimate up.
	boundDeviations = 2.0

	queuedWeight = 0.5 // of a sample whose time in the queue is estimated

	maxLogRatio = 2.5  // a sample counts at most as 12 times the usual time, or a 12th
	minRatio    = 1e-3 // smallest ratio of a sample

	maxMoment         = 5.0 // largest factor of the moment that counts
	momentPriorWeight = 3.0 // squared logarithms: some three samples of a factor of 3
	nearlyFull        = 0.5 // share of running requests above which a server may become slower
	maxFillSlope      = 1.4 // a full server is taken to be at most 4 times as slow
	fillPriorWeight   = 2.0 // squared shares: some two samples of a full server
	usualPrior        = 4.0 // reports of a usual server that each one begins with
)

// Bound says what a sample tells of the time that a server needs.
type Bound int

// Values of Bound.
const (
	Exact   Bound = iota
	AtLeast       // the request had not ended yet
	Queued        // the request has probably waited in the server's queue
)

// Report is what a server says of its load with a response.
type Report struct {
	Running, Waiting, Slots int // requests, and the number that may run at a time
	// Slowness is how long work takes on its machine at the moment, relative to the usual
	// time; zero if not stated.
	Slowness float64
}

// use returns the running and waiting requests relative to the slots.
func (r Report) use() float64 { return float64(r.Running+r.Waiting) / float64(max(r.Slots, 1)) }

// inQueue returns the share of its time that a request has probably waited in the queue: as
// long as the requests took that are waiting now.
func (r Report) inQueue() float64 {
	waited := float64(r.Waiting) / float64(max(r.Slots, 1))
	return waited / (1 + waited)
}

// moment is a report as the estimates use it.
type moment struct {
	slowness float64 // logarithm within its bounds: no server becomes quicker by what it reports
	full     float64 // how near to full the server is, from 0 at nearlyFull to 1
}

// moment returns the report as the estimates use it. usual stands for a slowness that is not
// stated.
func (r Report) moment(usual moment) moment {
	m := moment{slowness: usual.slowness, full: nearness(r.use())}
	if r.Slowness > 0 {
		m.slowness = math.Log(min(max(r.Slowness, 1), maxMoment))
	}
	return m
}

// nearness returns how near to full a server is.
func nearness(use float64) float64 { return min(max((use-nearlyFull)/(1-nearlyFull), 0), 1) }

// Server is the estimate of one server process.
type Server struct {
	long     mean // logarithms of the time that work takes, relative to the service
	detector detector

	last       moment // as last reported
	lastAt     time.Time
	slownesses mean  // of all reports
	fulls      mean  // of all reports
	gain       slope // by how much response times follow the reported slowness
	fillSlope  slope // by how much response times rise from nearlyFull to full

	peer Figure // what other daemons saw
}

// Prior is what the servers of a service have in common.
type Prior struct {
	Noise float64 // standard deviation of the logarithms of samples
	Gain  float64 // how far response times follow the reported slowness, from 0 to 1
	Fill  float64 // logarithm of the factor by which full servers are slower
	usual moment  // mean of the reports
}

// ObserveReport records what the server reports.
func (s *Server) ObserveReport(r Report, prior Prior, now time.Time) {
	s.last, s.lastAt = r.moment(s.usual(prior)), now
	s.fulls.add(s.last.full, 1, now, longMemory)
	if r.Slowness > 0 {
		s.slownesses.add(s.last.slowness, 1, now, longMemory)
	}
}

// usual returns the mean of what the server reports.
func (s *Server) usual(prior Prior) moment {
	return moment{
		slowness: s.slownesses.toward(prior.usual.slowness, usualPrior),
		full:     s.fulls.toward(prior.usual.full, usualPrior),
	}
}

// Sample is what an observation adds to the estimates.
type Sample struct {
	Lasting  float64 // logarithm of the time without what the report explains
	Surprise float64 // the same beyond the estimate before
	Counts   bool    // false for a bound that tells nothing new
	Changed  bool    // the lasting speed was found to have changed

	at           time.Time
	slower, gain float64 // how much slower than usual the server's machine was, and its gain before
	fuller, fill float64 // how much fuller than usual the server was, and its slope before
}

// Observe adds a sample: the time that a request took relative to the usual time of its kind.
// report is what came with the response, or nil. It returns what the sample adds.
func (s *Server) Observe(ratio float64, bound Bound, report *Report, prior Prior, now time.Time) Sample {
	if bound == Queued && report != nil {
		ratio *= 1 - report.inQueue()
	}
	observed := math.Log(max(ratio, minRatio))
	usual := s.usual(prior)
	slower, fuller := 0.0, 0.0 // than usual
	if report != nil {
		m := report.moment(usual)
		slower, fuller = m.slowness-usual.slowness, m.full-usual.full
	}
	gain, fill := s.momentGain(prior), s.fill(prior)
	lasting := clampLog(observed - gain*slower - fill*fuller)
	estimate := s.lasting(now)
	sample := Sample{Lasting: lasting, Surprise: lasting - estimate, at: now, slower: slower, gain: gain, fuller: fuller, fill: fill}
	if bound == AtLeast && lasting <= estimate+boundDeviations*prior.Noise {
		return sample
	}
	weight := 1.0
	if bound == Queued {
		weight = queuedWeight
	}
	sample.Counts = true
	sample.Changed = s.add(lasting, weight, prior.Noise, now)
	if bound == Exact && report != nil {
		residual := clampLog(observed - estimate)
		s.gain.add(slower, residual-fill*fuller, now, slopeMemory)
		s.fillSlope.add(fuller, residual-gain*slower, now, slopeMemory)
	}
	return sample
}

// clampLog returns the logarithm of a ratio within its bounds.
func clampLog(log float64) float64 { return min(max(log, -maxLogRatio), maxLogRatio) }

// add adds a sample of some weight. It reports whether the sample shows a lasting change, and
// then forgets what was before.
func (s *Server) add(value, weight, noise float64, now time.Time) bool {
	deviations := (value - s.lasting(now)) / noise
	s.long.add(value, weight, now, longMemory)
	s.long.limit(maxSamples)
	since, changed := s.detector.add(value, weight, deviations, now)
	if changed {
		s.long, s.peer = since, Figure{}
	}
	return changed
}

// momentGain returns how far response times follow the reported slowness, from 0 to 1.
func (s *Server) momentGain(prior Prior) float64 {
	return s.gain.value(prior.Gain, momentPriorWeight, 0, 1)
}

// fill returns the logarithm of the factor by which a full server is slower.
func (s *Server) fill(prior Prior) float64 {
	return s.fillSlope.value(prior.Fill, fillPriorWeight, 0, maxFillSlope)
}

// lasting returns the logarithm of the time that work takes at the server, relative to its
// service, as of now: its own samples and those of other daemons.
func (s *Server) lasting(now time.Time) float64 {
	own := s.long
	own.decay(now, longMemory)
	peer := s.peer.weightAt(now)
	return (own.sum + peer*s.peer.Log) / (own.weight + peer + priorSamples)
}

// Estimate is how long work takes at a server, relative to its service.
type Estimate struct {
	Lasting float64       // factor of the server itself
	Moment  float64       // factor of its machine and its load at the moment
	Samples float64       // weight of the samples behind Lasting
	Age     time.Duration // since the last sample, or the last figure of other daemons
}

// Factor returns how long work takes now, relative to a usual server at usual times.
func (e Estimate) Factor() float64 { return e.Lasting * e.Moment }

// Estimate returns the estimate for a server that was sent requests since its last report,
// relative to its slots.
func (s *Server) Estimate(sent float64, prior Prior, now time.Time) Estimate {
	last := s.long.at
	if s.peer.At.After(last) {
		last = s.peer.At
	}
	e := Estimate{Lasting: math.Exp(s.lasting(now)), Moment: 1, Samples: s.samples(now), Age: now.Sub(last)}
	if age := now.Sub(s.lastAt); !s.lastAt.IsZero() && age < forgottenAfter {
		usual := s.usual(prior)
		fuller := min(s.last.full+sent/(1-nearlyFull), 1) - usual.full
		expected := s.momentGain(prior)*(s.last.slowness-usual.slowness) + s.fill(prior)*fuller
		e.Moment = math.Exp(expected * math.Exp(-age.Seconds()/momentMemory.Seconds()))
	}
	return e
}

// samples returns the weight of all samples.
func (s *Server) samples(now time.Time) float64 {
	own := s.long
	own.decay(now, longMemory)
	return own.weight + s.peer.weightAt(now)
}

// forgottenAfter is the age from which on a report counts for nothing.
const forgottenAfter = 8 * momentMemory
