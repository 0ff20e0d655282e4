package netx

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/chicorylug/chicorylug/internal/linkroom"
)

// Listen returns a listener for TCP connections on address (ip:port). Kill closes it
// and its connections.
func (n *Network) Listen(address string) (net.Listener, error) {
	return n.listen(address, linkroom.Control)
}

func (n *Network) listen(address string, class linkroom.Class) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedListener{Listener: listener, network: n, class: class}
	return tracked, n.track(tracked)
}

// Kill closes all listeners and connections at once and refuses new ones, as at the
// loss of the process.
func (n *Network) Kill() {
	n.mu.Lock()
	n.killed = true
	open := n.open
	n.open = nil
	n.mu.Unlock()
	for closer := range open {
		_ = closer.Close()
	}
}

// track records an open listener or connection for Kill. After Kill, it closes the
// listener or connection and returns ErrClosed.
func (n *Network) track(closer io.Closer) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed {
		go func() { _ = closer.Close() }()
		return ErrClosed
	}
	if n.open == nil {
		n.open = map[io.Closer]struct{}{}
	}
	n.open[closer] = struct{}{}
	return nil
}

func (n *Network) untrack(closer io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, closer)
}

// trackedListener is a listener that Kill closes, as it does its connections.
type trackedListener struct {
	net.Listener
	network *Network
	class   linkroom.Class // of what its connections carry
}

// acceptPause is the time after which a listener tries again to accept a connection when
// the process had no descriptor or memory left for it.
const acceptPause = 20 * time.Millisecond

// OnExhausted has f called each time a connection can't be accepted because the process has
// no descriptor left. It must be called before the first Listen.
func (n *Network) OnExhausted(f func()) { n.exhausted = f }

// Accept implements net.Listener. A lack of descriptors or memory does not end it.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for isShortage(err) {
		if l.network.exhausted != nil {
			l.network.exhausted()
		}
		time.Sleep(acceptPause)
		conn, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{TCPConn: conn.(*net.TCPConn), network: l.network}
	return newLinkConn(tracked, l.network.link, l.class), l.network.track(tracked)
}

// isShortage reports whether an error of accept says that the process or the machine lacks
// descriptors or memory at the moment.
func isShortage(err error) bool {
	for _, shortage := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// Close implements net.Listener.
func (l *trackedListener) Close() error {
	l.network.untrack(l)
	return l.Listener.Close()
}

// trackedConn is an accepted connection that Kill closes.
type trackedConn struct {
	*net.TCPConn
	network *Network
	once    sync.Once
}

// NetConn returns the underlying TCP connection.
func (c *trackedConn) NetConn() *net.TCPConn { return c.TCPConn }

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.once.Do(func() { c.network.untrack(c) })
	return c.TCPConn.Close()
}
