package backend

import (
	"net"
	"syscall"
	"time"
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
		if closedByPeer(conn) {
			return stoppedCancelled
		}
	}
}

func (s *Server) pastDeadline(deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.faults.IgnoreDeadline && !deadline.IsZero() && time.Now().After(deadline)
}

func closedByPeer(conn net.Conn) bool {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		count, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = errno != syscall.EAGAIN && (errno != nil || count == 0)
		return true
	})
	return err != nil || closed
}
