package attemptlimit

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Parameters of the limit.
const (
	tailPercentile = 99.0 // of the times that attempts took
	tailFactor     = 1.5  // attempts take at most this multiple of the tail
	minSamples     = 100  // attempts observed before there is a limit
	maxShareOfTime = 0.6  // of the time that is left, so that another attempt can be in time

	objectiveDivisor = 2                      // attempts take at least 1/objectiveDivisor of the latency objective,
	minLimit         = 100 * time.Millisecond // and at least this: a service may become slow from one moment to the next
)

// Parameters of the histograms. Times are kept in milliseconds.
const (
	windowCount       = 3 // histograms that are merged: the current one and earlier ones
	windowLength      = 10 * time.Second
	maxMilliseconds   = 60_000
	significantDigits = 2
)

// Limits holds the times that attempts took, by service. It is safe for concurrent use.
type Limits struct {
	mu       sync.Mutex
	services map[model.PoolName]*times
}

// times are the recent attempts of one service.
type times struct {
	histogram *hdrhistogram.WindowedHistogram
	merged    *hdrhistogram.Histogram // of all windows, as of mergedAt
	mergedAt  time.Time
	rotatedAt time.Time
}

// mergePeriod is the time for which a merged histogram is used.
const mergePeriod = time.Second

// New returns limits without observations.
func New() *Limits { return &Limits{services: map[model.PoolName]*times{}} }

// Record records how long a server took to answer an attempt.
func (l *Limits) Record(service model.PoolName, took time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.services[service]
	if t == nil {
		t = &times{histogram: hdrhistogram.NewWindowed(windowCount, 1, maxMilliseconds, significantDigits), rotatedAt: now}
		l.services[service] = t
	}
	for ; now.Sub(t.rotatedAt) > windowLength; t.rotatedAt = t.rotatedAt.Add(windowLength) {
		t.histogram.Rotate()
	}
	milliseconds := min(max(took.Milliseconds(), 1), maxMilliseconds)
	_ = t.histogram.Current.RecordValue(milliseconds) // can't fail: the value is within the bounds
}

// Attempt describes an attempt that is about to be made.
type Attempt struct {
	Service model.PoolName
	// Slowness is the server's service time relative to the average of its service.
	Slowness float64
	// LatencyObjective is the time within which the response is wanted; zero if there is none.
	LatencyObjective time.Duration
	// Left is the time until the caller's deadline.
	Left time.Duration
}

// Limit returns how long an attempt may take, or false if the caller's deadline is the
// only limit.
func (l *Limits) Limit(a *Attempt, now time.Time) (time.Duration, bool) {
	tail, known := l.Tail(a.Service, now)
	if !known {
		return 0, false
	}
	limit := time.Duration(tailFactor * max(a.Slowness, 1) * float64(tail))
	limit = max(limit, a.LatencyObjective/objectiveDivisor, minLimit)
	if limit > time.Duration(maxShareOfTime*float64(a.Left)) {
		return 0, false
	}
	return limit, true
}

// Tail returns the time within which tailPercentile of a service's attempts are
// answered, or false with too few observations.
func (l *Limits) Tail(service model.PoolName, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.services[service]
	if t == nil {
		return 0, false
	}
	if t.merged == nil || t.merged.TotalCount() < minSamples || now.Sub(t.mergedAt) > mergePeriod {
		t.merged, t.mergedAt = t.histogram.Merge(), now
	}
	if t.merged.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(t.merged.ValueAtQuantile(tailPercentile)) * time.Millisecond, true
}
