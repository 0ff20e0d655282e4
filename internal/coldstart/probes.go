package coldstart

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/sendgate"
)

// Limits of the health checks of unconfirmed servers.
const (
	firstProbeDelay  = 300 * time.Millisecond // after a server could not be reached,
	maxProbeDelay    = 4 * time.Second        // and at most, after further failures
	answeredProbeGap = 50 * time.Millisecond  // between two health checks of this daemon, after one that was answered,
	failedProbeGap   = time.Second            // and after one that was not
	maxFailedProbing = 5                      // doublings of firstProbeDelay
)

// probes limits the health checks of this daemon.
type probes struct {
	nextAt time.Time
}

// probeState limits the health checks of one process.
type probeState struct {
	nextAt   time.Time
	failures int
	running  bool
}

// failed records that the process could not be reached. Each further failure while a delay
// lasts belongs to the same one.
func (p *probeState) failed(now time.Time) {
	if now.Before(p.nextAt) {
		return
	}
	p.nextAt = now.Add(min(firstProbeDelay<<min(p.failures, maxFailedProbing), maxProbeDelay))
	p.failures++
}

// NextProbe returns an unconfirmed server whose health is to be checked now, or nil, of those
// that may be asked. Each must be followed by RecordProbe.
func (t *Tracker) NextProbe(mayAsk func(*catalog.Server) bool, now time.Time) *catalog.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.probes.nextAt) {
		return nil
	}
	var next *belief
	for _, b := range t.processes {
		due := b.believed(now) == Unconfirmed && b.confirmedAt.IsZero() && !b.probe.running && !now.Before(b.probe.nextAt)
		if due && mayAsk(b.server) && (next == nil || b.probe.nextAt.Before(next.probe.nextAt)) {
			next = b
		}
	}
	if next == nil {
		return nil
	}
	next.probe.running = true
	t.probes.nextAt = now.Add(failedProbeGap)
	return next.server
}

// Probe is the outcome of a health check.
type Probe struct {
	Started time.Time
	// Answered says that the process answered and is healthy.
	Answered bool
	// ColdFor is the time for which it stays cold, from the answer on.
	ColdFor time.Duration
}

// RecordProbe records the outcome of a health check of a server.
func (t *Tracker) RecordProbe(server *catalog.Server, r Probe, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Answered {
		t.probes.nextAt = now.Add(answeredProbeGap)
	}
	b := t.processes[sendgate.ProcessOf(server)]
	if b == nil {
		return
	}
	b.probe.running = false
	switch {
	case !r.Answered:
		b.probe.failed(now)
	case r.ColdFor > 0:
		b.probe = probeState{}
		b.heardCold(t, now.Add(r.ColdFor), HealthCheck, now)
	case r.Started.After(b.unconfirmedSince):
		b.probe = probeState{}
		b.unconfirmedSince, b.evidence, b.evidenceAt = time.Time{}, HealthCheck, now
	}
	t.note(b, now)
}
