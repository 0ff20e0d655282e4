package serverspeed

import (
	"math"
	"time"
)

// Parameters of a service's estimates.
const (
	kindWeight  = 0.05 // weight of a sample in the usual time of its kind, and in the noise,
	firstWeight = 0.5  // and of the second one; it falls to kindWeight
	maxKinds    = 64   // kinds of requests that are told apart; further ones are one kind

	initialNoise = 0.5 // standard deviation of the logarithms of times, before samples
	minNoise     = 0.25
	maxNoise     = 1.0

	serviceFillWeight = 4.0 // prior weight of no slowing when full
	serviceGainWeight = 4.0 // prior weight of reports that response times follow

	usualFull = 0.5 // assumed mean of how near to full servers are, before the first report

	maxSurprise = 2.0 // standard deviations by which one sample moves the usual time at most
)

// Service holds what the servers of a service have in common.
type Service struct {
	kinds map[string]*kind
	rest  kind // of the kinds beyond maxKinds
	all   kind // all kinds together
	noise float64
	gain  slope // as in Server, over all servers
	fill  slope

	slownesses mean // of the reports of all servers, as in Server
	fulls      mean
}

// kind is the usual time of one kind of request.
type kind struct {
	log   float64 // logarithm of seconds
	count int
}

// NewService returns a service without samples.
func NewService() *Service {
	return &Service{kinds: map[string]*kind{}, noise: initialNoise * initialNoise}
}

// kind returns the usual time of a kind, which is created if there is room.
func (s *Service) kind(name string) *kind {
	if known := s.kinds[name]; known != nil {
		return known
	}
	if len(s.kinds) >= maxKinds {
		return &s.rest
	}
	created := &kind{}
	s.kinds[name] = created
	return created
}

// Usual returns the usual time of a kind of request, that of all kinds if this one has not
// been seen, or the default before the first sample.
func (s *Service) Usual(name string, initial time.Duration) time.Duration {
	k := s.kinds[name]
	if k == nil || k.count == 0 {
		k = &s.all
	}
	if k.count == 0 {
		return initial
	}
	return time.Duration(math.Exp(k.log) * float64(time.Second))
}

// Prior returns what the servers have in common.
func (s *Service) Prior() Prior {
	return Prior{
		Noise: math.Sqrt(s.noise), Gain: s.momentGain(), Fill: s.fillSlope(),
		usual: moment{slowness: s.slownesses.toward(0, usualPrior), full: s.fulls.toward(usualFull, usualPrior)},
	}
}

// momentGain returns how far response times follow the reported slowness.
func (s *Service) momentGain() float64 { return s.gain.value(1, serviceGainWeight, 0, 1) }

// fillSlope returns the logarithm of the factor by which full servers are slower.
func (s *Service) fillSlope() float64 {
	return s.fill.value(0, serviceFillWeight, 0, maxFillSlope)
}

// ObserveReport adds what a server reports. moment is the report as the server's estimate
// uses it.
func (s *Service) observeReport(r Report, now time.Time) {
	m := r.moment(s.Prior().usual)
	s.fulls.add(m.full, 1, now, longMemory)
	if r.Slowness > 0 {
		s.slownesses.add(m.slowness, 1, now, longMemory)
	}
}

// record adds the time that a request took at a server. sample is what the server's estimate
// made of it.
func (s *Service) record(name string, took time.Duration, sample Sample) {
	surprise := sample.Surprise
	noise := math.Sqrt(s.noise)
	moved := min(max(surprise, -maxSurprise*noise), maxSurprise*noise)
	s.kind(name).add(took, moved)
	s.all.add(took, moved)
	s.noise += kindWeight * (surprise*surprise - s.noise)
	s.noise = min(max(s.noise, minNoise*minNoise), maxNoise*maxNoise)
	s.gain.add(sample.slower, surprise+sample.gain*sample.slower, sample.at, slopeMemory)
	s.fill.add(sample.fuller, surprise+sample.fill*sample.fuller, sample.at, slopeMemory)
}

// knows reports whether requests of the kind have been seen.
func (s *Service) knows(name string) bool { return s.kind(name).count > 0 }

// add moves the usual time by the part of a sample that its server does not explain.
func (k *kind) add(took time.Duration, surprise float64) {
	if k.count == 0 {
		k.log = math.Log(took.Seconds())
		k.count = 1
		return
	}
	k.count++
	k.log += max(kindWeight, firstWeight/float64(k.count-1)) * surprise
}
