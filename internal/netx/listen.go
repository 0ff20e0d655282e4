package netx

import (
	"io"
	"net"
	"sync"
)

// Listen accepts TCP connections on address (ip:port) until the listener or the
// network is closed.
func (n *Network) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedListener{Listener: listener, network: n}
	return tracked, n.track(tracked)
}

// Kill closes all listeners and connections at once and refuses new ones, as
// the loss of the process would.
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

// track remembers an open listener or connection; after Kill it closes it and
// returns ErrClosed.
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

func (n *Network) forget(closer io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, closer)
}

type trackedListener struct {
	net.Listener
	network *Network
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{TCPConn: conn.(*net.TCPConn), network: l.network}
	return tracked, l.network.track(tracked)
}

// Close implements net.Listener.
func (l *trackedListener) Close() error {
	l.network.forget(l)
	return l.Listener.Close()
}

type trackedConn struct {
	*net.TCPConn
	network *Network
	once    sync.Once
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.once.Do(func() { c.network.forget(c) })
	return c.TCPConn.Close()
}
