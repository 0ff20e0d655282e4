package dispatcher

import (
	"sync"
	"time"
)

// Adaption of the number of slots.
const (
	cutPeriod      = 100 * time.Millisecond // time between two cuts
	recoverPeriod  = 2 * time.Second        // time in which all slots come back
	cutFactor      = 0.7                    // factor of a cut after a shed answer
	slowFactor     = 3                      // latency against its norm that counts as slow
	slowMargin     = 5 * time.Millisecond   // and at least so much more
	recentWeight   = 0.3                    // weight of one answer in the recent latency
	baselineWeight = 0.01                   // weight of one answer in the normal latency
	slowMinShare   = 0.5                    // slow answers alone take at most this share of the slots
)

// slotLimit is the number of slots that a server can take now: the permitted
// number, less after shed or slow answers, rising during a slow start. What a
// server reports of its own load has no say.
type slotLimit struct {
	mu              sync.Mutex
	max             int
	limit           float64
	updatedAt       time.Time // limit was right at this time
	lastCut         time.Time
	recentLatency   float64 // latency of the last answers, in seconds
	baselineLatency float64

	rampStart    time.Time // begin of a slow start
	rampDuration time.Duration
}

func newSlotLimit(slots int, now time.Time) *slotLimit {
	return &slotLimit{max: slots, limit: float64(slots), updatedAt: now}
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

// startRamp lets the slots rise from one to all over a time.
func (l *slotLimit) startRamp(from time.Time, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rampStart = from
	l.rampDuration = length
	l.recentLatency, l.baselineLatency = 0, 0
}

// slots returns the number of slots now, at least one.
func (l *slotLimit) slots(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.raise(now)
	return max(1, min(int(l.limit), l.rampLimit(now)))
}

func (l *slotLimit) raise(now time.Time) {
	elapsed := now.Sub(l.updatedAt)
	l.updatedAt = now
	l.limit = min(float64(l.max), l.limit+float64(l.max)*float64(elapsed)/float64(recoverPeriod))
}

func (l *slotLimit) rampLimit(now time.Time) int {
	elapsed := now.Sub(l.rampStart)
	if elapsed >= l.rampDuration {
		return l.max
	}
	return int(float64(l.max) * float64(elapsed) / float64(l.rampDuration))
}

// recordShed notes that the server refused for lack of capacity.
func (l *slotLimit) recordShed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut(now, 1)
}

// recordLatency notes the latency of an answer. full says that all slots were in use.
func (l *slotLimit) recordLatency(latency time.Duration, saturated bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := latency.Seconds()
	if l.baselineLatency == 0 {
		l.recentLatency, l.baselineLatency = seconds, seconds
	}
	l.recentLatency += recentWeight * (seconds - l.recentLatency)
	l.baselineLatency += baselineWeight * (seconds - l.baselineLatency)
	if saturated && l.recentLatency > slowFactor*l.baselineLatency+slowMargin.Seconds() {
		l.cut(now, slowMinShare*float64(l.max))
	}
}

// cut lowers the limit, not below least.
func (l *slotLimit) cut(now time.Time, minLimit float64) {
	if now.Sub(l.lastCut) < cutPeriod {
		return
	}
	l.raise(now)
	l.lastCut = now
	l.limit = max(l.limit*cutFactor, min(l.limit, minLimit))
}
