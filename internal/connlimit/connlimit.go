// Package connlimit bounds the connections of callers. When there are as many as the
// process may have, or no memory for another one, it closes the one that is needed least:
// first those whose request's head takes long, then the idle ones, then those whose
// request's head is still on its way, then those whose callers make no progress with a body
// or an answer, the oldest first. If each has a request in progress, the new connection is
// closed.
package connlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/bytebudget"
)

// ConnectionBytes is the memory of one connection: the buffers for a request's head and for
// an answer's, a goroutine's stack and the request's state.
const ConnectionBytes = 36 << 10

// headTime is how long a caller may take to send the head of a request before its connection
// goes before idle ones.
const headTime = time.Second

// state is what a connection is used for.
type state int

// States of a connection.
const (
	headless state = iota // the head of a request is awaited
	idle                  // the last request has been answered
	busy                  // a request is in progress
)

// need says how much a connection is needed. Those that are needed least are closed first
// when there are too many.
type need int

// Needs in ascending order. A connection with a request that gets on is not closed.
const (
	slowHead   need = iota // headless for longer than headTime
	unused                 // idle
	newHead                // headless: a request may be on its way
	stalled                // busy, and the caller makes no progress
	inProgress             // busy
)

// Closed counts the connections that were closed because there were too many.
type Closed struct {
	Headless, Idle, Stalled, New atomic.Int64
}

// Limiter bounds the connections of callers. It is safe for concurrent use.
type Limiter struct {
	limit  int
	budget *bytebudget.Budget
	closed Closed

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a limiter of limit connections, whose memory counts against a budget.
func New(limit int, budget *bytebudget.Budget) *Limiter {
	return &Limiter{limit: limit, budget: budget, conns: map[*Conn]struct{}{}}
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Limit returns the number of connections that may be open.
func (l *Limiter) Limit() int { return l.limit }

// Closed returns the counters of closed connections.
func (l *Limiter) Closed() *Closed { return &l.closed }

// Listener returns a listener that accepts connections from another one within the limit.
// Its connections are of type *Conn.
func (l *Limiter) Listener(from net.Listener) net.Listener {
	return &listener{Listener: from, limiter: l}
}

// listener is a listener with a limit.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.limiter.admit(conn, time.Now()); admitted != nil {
			return admitted, nil
		}
		l.limiter.closed.New.Add(1)
		_ = conn.Close()
	}
}

// admit returns the connection of a caller, or nil if there is no room for it. If there is no
// memory, it takes the place of one other connection.
func (l *Limiter) admit(raw net.Conn, now time.Time) *Conn {
	c := &Conn{Conn: raw, limiter: l, since: now}
	c.memory = l.budget.NewHolder(c.giveWay)
	for l.Open() >= l.limit {
		if !l.CloseOne() {
			return nil
		}
	}
	if !c.takeMemory(now) && !l.replaceOne(c, now) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// CloseOne closes the connection that is needed least. It reports false if each has a
// request in progress that gets on.
func (l *Limiter) CloseOne() bool {
	return l.closeOne(stalled) != nil
}

// replaceOne closes the connection that is needed least and gives its memory to a new one. It
// reports false if the new one has no memory.
func (l *Limiter) replaceOne(c *Conn, now time.Time) bool {
	victim := l.removeCounted(stalled)
	if victim == nil {
		return false
	}
	victim.memory.Pass(c.memory, bytebudget.Connection)
	_ = victim.Conn.Close()
	return c.memory.Holds(bytebudget.Connection) || c.takeMemory(now)
}

// MakeRoomForBody closes connections without a request, as many as have to be closed before
// a body may take so many bytes and as connections take room from bodies.
func (l *Limiter) MakeRoomForBody(bytes int64) {
	for l.budget.ConnectionsInTheWay(bytes) > 0 {
		if l.closeOne(newHead) == nil {
			return
		}
	}
}

// closeOne closes and returns the connection that is needed least, or nil if each is needed
// more than the given need says.
func (l *Limiter) closeOne(most need) *Conn {
	victim := l.removeCounted(most)
	if victim == nil {
		return nil
	}
	// The goroutine that serves it ends now, and gives the rest back.
	victim.memory.GiveAll(bytebudget.Connection)
	_ = victim.Conn.Close()
	return victim
}

// removeCounted is removeOne that counts the connection as closed.
func (l *Limiter) removeCounted(most need) *Conn {
	victim, was := l.removeOne(most, time.Now())
	if victim == nil {
		return nil
	}
	switch was {
	case headless:
		l.closed.Headless.Add(1)
	case idle:
		l.closed.Idle.Add(1)
	default:
		l.closed.Stalled.Add(1)
	}
	return victim
}

// removeOne removes the connection that is needed least from those that are open and needed
// no more than the given need says. It also returns the state of that connection.
func (l *Limiter) removeOne(most need, now time.Time) (*Conn, state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found *Conn
	least := most
	for c := range l.conns {
		n := c.need(now)
		if n < least || (n == least && (found == nil || c.since.Before(found.since))) {
			found, least = c, n
		}
	}
	if found == nil {
		return nil, busy
	}
	delete(l.conns, found)
	found.removed = true
	return found, found.state
}

// Track is a hook for fasthttp.Server.ConnState.
func (l *Limiter) Track(conn net.Conn, s fasthttp.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch s {
	case fasthttp.StateIdle:
		c.delivered()
	case fasthttp.StateActive:
		l.set(c, headless)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		l.remove(c)
		c.memory.Release()
	}
}

func (l *Limiter) set(c *Conn, s state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state != s {
		c.state, c.since = s, time.Now()
	}
}

func (l *Limiter) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
