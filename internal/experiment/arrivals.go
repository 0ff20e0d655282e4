package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// arrivals describes an open-loop stream: Poisson arrivals that do not wait for
// earlier answers.
type arrivals struct {
	rate     float64 // requests a second
	duration time.Duration
	seed     uint64
}

// run calls send for each arrival, each on a goroutine of its own, with the time
// at which it was meant to be sent. It returns when all calls have returned.
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

// Range of recorded latencies, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 3
)

// latencies records latencies from many goroutines.
type latencies struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
}

func (l *latencies) add(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.histogram.RecordValue(max(lowestLatency, min(latency.Microseconds(), highestLatency)))
}

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
