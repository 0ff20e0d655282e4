package connlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/bytebudget"
	"github.com/chicorylug/chicorylug/internal/linkroom"
)

const (
	writePiece = 32 << 10           // an answer is written in pieces of this size, in bytes
	pacedPiece = linkroom.TurnBytes // the same if the connection paces them
	writeStall = 30 * time.Second   // a caller that takes no piece for so long loses its connection
)

// errNotTCP says that a connection has no system call interface.
var errNotTCP = errors.New("connlimit: not a connection of the system")

// pacedConn is a connection on which large messages pass in parts, each at its time.
type pacedConn interface {
	// SetProgress has the connection call a function before each part that it writes, and
	// again and again while a part waits for its time: the caller can't get on then.
	SetProgress(progress func())
}

// Conn is a caller's connection. The memory of the connection, of the request in progress
// and of its answer counts against Memory.
type Conn struct {
	net.Conn
	limiter *Limiter
	memory  *bytebudget.Holder
	writing atomic.Bool // a large answer, which has a deadline for each piece or part

	phaseMu sync.Mutex
	phase   bytebudget.Phase // protected by phaseMu

	// Protected by limiter.mu:
	state   state
	since   time.Time
	removed bool // the limiter closes it
}

// Memory returns the holder of the connection's memory.
func (c *Conn) Memory() *bytebudget.Holder { return c.memory }

// takeMemory takes the connection's own memory. It reports false if there is none.
func (c *Conn) takeMemory(now time.Time) bool {
	verdict, _ := c.memory.Take(bytebudget.Connection, ConnectionBytes, now)
	return verdict == bytebudget.Granted
}

// BeginRequest says that the head of a request has come. It reports false if the connection
// is being closed, so that the request must not be sent on.
func (c *Conn) BeginRequest() bool {
	if paced, ok := c.Conn.(pacedConn); ok {
		paced.SetProgress(c.progressed)
	}
	c.limiter.set(c, busy)
	return !c.Closing()
}

// Closing reports whether the connection was chosen to be closed. Once its body is complete
// and the phase is Busy, a connection is not chosen any more.
func (c *Conn) Closing() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.removed
}

// Enter begins a phase of the request in progress.
func (c *Conn) Enter(phase bytebudget.Phase) {
	c.phaseMu.Lock()
	defer c.phaseMu.Unlock()
	c.phase = phase
	c.memory.Enter(phase, time.Now())
}

// giveWay ends the current phase: a body that is being received is refused, and a caller
// that does not take its answer loses its connection. A demand that comes after the end of
// the phase for which it was made does nothing.
func (c *Conn) giveWay() {
	c.phaseMu.Lock()
	defer c.phaseMu.Unlock()
	if !c.memory.Asked() {
		return
	}
	switch c.phase {
	case bytebudget.Receiving:
		_ = c.SetReadDeadline(time.Now()) // wakes the reader, which asks why
	case bytebudget.Delivering:
		_ = c.Close()
	}
}

// delivered says that the answer has left the process.
func (c *Conn) delivered() {
	c.Enter(bytebudget.Busy)
	c.memory.GiveAll(bytebudget.Body)
	c.memory.GiveAll(bytebudget.Answer)
	c.limiter.set(c, idle)
}

// Write implements net.Conn. It writes in pieces, each of which must be taken in time; on a
// paced connection, each part of a piece must be.
func (c *Conn) Write(p []byte) (int, error) {
	if len(p) <= writePiece {
		return c.Conn.Write(p)
	}
	piece := writePiece
	if _, paced := c.Conn.(pacedConn); paced {
		piece = pacedPiece
	}
	c.writing.Store(true)
	defer c.writing.Store(false)
	written := 0
	for written < len(p) {
		c.progressed()
		n, err := c.Conn.Write(p[written:min(written+piece, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, c.SetWriteDeadline(time.Time{})
}

// progressed says that the caller gets on with its body or answer.
func (c *Conn) progressed() {
	now := time.Now()
	c.memory.Progress(now)
	if c.writing.Load() {
		_ = c.SetWriteDeadline(now.Add(writeStall)) // fails only if it is closed, and then so does the write
	}
}

// need returns how much the connection is needed. It must be called with limiter.mu held.
func (c *Conn) need(now time.Time) need {
	switch {
	case c.state == headless && now.Sub(c.since) > headTime:
		return slowHead
	case c.state == idle:
		return unused
	case c.state == headless:
		return newHead
	case c.memory.Stalled(now):
		return stalled
	default:
		return inProgress
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.limiter.remove(c)
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNotTCP
	}
	return sys.SyscallConn()
}
