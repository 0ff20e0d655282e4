package dispatcher

import (
	"sync"
	"time"
)

// Adaptation of the number of slots.
const (
	cutPeriod      = 100 * time.Millisecond // minimum time between two cuts
	recoverPeriod  = 2 * time.Second        // time in which the limit rises from zero to all slots
	cutFactor      = 0.7                    // factor by which a cut lowers the limit
	slowFactor     = 3                      // responses are slow if the recent latency exceeds the baseline by this factor
	slowMargin     = 5 * time.Millisecond   // and by this time on top of it
	recentWeight   = 0.3                    // weight of one response in the recent latency
	baselineWeight = 0.01                   // weight of one response in the baseline latency
	slowMinShare   = 0.5                    // share of the slots below which slow responses alone don't lower the limit
)

// slotLimit adapts the number of requests that may be in progress at a server. It
// is the number that the permit allows, lowered after shed or slow responses and
// raised again over time, and ramped up during a slow start. The load that the
// server reports itself is not used.
type slotLimit struct {
	mu              sync.Mutex
	max             int       // slots that the permit allows
	limit           float64   // adapted number of slots, at most max
	updatedAt       time.Time // time up to which limit includes the recovery
	lastCut         time.Time
	recentLatency   float64 // moving average over the last few responses, in seconds
	baselineLatency float64 // slow moving average, in seconds

	rampStart    time.Time // start of the slow start
	rampDuration time.Duration
}

func newSlotLimit(slots int, now time.Time) *slotLimit {
	return &slotLimit{max: slots, limit: float64(slots), updatedAt: now}
}

// setMax changes the number of slots that the permit allows.
func (l *slotLimit) setMax(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit >= float64(l.max) {
		l.limit = float64(slots)
	}
	l.max = slots
	l.limit = min(l.limit, float64(slots))
}

// startRamp begins a slow start: the slots rise linearly from one to all over the
// given duration. The latency averages start anew.
func (l *slotLimit) startRamp(from time.Time, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rampStart = from
	l.rampDuration = length
	l.recentLatency, l.baselineLatency = 0, 0
}

// slots returns the number of slots at the given time, at least one.
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

// recordShed lowers the limit after the server refused a request for lack of capacity.
func (l *slotLimit) recordShed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut(now, 1)
}

// recordLatency updates the latency averages after a response and lowers the limit
// if responses are slow while all slots are in use (saturated).
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

// cut lowers the limit by cutFactor, but not below minLimit.
func (l *slotLimit) cut(now time.Time, minLimit float64) {
	if now.Sub(l.lastCut) < cutPeriod {
		return
	}
	l.raise(now)
	l.lastCut = now
	l.limit = max(l.limit*cutFactor, min(l.limit, minLimit))
}
