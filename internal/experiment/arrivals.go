package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// arrivals is an open-loop load: requests start by a Poisson process and do not wait for
// the answers to earlier ones.
type arrivals struct {
	rate     float64 // requests a second
	duration time.Duration
	seed     uint64
}

// run calls send for each arrival in a new goroutine, with the arrival's number and
// scheduled time. It returns when all calls have returned.
func (a arrivals) run(ctx context.Context, send func(number int, intended time.Time)) {
	random := rand.New(rand.NewPCG(a.seed, 0))
	var pending sync.WaitGroup
	defer pending.Wait()
	start := time.Now()
	at := time.Duration(0)
	for number := 0; ; number++ {
		at += time.Duration(random.ExpFloat64() / a.rate * float64(time.Second))
		if at > a.duration || ctx.Err() != nil {
			return
		}
		intended := start.Add(at)
		time.Sleep(time.Until(intended))
		pending.Add(1)
		go func() {
			defer pending.Done()
			send(number, intended)
		}()
	}
}

// Range of recorded latencies in microseconds, and the histogram's precision. Latencies
// outside the range are recorded as its nearest end.
const (
	minLatencyUS             = 1
	maxLatencyUS             = 60_000_000
	latencySignificantDigits = 3
)

// latencies is a histogram of latencies. Its methods may be called concurrently.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(minLatencyUS, maxLatencyUS, latencySignificantDigits)}
}

func (l *latencies) add(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(max(minLatencyUS, min(latency.Microseconds(), maxLatencyUS)))
}

// quantile returns the latency at a percentile from 0 to 100.
func (l *latencies) quantile(percent float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

func (l *latencies) count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.TotalCount()
}

func (l *latencies) max() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.Max()) * time.Microsecond
}
