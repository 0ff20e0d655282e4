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

	mu       sync.Mutex
	last     ownership.EvidenceKind
	answered time.Time // last answer to a request or a probe
	reported time.Time // last report of an answer
	drains   time.Time // first of the answers in a row that said that the server leaves
}

// silent reports that nothing was answered within the probe period.
func (h *health) silent(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.answered) >= probePeriod
}

// answer notes an answer and tells whether it is worth a report, and whether
// the server came back after its process had ended.
func (h *health) answer(kind ownership.EvidenceKind, now time.Time) (report, returned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered = now
	h.noteDrain(kind, now)
	if h.last == kind && now.Sub(h.reported) < reportPeriod {
		return false, false
	}
	returned = h.last == ownership.EvidenceRefused
	h.last = kind
	h.reported = now
	return true, returned
}

// noteDrain runs under the lock.
func (h *health) noteDrain(kind ownership.EvidenceKind, now time.Time) {
	if kind != ownership.EvidenceDraining {
		h.drains = time.Time{}
	} else if h.drains.IsZero() {
		h.drains = now
	}
}

// fail notes a failed probe or connection.
func (h *health) fail(kind ownership.EvidenceKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = kind
	h.answered = time.Time{}
}

// drainingSince returns when the server began to say that it is leaving.
func (h *health) drainingSince() (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drains, !h.drains.IsZero()
}
