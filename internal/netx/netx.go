// Package netx opens the connections and listeners of one daemon. Tests and
// experiments use it to block the daemon's connections to peers, to emulate the
// network delay between availability zones and to simulate the loss of the process.
// Without such faults the connections behave as usual.
package netx

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/linkroom"
)

// DialTimeout is the time within which a connection has to be established.
const DialTimeout = 300 * time.Millisecond

// ErrClosed reports that a connection was closed while its address was blocked, or
// that the network was closed by Kill.
var ErrClosed = errors.New("netx: connection closed")

// Faults holds the faults that a test injects into the outgoing connections of a
// daemon.
type Faults struct {
	// Blocked lists the addresses (host:port) to and from which no data passes.
	// Reads and writes of open connections block, and dials time out.
	Blocked []string `json:"blocked"`
}

// Network opens the connections and listeners of one daemon. The zero value has no
// faults.
type Network struct {
	// Delay returns the one-way network delay to an address (host:port). Nil means
	// no delay.
	Delay func(address string) time.Duration

	link *linkroom.Room // nil if the bandwidth of the link is not known

	mu            sync.Mutex
	blocked       map[string]struct{}
	faultsChanged chan struct{} // closed at the next change of the faults
	killed        bool
	open          map[io.Closer]struct{} // listeners and connections that Kill closes
	exhausted     func()                 // see OnExhausted
}

// SetFaults replaces the faults. Blocked reads, writes and dials check the new ones.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = map[string]struct{}{}
	for _, address := range f.Blocked {
		n.blocked[address] = struct{}{}
	}
	if n.faultsChanged != nil {
		close(n.faultsChanged)
	}
	n.faultsChanged = make(chan struct{})
}

// blockedUntil returns nil if the address is not blocked, or else a channel that is
// closed at the next change of the faults.
func (n *Network) blockedUntil(address string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, blocked := n.blocked[address]; !blocked {
		return nil
	}
	return n.faultsChanged
}

func (n *Network) delay(address string) time.Duration {
	if n.Delay == nil {
		return 0
	}
	return n.Delay(address)
}

// Dial opens a TCP connection to address (host:port). While the address is blocked,
// it waits at most DialTimeout for the end of the fault. The dial itself takes at
// most DialTimeout too.
func (n *Network) Dial(address string) (net.Conn, error) {
	conn, err := n.dial(address)
	if err != nil {
		return nil, err
	}
	return newLinkConn(conn, n.link, linkroom.Control), nil
}

// dial is Dial without a share of the link.
func (n *Network) dial(address string) (net.Conn, error) {
	timeout := time.NewTimer(DialTimeout)
	defer timeout.Stop()
	for {
		changed := n.blockedUntil(address)
		if changed == nil {
			break
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.Errorf("%s: address is blocked by a fault: timeout", address)}
		}
	}
	time.Sleep(n.delay(address))
	conn, err := newDialer().Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	if err := limitUnacknowledged(tcp); err != nil {
		_ = conn.Close()
		return nil, err
	}
	wrapped := &faultConn{TCPConn: tcp, network: n, address: address, closed: make(chan struct{})}
	return wrapped, n.track(wrapped)
}

// faultConn is a connection whose reads and writes block while its address is
// blocked and are delayed as Network.Delay says.
type faultConn struct {
	*net.TCPConn
	network *Network
	address string
	quota   *Quota // nil if the connection counts against none

	once         sync.Once
	closed       chan struct{}
	mu           sync.Mutex
	deadline     time.Time
	lastWasWrite bool
}

// NetConn returns the underlying TCP connection.
func (c *faultConn) NetConn() *net.TCPConn { return c.TCPConn }

func (c *faultConn) Read(p []byte) (int, error) {
	count, err := c.TCPConn.Read(p)
	if blockedErr := c.waitUntilUnblocked(); blockedErr != nil {
		return 0, blockedErr
	}
	c.delayOnDirectionChange(false)
	return count, err
}

func (c *faultConn) Write(p []byte) (int, error) {
	if err := c.waitUntilUnblocked(); err != nil {
		return 0, err
	}
	c.delayOnDirectionChange(true)
	return c.TCPConn.Write(p)
}

// delayOnDirectionChange sleeps for the delay at the first read after a write and at
// the first write after a read.
func (c *faultConn) delayOnDirectionChange(isWrite bool) {
	delay := c.network.delay(c.address)
	if delay == 0 {
		return
	}
	c.mu.Lock()
	directionChanged := c.lastWasWrite != isWrite
	c.lastWasWrite = isWrite
	c.mu.Unlock()
	if directionChanged {
		time.Sleep(delay)
	}
}

// waitUntilUnblocked waits until the address is not blocked. It fails at the deadline
// that SetDeadline has set and when the connection is closed.
func (c *faultConn) waitUntilUnblocked() error {
	for {
		changed := c.network.blockedUntil(c.address)
		if changed == nil {
			return nil
		}
		timeout, stopTimer := c.deadlineTimer()
		select {
		case <-changed:
			stopTimer()
		case <-timeout:
			stopTimer()
			return &net.OpError{Op: "stall", Net: "tcp", Err: errors.New("timeout")}
		case <-c.closed:
			stopTimer()
			return ErrClosed
		}
	}
}

// deadlineTimer returns a channel that receives at the deadline that SetDeadline has
// set, or nil if there is none, and a function that stops the timer.
func (c *faultConn) deadlineTimer() (<-chan time.Time, func()) {
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
	c.once.Do(func() {
		close(c.closed)
		if c.quota != nil {
			c.quota.give()
		}
	})
	c.network.untrack(c)
	return c.TCPConn.Close()
}
