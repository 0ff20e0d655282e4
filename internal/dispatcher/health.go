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
}

// silent reports that nothing was answered within the probe period.
func (h *health) silent(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.answered) >= probePeriod
}

// answer notes an answer and tells whether it is worth a report.
func (h *health) answer(kind ownership.EvidenceKind, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered = now
	if h.last == kind && now.Sub(h.reported) < reportPeriod {
		return false
	}
	h.last = kind
	h.reported = now
	return true
}

// fail notes a failed probe or connection.
func (h *health) fail(kind ownership.EvidenceKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = kind
	h.answered = time.Time{}
}
