package backend

import (
	"net"
	"time"

	"github.com/chicorylug/chicorylug/internal/httplink"
)

// Reasons for which a run ends early.
const (
	stoppedKilled    = "killed"
	stoppedDeadline  = "deadline"
	stoppedCancelled = "cancelled"
)

const cancelCheck = 20 * time.Millisecond // period at which a run looks for the end of its connection

// work spends the service time. It returns "" when the run went to its end, or
// why it ended early.
func (s *Server) work(conn net.Conn, service time.Duration, deadline time.Time) string {
	end := time.Now().Add(service)
	for {
		left := time.Until(end)
		time.Sleep(min(left, cancelCheck))
		if !s.waitThawed() {
			return stoppedKilled
		}
		if s.pastDeadline(deadline) {
			return stoppedDeadline
		}
		if left <= cancelCheck {
			return ""
		}
		if httplink.Closed(conn) {
			return stoppedCancelled
		}
	}
}

func (s *Server) pastDeadline(deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.faults.IgnoreDeadline && !deadline.IsZero() && time.Now().After(deadline)
}
