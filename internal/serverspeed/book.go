package serverspeed

import (
	"math"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Bounds of what a book holds.
const (
	maxServers  = 4096 // further servers count as usual ones
	maxServices = 256  // further services share one
	maxPending  = 512  // servers with samples that were not sent yet

	knownSamples = 3 // from which on a server's speed counts as known
)

// A figure is published again when it has changed, has become surer or is old.
const (
	publishChange = 0.06 // of the logarithm
	publishGrowth = 2.0  // of the weight
	publishPeriod = 4 * time.Second
)

// Book holds the estimates of a daemon. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	services map[model.PoolName]*Service
	servers  map[Key]*entry
	pending  map[Key]Tally // own samples that other daemons have not got yet
	sequence uint64        // of the last published figure
	shared   bool          // samples are kept for other daemons
}

// entry is a server with the figure that was last published of it.
type entry struct {
	Server
	service   model.PoolName
	published Figure
	sequence  uint64
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{services: map[model.PoolName]*Service{}, servers: map[Key]*entry{}, pending: map[Key]Tally{}}
}

// service returns a service, which is created if there is room. The caller must hold b.mu.
func (b *Book) service(name model.PoolName) *Service {
	known := b.services[name]
	if known == nil && len(b.services) >= maxServices {
		name = ""
		known = b.services[name]
	}
	if known == nil {
		known = NewService()
		b.services[name] = known
	}
	return known
}

// entry returns a server, which is created if there is room, or else one that is not kept.
// The caller must hold b.mu.
func (b *Book) entry(key Key) *entry {
	known := b.servers[key]
	if known == nil {
		known = &entry{}
		if len(b.servers) < maxServers {
			b.servers[key] = known
		}
	}
	return known
}

// Outcome is what a run adds to the estimates.
type Outcome struct {
	// Factor is the time that the run took, relative to the usual time of its kind and without
	// what its server's report explains.
	Factor float64
	// Change says that the run showed a lasting change of the server's speed.
	Change        bool
	Before, After float64 // time that work takes relative to the service
	Samples       float64 // weight of the samples that showed it
}

// Run is a request that a server ran, or may have run.
type Run struct {
	Service model.PoolName
	Server  Key
	Kind    string
	Took    time.Duration
	Bound   Bound
	Report  *Report // that came with the response, or nil
}

// Record adds a run. Other daemons learn of it only if its response came with a report that
// states the slowness: without one, the time may be that of the server's queue or of a short
// burst, which all daemons would run away from at once.
func (b *Book) Record(r *Run, now time.Time) Outcome {
	if r.Took <= 0 {
		return Outcome{Factor: 1}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	service, server := b.service(r.Service), b.entry(r.Server)
	server.service = r.Service
	before := server.lasting(now)
	if !service.knows(r.Kind) {
		if r.Bound == Exact {
			service.record(r.Kind, time.Duration(r.Took.Seconds()/math.Exp(before)*float64(time.Second)), Sample{})
		}
		return Outcome{Factor: math.Exp(before)}
	}
	ratio := r.Took.Seconds() / service.Usual(r.Kind, r.Took).Seconds()
	sample := server.Observe(ratio, r.Bound, r.Report, service.Prior(), now)
	if r.Bound == Exact {
		service.record(r.Kind, r.Took, sample)
	}
	outcome := Outcome{Factor: math.Exp(sample.Lasting), Change: sample.Changed}
	if sample.Counts && r.Report != nil && r.Report.Slowness > 0 {
		b.keepForOthers(r.Server, sample.Lasting)
		b.publish(server, now)
	}
	if sample.Changed {
		outcome.Before, outcome.After, outcome.Samples = math.Exp(before), math.Exp(server.lasting(now)), server.long.weight
	}
	return outcome
}

// keepForOthers adds a sample to those that are sent next. The caller must hold b.mu.
func (b *Book) keepForOthers(key Key, log float64) {
	tally, known := b.pending[key]
	if !b.shared || (!known && len(b.pending) >= maxPending) {
		return
	}
	tally.Log = (tally.Log*float64(tally.Count) + log) / float64(tally.Count+1)
	tally.Count++
	b.pending[key] = tally
}

// publish gives a server's figure to other daemons if it says something new. The caller must
// hold b.mu.
func (b *Book) publish(server *entry, now time.Time) {
	figure := Figure{Log: server.long.value(0), Weight: server.long.weight, At: now}
	last := server.published
	if math.Abs(figure.Log-last.Log) < publishChange && figure.Weight < publishGrowth*last.Weight && now.Sub(last.At) < publishPeriod {
		return
	}
	b.sequence++
	server.published, server.sequence = figure, b.sequence
}

// RecordReport records what a server reports of its load.
func (b *Book) RecordReport(service model.PoolName, key Key, r Report, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	common, server := b.service(service), b.entry(key)
	server.service = service
	common.observeReport(r, now)
	server.ObserveReport(r, common.Prior(), now)
}

// Estimate returns the estimate for a server that was sent requests since its last report,
// relative to its slots.
func (b *Book) Estimate(service model.PoolName, key Key, sent float64, now time.Time) Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.estimate(key, sent, b.service(service).Prior(), now)
}

// EstimateEach fills in the estimates of several servers of a service. of returns the key of
// the server at an index, what it was sent since its last report, and where its estimate is
// to be stored.
func (b *Book) EstimateEach(service model.PoolName, count int, of func(i int) (Key, float64, *Estimate), now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	prior := b.service(service).Prior()
	for i := range count {
		key, sent, estimate := of(i)
		*estimate = b.estimate(key, sent, prior, now)
	}
}

// estimate is Estimate with the service's prior. The caller must hold b.mu.
func (b *Book) estimate(key Key, sent float64, prior Prior, now time.Time) Estimate {
	known := b.servers[key]
	if known == nil {
		return Estimate{Lasting: 1, Moment: 1}
	}
	return known.Estimate(sent, prior, now)
}

// Usual returns the usual time of a kind of request at a usual server.
func (b *Book) Usual(service model.PoolName, kind string, initial time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(service).Usual(kind, initial)
}

// Retain forgets the servers that are not among the given ones.
func (b *Book) Retain(keys map[Key]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := range b.servers {
		if !keys[key] {
			delete(b.servers, key)
			delete(b.pending, key)
		}
	}
}

// Spread returns the number of servers whose speeds are known by some samples, and the ratio of
// the slowest one's time to the quickest one's, each relative to its service.
func (b *Book) Spread(now time.Time) (known int, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	least, most := math.Inf(1), math.Inf(-1)
	for _, server := range b.servers {
		if server.samples(now) < knownSamples {
			continue
		}
		known++
		log := server.lasting(now)
		least, most = min(least, log), max(most, log)
	}
	if known == 0 {
		return 0, 1
	}
	return known, math.Exp(most - least)
}
