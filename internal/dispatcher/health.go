package dispatcher

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorylug/chicorylug/internal/ownership"
)

// health records the last observations of a server.
type health struct {
	probing atomic.Bool // a probe is in progress

	mu           sync.Mutex
	lastKind     ownership.EvidenceKind
	lastResponse time.Time // last response to a request or a probe; zero after a failure
	lastReport   time.Time // last time a response was reported
	drainingFrom time.Time // first of the latest consecutive responses that announced draining
}

// probeDue reports whether the server has not responded within the probe period.
func (h *health) probeDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.lastResponse) >= probePeriod
}

// recordResponse records that the server responded. It returns whether the response
// must be reported, and whether it is the first one after refused connections.
func (h *health) recordResponse(kind ownership.EvidenceKind, now time.Time) (report, recovered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastResponse = now
	h.updateDraining(kind, now)
	if h.lastKind == kind && now.Sub(h.lastReport) < reportPeriod {
		return false, false
	}
	recovered = h.lastKind == ownership.EvidenceRefused
	h.lastKind = kind
	h.lastReport = now
	return true, recovered
}

// updateDraining sets or clears drainingFrom. The caller holds h.mu.
func (h *health) updateDraining(kind ownership.EvidenceKind, now time.Time) {
	if kind != ownership.EvidenceDraining {
		h.drainingFrom = time.Time{}
	} else if h.drainingFrom.IsZero() {
		h.drainingFrom = now
	}
}

// recordFailure records a failed probe or connection, so that the next probe is due at once.
func (h *health) recordFailure(kind ownership.EvidenceKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastKind = kind
	h.lastResponse = time.Time{}
}

// drainingSince returns since when the server has announced that it is draining, and
// false when its last response did not announce it.
func (h *health) drainingSince() (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drainingFrom, !h.drainingFrom.IsZero()
}
