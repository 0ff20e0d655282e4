package httplink

import (
	"net"
	"syscall"
)

// reusable reports that the peer neither closed the connection nor sent bytes
// that no request asked for.
func reusable(conn net.Conn) bool { return peek(conn) == peekNothing }

// Closed reports that the peer closed the connection. Bytes that wait to be
// read hide a close behind them.
func Closed(conn net.Conn) bool { return peek(conn) == peekClosed }

type peekResult int

const (
	peekNothing peekResult = iota
	peekBytes
	peekClosed
)

// peek looks at what waits to be read, without reading it.
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
