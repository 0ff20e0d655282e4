// Package netx dials connections on behalf of one daemon. Tests and experiments
// use it to cut the daemon off from peers and to emulate the delay between
// availability zones; a daemon started without test faults dials plainly.
package netx

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// DialTimeout bounds the set-up of one connection.
const DialTimeout = 300 * time.Millisecond

// ErrClosed says that a connection was closed while it was cut off.
var ErrClosed = errors.New("netx: connection closed")

// Faults describe what a test does to the outgoing connections of a daemon.
type Faults struct {
	// Blocked lists addresses (host:port) to which nothing passes. Open
	// connections stall, new ones time out.
	Blocked []string `json:"blocked"`
}

// Network dials for one daemon. The zero value has no faults.
type Network struct {
	// Delay returns the one-way delay to an address; nil means none.
	Delay func(address string) time.Duration

	mu      sync.Mutex
	blocked map[string]struct{}
	changed chan struct{}
	killed  bool
	open    map[io.Closer]struct{}
}

// SetFaults replaces the faults and wakes stalled connections.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = map[string]struct{}{}
	for _, address := range f.Blocked {
		n.blocked[address] = struct{}{}
	}
	if n.changed != nil {
		close(n.changed)
	}
	n.changed = make(chan struct{})
}

// wait returns a channel that closes at the next change of faults, or nil when
// the address is open.
func (n *Network) wait(address string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, blocked := n.blocked[address]; !blocked {
		return nil
	}
	return n.changed
}

func (n *Network) delay(address string) time.Duration {
	if n.Delay == nil {
		return 0
	}
	return n.Delay(address)
}

// Dial opens a TCP connection within DialTimeout.
func (n *Network) Dial(address string) (net.Conn, error) {
	timeout := time.NewTimer(DialTimeout)
	defer timeout.Stop()
	for {
		changed := n.wait(address)
		if changed == nil {
			break
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.Errorf("%s: timeout", address)}
		}
	}
	time.Sleep(n.delay(address))
	conn, err := net.DialTimeout("tcp", address, DialTimeout)
	if err != nil {
		return nil, err
	}
	wrapped := &faultConn{TCPConn: conn.(*net.TCPConn), network: n, address: address, closed: make(chan struct{})}
	return wrapped, n.track(wrapped)
}

// faultConn stalls while its address is blocked and delays writes and answers.
type faultConn struct {
	*net.TCPConn
	network *Network
	address string

	once     sync.Once
	closed   chan struct{}
	mu       sync.Mutex
	deadline time.Time
	wrote    bool
}

// NetConn returns the TCP connection underneath.
func (c *faultConn) NetConn() *net.TCPConn { return c.TCPConn }

func (c *faultConn) Read(p []byte) (int, error) {
	count, err := c.TCPConn.Read(p)
	if stallErr := c.stall(); stallErr != nil {
		return 0, stallErr
	}
	c.delayOnce(false)
	return count, err
}

func (c *faultConn) Write(p []byte) (int, error) {
	if err := c.stall(); err != nil {
		return 0, err
	}
	c.delayOnce(true)
	return c.TCPConn.Write(p)
}

// delayOnce delays the first read after a write and the first write after a read.
func (c *faultConn) delayOnce(write bool) {
	delay := c.network.delay(c.address)
	if delay == 0 {
		return
	}
	c.mu.Lock()
	turn := c.wrote != write
	c.wrote = write
	c.mu.Unlock()
	if turn {
		time.Sleep(delay)
	}
}

func (c *faultConn) stall() error {
	for {
		changed := c.network.wait(c.address)
		if changed == nil {
			return nil
		}
		timeout, stop := c.expiry()
		select {
		case <-changed:
			stop()
		case <-timeout:
			stop()
			return &net.OpError{Op: "stall", Net: "tcp", Err: errors.New("timeout")}
		case <-c.closed:
			stop()
			return ErrClosed
		}
	}
}

// expiry returns a channel that fires at the connection's deadline.
func (c *faultConn) expiry() (<-chan time.Time, func()) {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(deadline))
	return timer.C, func() { timer.Stop() }
}

func (c *faultConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.TCPConn.SetDeadline(t)
}

func (c *faultConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.forget(c)
	return c.TCPConn.Close()
}
