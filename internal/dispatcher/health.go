package dispatcher

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorylug/chicorylug/internal/ownership"
)

// health is what was last seen of a server.
type health struct {
	probing atomic.Bool

	mu           sync.Mutex
	lastKind     ownership.EvidenceKind
	lastResponse time.Time // last answer to a request or a probe
	lastReport   time.Time // last report of an answer
	drainingFrom time.Time // first of the answers in a row that said that the server leaves
}

// probeDue reports that nothing was answered within the probe period.
func (h *health) probeDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.lastResponse) >= probePeriod
}

// recordResponse notes an recordResponse and tells whether it is worth a report, and whether
// the server came back after its process had ended.
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

// updateDraining runs under the lock.
func (h *health) updateDraining(kind ownership.EvidenceKind, now time.Time) {
	if kind != ownership.EvidenceDraining {
		h.drainingFrom = time.Time{}
	} else if h.drainingFrom.IsZero() {
		h.drainingFrom = now
	}
}

// recordFailure notes a failed probe or connection.
func (h *health) recordFailure(kind ownership.EvidenceKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastKind = kind
	h.lastResponse = time.Time{}
}

// drainingSince returns when the server began to say that it is leaving.
func (h *health) drainingSince() (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drainingFrom, !h.drainingFrom.IsZero()
}
