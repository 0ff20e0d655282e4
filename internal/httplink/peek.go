package httplink

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// reusable reports whether an idle connection can be used for another request: the peer
// has neither closed it nor sent unsolicited bytes.
func reusable(conn net.Conn) bool { return peek(conn) == peekNothing }

// Closed reports whether the peer closed the connection. While received bytes are
// unread, a close after them is not detected.
func Closed(conn net.Conn) bool { return peek(conn) == peekClosed }

// peekResult is the state of a connection's receive side.
type peekResult int

const (
	peekNothing peekResult = iota // open, and no bytes received
	peekBytes                     // bytes received
	peekClosed                    // closed by the peer, or failed
)

// peek inspects the receive side of a connection without consuming bytes or blocking.
func peek(conn net.Conn) peekResult {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return peekNothing
	}
	control, err := sys.SyscallConn()
	if err != nil {
		return peekClosed
	}
	found := peekClosed
	_ = control.Control(func(fd uintptr) {
		var one [1]byte
		count, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = peekResultOf(count, errno)
	})
	return found
}

func peekResultOf(count int, errno error) peekResult {
	switch {
	case errno == syscall.EAGAIN || errno == syscall.EINTR:
		return peekNothing
	case errno == nil && count > 0:
		return peekBytes
	default:
		return peekClosed
	}
}

// unacknowledged returns the number of bytes that were written and that the peer's kernel has
// not acknowledged, also of a connection that has ended. It is zero if that cannot be told.
func unacknowledged(conn net.Conn) int {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := sys.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	_ = control.Control(func(fd uintptr) {
		if count, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			queued = count
		}
	})
	return queued
}
