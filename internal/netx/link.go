package netx

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/linkroom"
)

// progressPeriod is the time after which a connection that waits for the link says so again.
const progressPeriod = 250 * time.Millisecond

// SetLink has the connections that are opened and accepted from now on share a link. Nil
// stands for a link of unknown bandwidth, on which nothing waits.
func (n *Network) SetLink(room *linkroom.Room) { n.link = room }

// DialTraffic is Dial for a connection to a server that runs callers' requests. It counts
// against a quota until it is closed; DialTraffic fails with ErrQuota if none is left. What
// the server sends before it is read is bounded on a narrow link.
func (n *Network) DialTraffic(q *Quota, address string) (net.Conn, error) {
	if !q.take() {
		return nil, ErrQuota
	}
	conn, err := n.dial(address)
	if err != nil {
		q.give()
		return nil, err
	}
	fault := conn.(*faultConn)
	fault.quota = q
	if n.link == nil {
		return conn, nil
	}
	if window := n.link.ReceiveWindow(); window > 0 {
		if err := fault.SetReadBuffer(window); err != nil {
			_ = conn.Close()
			return nil, errors.Wrapf(err, "set the receive buffer of %s", address)
		}
	}
	return newLinkConn(conn, n.link, linkroom.Traffic), nil
}

// ListenTraffic is Listen for connections of callers.
func (n *Network) ListenTraffic(address string) (net.Listener, error) {
	return n.listen(address, linkroom.Traffic)
}

// waitLimit is the deadline of the reads or writes of a connection, which ends their waits for
// the link.
type waitLimit struct {
	deadline atomic.Pointer[time.Time] // nil before it is set
	changed  chan struct{}             // of capacity 1
}

func newWaitLimit() waitLimit { return waitLimit{changed: make(chan struct{}, 1)} }

// set sets the deadline, which also holds for a wait that has begun.
func (l *waitLimit) set(t time.Time) {
	l.deadline.Store(&t)
	select {
	case l.changed <- struct{}{}:
	default: // who waits will see this deadline
	}
}

// bound returns the earlier one of a time and the deadline.
func (l *waitLimit) bound(at time.Time) time.Time {
	set := l.deadline.Load()
	if set == nil || set.IsZero() || at.Before(*set) {
		return at
	}
	return *set
}

// linkConn is a connection whose large messages wait for their time on the link.
type linkConn struct {
	net.Conn
	room  *linkroom.Room
	class linkroom.Class

	// received and sent are the bytes of the message that is being read or written: the
	// next write begins another one to be read, and the other way round.
	received atomic.Int64
	sent     atomic.Int64
	paced    atomic.Bool    // the rest of the message is read at the time of reading
	reading  *linkroom.Flow // of the messages that are read

	read, write waitLimit
	progress    atomic.Pointer[func()] // nil before it is set

	closeOnce sync.Once
	closed    chan struct{}
}

func newLinkConn(conn net.Conn, room *linkroom.Room, class linkroom.Class) net.Conn {
	if room == nil {
		return conn
	}
	return &linkConn{
		Conn: conn, room: room, class: class, reading: room.In.NewFlow(class),
		read: newWaitLimit(), write: newWaitLimit(), closed: make(chan struct{}),
	}
}

// Read implements net.Conn. The connections between daemons are only counted: their
// messages overlap, and their sender paces them.
func (c *linkConn) Read(p []byte) (int, error) {
	if c.class == linkroom.Traffic {
		c.sent.Store(0)
		if c.paced.Load() {
			c.await(c.reading, &c.read)
		}
		p = p[:min(len(p), linkroom.ChunkBytes)]
	}
	count, err := c.Conn.Read(p)
	if count <= 0 {
		return count, err
	}
	now := time.Now()
	if c.class != linkroom.Traffic || c.received.Add(int64(count)) <= linkroom.SmallBytes {
		c.room.In.Count(c.class, count, now)
		return count, err
	}
	c.reading.Next(count, linkroom.UnknownLength, now)
	c.paced.Store(true)
	return count, err
}

// Write implements net.Conn.
func (c *linkConn) Write(p []byte) (int, error) {
	if c.class == linkroom.Traffic {
		c.received.Store(0)
		c.paced.Store(false)
	}
	if c.sent.Add(int64(len(p))) <= linkroom.SmallBytes || (c.class == linkroom.Control && len(p) <= linkroom.SmallBytes) {
		c.room.Out.Count(c.class, len(p), time.Now())
		return c.Conn.Write(p)
	}
	return c.writePaced(p)
}

// writePaced writes in chunks, each at its time.
func (c *linkConn) writePaced(p []byte) (int, error) {
	flow := c.room.Out.NewFlow(c.class)
	written := 0
	for written < len(p) {
		chunk := p[written:min(written+linkroom.ChunkBytes, len(p))]
		flow.Next(len(chunk), len(p)-written, time.Now())
		c.await(flow, &c.write)
		c.noteProgress()
		count, err := c.Conn.Write(chunk)
		written += count
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// await returns when the current part of a flow may pass, at the deadline, or when the
// connection is closed.
func (c *linkConn) await(flow *linkroom.Flow, limit *waitLimit) {
	for {
		wait := time.Until(limit.bound(flow.At()))
		if wait <= 0 {
			return
		}
		timer := time.NewTimer(min(wait, progressPeriod))
		select {
		case <-timer.C:
			c.noteProgress()
		case <-limit.changed:
			timer.Stop()
		case <-c.closed:
			timer.Stop()
			return
		}
	}
}

// SetProgress has the connection call a function before each part of a large message that it
// writes, and each progressPeriod while it waits for its time on the link. It is called by the
// goroutine that reads or writes.
func (c *linkConn) SetProgress(progress func()) { c.progress.Store(&progress) }

func (c *linkConn) noteProgress() {
	if progress := c.progress.Load(); progress != nil {
		(*progress)()
	}
}

// SetReadDeadline implements net.Conn.
func (c *linkConn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *linkConn) SetWriteDeadline(t time.Time) error {
	c.write.set(t)
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *linkConn) SetDeadline(t time.Time) error {
	c.read.set(t)
	c.write.set(t)
	return c.Conn.SetDeadline(t)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// NetConn returns the underlying TCP connection.
func (c *linkConn) NetConn() *net.TCPConn {
	return c.Conn.(interface{ NetConn() *net.TCPConn }).NetConn()
}

// SyscallConn implements syscall.Conn.
func (c *linkConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
