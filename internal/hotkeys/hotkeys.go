package hotkeys

import (
	"math"
	"time"
)

// Parameters of the estimate.
const (
	LongMemory  = 8 * time.Second // time constant of the exponential decay of the long memory
	ShortMemory = 1500 * time.Millisecond

	deviations   = 4.0 // standard deviations of the short memory's count that chance explains
	minDeviation = 1.0 // requests; for keys whose expected count is small

	neighbours = 64 // keys that are judged together too, since busy keys lie close to one another
)

// memoryRatio is the count in the short memory of a key with a steady load, relative to
// that in the long one.
const memoryRatio = float64(ShortMemory) / float64(LongMemory)

// Estimator counts requests by key. Keys are numbers from 0 up to a fixed count. Its
// callers serialize the calls.
type Estimator struct {
	long, short memory
	loads       []float64 // as of the last Update
	total       float64   // of loads
}

// New returns an estimator of keys 0 to keys-1.
func New(keys int, now time.Time) *Estimator {
	return &Estimator{
		long:  newMemory(keys, LongMemory, now),
		short: newMemory(keys, ShortMemory, now),
		loads: make([]float64, keys),
	}
}

// Add counts requests of a key. They are part of the loads from the next Update on.
func (e *Estimator) Add(key, requests int, now time.Time) {
	e.long.add(key, float64(requests), now)
	e.short.add(key, float64(requests), now)
}

// Seed adds a load that is known from elsewhere, as if it had been steady so far.
func (e *Estimator) Seed(key int, load float64, now time.Time) {
	e.long.add(key, load, now)
	e.short.add(key, load*memoryRatio, now)
}

// Update computes the loads as of now.
func (e *Estimator) Update(now time.Time) {
	e.long.rebase(now)
	e.short.rebase(now)
	e.total = 0
	for from := 0; from < len(e.loads); from += neighbours {
		e.updateNeighbours(from, min(from+neighbours, len(e.loads)))
	}
}

// updateNeighbours computes the loads of the keys from up to, but not including, to.
func (e *Estimator) updateNeighbours(from, to int) {
	long, short := 0.0, 0.0
	for key := from; key < to; key++ {
		long += e.long.counts[key]
		short += e.short.counts[key]
	}
	together := changed(long, short)
	for key := from; key < to; key++ {
		e.loads[key] = e.long.counts[key]
		if together || changed(e.long.counts[key], e.short.counts[key]) {
			e.loads[key] = e.short.counts[key] / memoryRatio
		}
		e.total += e.loads[key]
	}
}

// Load returns the load of a key as of the last Update, in requests within LongMemory.
func (e *Estimator) Load(key int) float64 { return e.loads[key] }

// Total returns the load of all keys as of the last Update.
func (e *Estimator) Total() float64 { return e.total }

// changed reports whether a count in the short memory differs from the one in the long
// memory by more than chance explains.
func changed(long, short float64) bool {
	expected := long * memoryRatio
	chance := deviations * max(math.Sqrt(expected), minDeviation)
	return math.Abs(short-expected) > chance
}

// memory is a set of counts that decay exponentially. To keep additions cheap, counts
// are scaled up by the decay since origin instead of being decayed at each of them.
type memory struct {
	counts []float64
	decay  time.Duration // time constant
	origin time.Time
}

func newMemory(keys int, decay time.Duration, now time.Time) memory {
	return memory{counts: make([]float64, keys), decay: decay, origin: now}
}

// maxScaledDecays is the number of time constants after which the counts are rebased, so
// that they stay within the range of numbers.
const maxScaledDecays = 50

func (m *memory) add(key int, count float64, now time.Time) {
	if now.Sub(m.origin) > maxScaledDecays*m.decay {
		m.rebase(now)
	}
	m.counts[key] += count * m.scale(now)
}

// scale returns the factor by which a count at the given time is scaled up.
func (m *memory) scale(now time.Time) float64 {
	return math.Exp(now.Sub(m.origin).Seconds() / m.decay.Seconds())
}

// rebase decays all counts to their values at the given time.
func (m *memory) rebase(now time.Time) {
	factor := 1 / m.scale(now)
	m.origin = now
	for key := range m.counts {
		m.counts[key] *= factor
	}
}
