package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// LinkMode is a fault of a link.
type LinkMode string

// Faults of a link. Bytes that a cut or silence holds back are lost: a connection that
// was affected is reset when the fault ends, as by a router that has forgotten it.
const (
	LinkDelay   LinkMode = "delay"    // each piece of data arrives later
	LinkReset   LinkMode = "reset"    // open and new connections are reset
	LinkCutUp   LinkMode = "cut-up"   // nothing reaches the far end
	LinkCutDown LinkMode = "cut-down" // nothing comes back from the far end
	LinkSilence LinkMode = "silence"  // nothing arrives in either direction
	LinkTrickle LinkMode = "trickle"  // few bytes at a time
)

var linkModes = []LinkMode{LinkDelay, LinkReset, LinkCutUp, LinkCutDown, LinkSilence, LinkTrickle}

const (
	// linkDelay stays below the time for which grants that arrive late after a fault
	// are excused.
	linkDelay     = 60 * time.Millisecond
	trickleBytes  = 200
	trickleGap    = 5 * time.Millisecond
	linkPoll      = 5 * time.Millisecond
	linkBufBytes  = 32 << 10
	linkDialLimit = time.Second
)

// Link is a TCP proxy on loopback between two processes, whose faults are switched while
// connections are open.
type Link struct {
	address string

	mu       sync.Mutex
	far      string // address to which connections lead; empty refuses them
	listener net.Listener
	modes    map[LinkMode]int // number of faults of each mode in force
	conns    map[net.Conn]bool
	closed   bool
}

// newLink listens on an address and forwards connections to the far address.
func newLink(address, far string) (*Link, error) {
	l := &Link{address: address, modes: map[LinkMode]int{}, conns: map[net.Conn]bool{}}
	return l, l.connect(far)
}

// connect forwards new connections to another far address.
func (l *Link) connect(far string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.far = far
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return errors.Wrapf(err, "listen on link to %s", far)
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// disconnect refuses new connections until connect, as at the address of an ended process.
func (l *Link) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close() // closing a listener twice is harmless
		l.listener = nil
	}
}

// close ends the link and all its connections.
func (l *Link) close() {
	l.disconnect()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.resetAll()
}

// impair puts a fault in force until the returned function is called.
func (l *Link) impair(mode LinkMode) (end endFunc) {
	l.addMode(mode, 1)
	if mode == LinkReset {
		l.resetAll()
	}
	return func() error {
		l.addMode(mode, -1)
		return nil
	}
}

func (l *Link) addMode(mode LinkMode, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.modes[mode] += change
}

func (l *Link) has(mode LinkMode) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.modes[mode] > 0
}

func (l *Link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *Link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go l.forward(conn)
	}
}

func (l *Link) forward(near net.Conn) {
	l.mu.Lock()
	far := l.far
	l.mu.Unlock()
	if l.has(LinkReset) || l.isClosed() {
		reset(near)
		return
	}
	conn, err := net.DialTimeout("tcp", far, linkDialLimit)
	if err != nil {
		reset(near) // the far process has ended
		return
	}
	l.track(near, conn)
	var up sync.WaitGroup
	up.Go(func() { l.copy(conn, near, LinkCutUp) })
	l.copy(near, conn, LinkCutDown)
	up.Wait()
	l.forget(near)
	l.forget(conn)
}

func (l *Link) track(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = true
	}
}

// copy forwards bytes in one direction under the link's faults. cut is the fault that
// interrupts this direction.
func (l *Link) copy(to, from net.Conn, cut LinkMode) {
	buf := make([]byte, linkBufBytes)
	for {
		n, err := from.Read(buf)
		if l.holdBack(cut) {
			break
		}
		if l.has(LinkDelay) {
			time.Sleep(linkDelay)
		}
		if n > 0 && l.write(to, buf[:n]) != nil {
			break
		}
		if err == io.EOF {
			closeWrite(to)
			return
		}
		if err != nil {
			break
		}
	}
	reset(from)
	reset(to)
}

// holdBack waits while the direction is interrupted and reports whether it was.
func (l *Link) holdBack(cut LinkMode) (held bool) {
	for (l.has(cut) || l.has(LinkSilence)) && !l.isClosed() {
		held = true
		time.Sleep(linkPoll)
	}
	return held
}

func (l *Link) write(to net.Conn, data []byte) error {
	for l.has(LinkTrickle) && len(data) > trickleBytes {
		if _, err := to.Write(data[:trickleBytes]); err != nil {
			return err
		}
		data = data[trickleBytes:]
		time.Sleep(trickleGap)
	}
	_, err := to.Write(data)
	return err
}

// closeWrite passes on that one side has sent all that it will send.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only if the connection has ended
	}
}

// forget closes a connection that both sides have ended.
func (l *Link) forget(conn net.Conn) {
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
	_ = conn.Close() // fails if it was reset
}

func (l *Link) resetAll() {
	l.mu.Lock()
	conns := l.conns
	l.conns = map[net.Conn]bool{}
	l.mu.Unlock()
	for conn := range conns {
		reset(conn)
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	_ = conn.Close()
}
