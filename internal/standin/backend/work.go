package backend

import (
	"net"
	"time"

	"github.com/chicorylug/chicorylug/internal/httplink"
)

// Values of Run.Stopped.
const (
	stoppedKilled    = "killed"
	stoppedDeadline  = "deadline"
	stoppedCancelled = "cancelled"
)

// cancelCheckPeriod is how often a run checks whether the caller has closed the connection.
const cancelCheckPeriod = 20 * time.Millisecond

// simulateWork sleeps for the service time. It returns "" when the run completed, or
// why it ended early.
func (s *Server) simulateWork(conn net.Conn, service time.Duration, deadline time.Time) string {
	end := time.Now().Add(service)
	for {
		left := time.Until(end)
		time.Sleep(min(left, cancelCheckPeriod))
		if !s.waitWhileFrozen() {
			return stoppedKilled
		}
		if s.deadlinePassed(deadline) {
			return stoppedDeadline
		}
		if left <= cancelCheckPeriod {
			return ""
		}
		if httplink.Closed(conn) {
			return stoppedCancelled
		}
	}
}

func (s *Server) deadlinePassed(deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.faults.IgnoreDeadline && !deadline.IsZero() && time.Now().After(deadline)
}
