package connlimit

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/bytebudget"
)

// opened returns a connection that a limiter admitted, or nil if there was no room.
func opened(t *testing.T, l *Limiter) *Conn {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	return l.admit(near, time.Now())
}

func isClosed(c *Conn) bool {
	_ = c.Conn.SetReadDeadline(time.Now()) // fails only if it is closed
	_, err := c.Conn.Read(make([]byte, 1))
	return err != nil && err.Error() != "read pipe: i/o timeout"
}

// Guards against a crowd that keeps callers with requests out, and against callers that lose
// their new connection, with their request on its way, while others are idle: who sends no
// head goes first, then who is idle, then who may be about to send one, then who makes no
// progress; requests that get on stay.
func TestConnectionThatIsNeededLeastIsClosed(t *testing.T) {
	l := New(5, bytebudget.New(1<<20))
	idleConn, fresh, headlessConn := opened(t, l), opened(t, l), opened(t, l)
	stalledConn, served := opened(t, l), opened(t, l)
	idleConn.delivered()
	headlessConn.since = time.Now().Add(-2 * headTime)
	must.True(t, stalledConn.BeginRequest())
	must.True(t, served.BeginRequest())
	stalledConn.memory.Enter(bytebudget.Receiving, time.Now().Add(-time.Minute))
	for _, closes := range []*Conn{headlessConn, idleConn, fresh, stalledConn} {
		must.False(t, isClosed(closes))
		next := opened(t, l)
		must.NotNil(t, next)
		must.True(t, next.BeginRequest())
		must.True(t, isClosed(closes))
		must.False(t, closes.BeginRequest())
	}
	must.Nil(t, opened(t, l))
	must.False(t, isClosed(served))
	must.Eq(t, 5, l.Open())
}

// Guards against a request that meets the close of its connection although the connection
// was idle before, and others still are.
func TestConnectionWhoseNextHeadBeginsIsNotFirst(t *testing.T) {
	l := New(2, bytebudget.New(1<<20))
	begins, idleConn := opened(t, l), opened(t, l)
	begins.delivered()
	idleConn.delivered()
	l.Track(begins, fasthttp.StateActive)
	must.NotNil(t, opened(t, l))
	must.True(t, isClosed(idleConn))
	must.False(t, isClosed(begins))
}

// Guards against connections that are bounded by descriptors alone.
func TestConnectionsStayWithinTheMemory(t *testing.T) {
	budget := bytebudget.New(8 * ConnectionBytes)
	l := New(100, budget)
	for range 20 {
		opened(t, l)
	}
	must.LessEq(t, 8, l.Open())
	must.LessEq(t, budget.Limit(), budget.Used())
}

// Guards against a demand to give way that comes late and ends the next phase or request.
func TestLateDemandEndsNoOtherPhase(t *testing.T) {
	c := opened(t, New(1, bytebudget.New(1<<20)))
	c.Enter(bytebudget.Receiving)
	c.Enter(bytebudget.Busy)
	c.Enter(bytebudget.Delivering)
	c.giveWay()
	must.False(t, isClosed(c))
}

// Guards against one new connection that costs all idle ones while answers hold the memory,
// or that is refused although it takes the place of one.
func TestNewConnectionClosesOneIdleOne(t *testing.T) {
	budget := bytebudget.New(64 * ConnectionBytes)
	l := New(100, budget)
	for range 4 {
		opened(t, l).delivered()
	}
	verdict, _ := budget.NewHolder(func() {}).Take(bytebudget.Answer, budget.Limit()-budget.Used(), time.Now())
	must.Eq(t, bytebudget.Granted, verdict)
	must.NotNil(t, opened(t, l))
	must.Eq(t, 4, l.Open())
	must.Eq(t, 1, l.Closed().Idle.Load())
	must.Eq(t, budget.Limit(), budget.Used())
}

// Guards against a request that is sent on although its connection was chosen to be closed
// before its body was complete.
func TestConnectionChosenDuringTheBodyIsClosing(t *testing.T) {
	l := New(1, bytebudget.New(1<<20))
	c := opened(t, l)
	must.True(t, c.BeginRequest())
	c.memory.Enter(bytebudget.Receiving, time.Now().Add(-time.Minute))
	must.False(t, c.Closing())
	must.True(t, l.CloseOne())
	c.Enter(bytebudget.Busy)
	must.True(t, c.Closing())
}

// currentPhase returns the phase of the request in progress.
func (c *Conn) currentPhase() bytebudget.Phase {
	c.phaseMu.Lock()
	defer c.phaseMu.Unlock()
	return c.phase
}

// Guards against bodies that are refused while idle connections hold the memory, and against
// more closed connections than that takes.
func TestBodyHasIdleConnectionsClosed(t *testing.T) {
	budget := bytebudget.New(64 * ConnectionBytes)
	l := New(100, budget)
	busyConn := opened(t, l)
	must.True(t, busyConn.BeginRequest())
	for range 9 {
		opened(t, l).delivered()
	}
	for _, step := range []struct{ body, open int64 }{{52, 8}, {4, 4}} {
		l.MakeRoomForBody(step.body * ConnectionBytes)
		must.Eq(t, step.open, int64(l.Open()))
		verdict, _ := busyConn.memory.Take(bytebudget.Body, step.body*ConnectionBytes, time.Now())
		must.Eq(t, bytebudget.Granted, verdict)
	}
	l.MakeRoomForBody(ConnectionBytes)
	must.Eq(t, 4, l.Open())
}
