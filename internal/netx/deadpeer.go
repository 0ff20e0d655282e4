package netx

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Times after which the kernel ends a connection whose peer is gone, together about 3 s.
// A peer whose process is only slow or frozen still acknowledges.
const (
	keepAliveIdle         = time.Second // silence before the first probe
	keepAliveInterval     = time.Second // between probes
	keepAliveProbes       = 2           // probes without an answer that end the connection
	unacknowledgedTimeout = 3 * time.Second
)

// newDialer returns a dialer whose connections are probed while they are silent.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
}

// limitUnacknowledged has the kernel end the connection when sent bytes are not
// acknowledged within unacknowledgedTimeout. Keep-alive probes alone do not show that,
// since none are sent while bytes are on their way.
func limitUnacknowledged(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Wrapf(err, "set the time limit for acknowledgements of %s", conn.RemoteAddr())
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	return errors.Wrapf(err, "set the time limit for acknowledgements of %s", conn.RemoteAddr())
}
