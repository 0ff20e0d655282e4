package dispatcher

import (
	"sync"
	"time"
)

// Adaption of the number of slots.
const (
	cutPeriod      = 100 * time.Millisecond // time between two cuts
	recoverPeriod  = 2 * time.Second        // time in which all slots come back
	shedCut        = 0.7                    // factor of a cut after a shed answer
	slowFactor     = 3                      // latency against its norm that counts as slow
	slowMargin     = 5 * time.Millisecond   // and at least so much more
	recentWeight   = 0.3                    // weight of one answer in the recent latency
	normalWeight   = 0.01                   // weight of one answer in the normal latency
	slowShareFloor = 0.5                    // slow answers alone take at most this share of the slots
)

// slotLimit is the number of slots that a server can take now: the permitted
// number, less after shed or slow answers, rising during a slow start. What a
// server reports of its own load has no say.
type slotLimit struct {
	mu     sync.Mutex
	max    int
	limit  float64
	at     time.Time // limit was right at this time
	cutAt  time.Time
	recent float64 // latency of the last answers, in seconds
	normal float64

	rampFrom time.Time // begin of a slow start
	ramp     time.Duration
}

func newSlotLimit(slots int, now time.Time) *slotLimit {
	return &slotLimit{max: slots, limit: float64(slots), at: now}
}

// setMax changes the permitted number.
func (l *slotLimit) setMax(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit >= float64(l.max) {
		l.limit = float64(slots)
	}
	l.max = slots
	l.limit = min(l.limit, float64(slots))
}

// slowStart lets the slots rise from one to all over a time.
func (l *slotLimit) slowStart(from time.Time, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rampFrom = from
	l.ramp = length
	l.recent, l.normal = 0, 0
}

// slots returns the number of slots now, at least one.
func (l *slotLimit) slots(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recover(now)
	return max(1, min(int(l.limit), l.ramped(now)))
}

func (l *slotLimit) recover(now time.Time) {
	passed := now.Sub(l.at)
	l.at = now
	l.limit = min(float64(l.max), l.limit+float64(l.max)*float64(passed)/float64(recoverPeriod))
}

func (l *slotLimit) ramped(now time.Time) int {
	passed := now.Sub(l.rampFrom)
	if passed >= l.ramp {
		return l.max
	}
	return int(float64(l.max) * float64(passed) / float64(l.ramp))
}

// shed notes that the server refused for lack of capacity.
func (l *slotLimit) shed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut(now, 1)
}

// answered notes the latency of an answer. full says that all slots were in use.
func (l *slotLimit) answered(latency time.Duration, full bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := latency.Seconds()
	if l.normal == 0 {
		l.recent, l.normal = seconds, seconds
	}
	l.recent += recentWeight * (seconds - l.recent)
	l.normal += normalWeight * (seconds - l.normal)
	if full && l.recent > slowFactor*l.normal+slowMargin.Seconds() {
		l.cut(now, slowShareFloor*float64(l.max))
	}
}

// cut lowers the limit, not below least.
func (l *slotLimit) cut(now time.Time, least float64) {
	if now.Sub(l.cutAt) < cutPeriod {
		return
	}
	l.recover(now)
	l.cutAt = now
	l.limit = max(l.limit*shedCut, min(l.limit, least))
}
