package dispatcher

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// newWork returns a request for the fixture's server with a deadline after timeout.
func newWork(path string, timeout time.Duration) *fasthttp.Request {
	w := &wire.Work{
		Request:  model.RequestID(path),
		Server:   testRef,
		Rank:     "urgent",
		Shard:    model.NoShard,
		Deadline: time.Now().Add(timeout),
	}
	request := &fasthttp.Request{}
	request.SetRequestURI(path)
	request.Header.SetHost("callers")
	w.Write(&request.Header)
	return request
}

// send sends a request on a new connection and returns the response and its refusal, if any.
func (f *fixture) send(t *testing.T, request *fasthttp.Request) (*fasthttp.Response, *reason.Error) {
	conn, err := net.Dial("tcp", f.dispatcher.config.DispatchAddress)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	return exchange(t, conn, request)
}

func exchange(t *testing.T, conn net.Conn, request *fasthttp.Request) (*fasthttp.Response, *reason.Error) {
	_, err := request.WriteTo(conn)
	must.NoError(t, err)
	response := &fasthttp.Response{}
	must.NoError(t, response.Read(bufio.NewReader(conn)))
	if len(response.Header.Peek(wire.HeaderReason)) == 0 {
		return response, nil
	}
	refusal, err := reason.Parse(response.Body())
	must.NoError(t, err)
	return response, refusal
}

func smallPool() settings.Pool {
	return settings.Pool{Slots: 3, Connections: 10, AttemptTimeoutMS: 60_000, SlowStartMS: 1, QueuePerRank: 1000}
}

func TestSlotLimitHoldsUnderParallelRequests(t *testing.T) {
	f := startFixture(t, backend.Options{Slots: 3, ServiceMS: 1}, smallPool())
	var all sync.WaitGroup
	for i := range 200 {
		all.Add(1)
		go func() {
			defer all.Done()
			response, refusal := f.send(t, newWork("/"+strconv.Itoa(i), time.Minute))
			must.Nil(t, refusal)
			must.Eq(t, fasthttp.StatusOK, response.StatusCode())
		}()
	}
	all.Wait()
	stats := f.server.Stats()
	must.Eq(t, 200, stats.Runs)
	must.Eq(t, 0, stats.Refused)
	must.LessEq(t, 10, stats.Connections)
}

func TestAttemptEndsAtItsTimeout(t *testing.T) {
	pool := smallPool()
	pool.AttemptTimeoutMS = 100
	f := startFixture(t, backend.Options{Slots: 3, ServiceMS: 60_000}, pool)
	_, refusal := f.send(t, newWork("/slow", time.Minute))
	must.Eq(t, reason.ServerTimeout, refusal.Code)
	must.Eq(t, reason.Unknown, refusal.Outcome)
	must.Eq(t, 0, f.poll(func() int { return f.server.Stats().InUse }, 0))
}

func TestRequestIsCancelledWhenItsEntryDisconnects(t *testing.T) {
	f := startFixture(t, backend.Options{Slots: 3, ServiceMS: 60_000}, smallPool())
	conn, err := net.Dial("tcp", f.dispatcher.config.DispatchAddress)
	must.NoError(t, err)
	_, err = newWork("/slow", time.Hour).WriteTo(conn)
	must.NoError(t, err)
	must.Eq(t, 1, f.poll(func() int { return f.server.Stats().InUse }, 1))
	must.NoError(t, conn.Close())
	must.Eq(t, 0, f.poll(func() int { return f.server.Stats().InUse }, 0))
	must.Eq(t, "cancelled", f.server.Runs()[0].Stopped)
}

func TestWaitingRequestsAreRefusedWhenThePermitIsRevoked(t *testing.T) {
	f := startFixture(t, backend.Options{Slots: 3, ServiceMS: 1}, smallPool())
	f.server.SetFaults(backend.Faults{Frozen: true})
	refusals := make(chan *reason.Error, 10)
	for i := range 10 {
		go func() {
			_, refusal := f.send(t, newWork("/"+strconv.Itoa(i), time.Hour))
			refusals <- refusal
		}()
	}
	must.Eq(t, 7, f.poll(func() int { return f.waiting() }, 7))
	f.gate.Apply(nil)
	for range 7 {
		refusal := <-refusals
		must.Eq(t, reason.NotDispatcher, refusal.Code)
		must.Eq(t, reason.NotRun, refusal.Outcome)
	}
	f.server.SetFaults(backend.Faults{})
	for range 3 {
		must.Nil(t, <-refusals)
	}
}

// waiting returns the number of waiting requests of the most urgent rank.
func (f *fixture) waiting() int {
	s := (*f.dispatcher.servers.Load())[testRef]
	if s == nil {
		return 0
	}
	return s.queue.Stats(1).Waiting[0]
}

// A request that crashes its server is in progress at two crashes at most. A request
// that was in progress at the same crashes may run again.
func TestRequestThatCrashesServersStopsAfterTwo(t *testing.T) {
	f := startFixture(t, backend.Options{Slots: 3, ServiceMS: 200}, smallPool())
	for range 2 {
		f.server.SetFaults(backend.Faults{CrashMarker: "bomb"})
		innocent := make(chan *reason.Error, 1)
		go func() {
			_, refusal := f.send(t, newWork("/innocent", time.Minute))
			innocent <- refusal
		}()
		must.Eq(t, 1, f.poll(func() int { return f.server.Stats().InUse }, 1))
		_, refusal := f.send(t, newWork("/bomb", time.Minute))
		must.Eq(t, reason.ServerLost, refusal.Code)
		must.Eq(t, reason.Unknown, refusal.Outcome)
		must.NotEq(t, "", refusal.CrashID)
		<-innocent
		must.NoError(t, f.server.Restart())
	}
	_, refusal := f.send(t, newWork("/bomb", time.Minute))
	must.Eq(t, reason.SuspectedCrash, refusal.Code)
	must.Eq(t, reason.NotRun, refusal.Outcome)
	_, refusal = f.send(t, newWork("/innocent", time.Minute))
	must.Nil(t, refusal)
}

// An entry that closes its connection in the middle of a buffered or a streamed body
// must not make the server run the request with a truncated body.
func TestShortUploadNeverRuns(t *testing.T) {
	f := startFixture(t, backend.Options{Slots: 3}, smallPool())
	for _, size := range []int{100, 10 * maxBufferedBytes} {
		request := newWork("/upload", time.Minute)
		request.Header.SetMethod(fasthttp.MethodPut)
		request.Header.SetContentLength(size)
		conn, err := net.Dial("tcp", f.dispatcher.config.DispatchAddress)
		must.NoError(t, err)
		_, err = conn.Write(append(request.Header.Header(), "begin"...))
		must.NoError(t, err)
		must.NoError(t, conn.Close())
	}
	response, refusal := f.send(t, newWork("/after", time.Minute))
	must.Nil(t, refusal)
	must.Eq(t, fasthttp.StatusOK, response.StatusCode())
	must.Eq(t, 0, f.poll(func() int { return f.server.Stats().InUse }, 0))
	for _, run := range f.server.Runs() {
		must.Eq(t, "/after", run.Path)
	}
}

// A server that gives up at the attempt's deadline may close the connection just before
// the dispatcher's own timer fires: that is a timeout, not a lost server.
func TestConnectionClosedAtDeadlineIsATimeout(t *testing.T) {
	for _, c := range []struct {
		left     time.Duration
		expected bool
	}{{deadlineTolerance / 2, true}, {time.Minute, false}} {
		attempt, cancel := context.WithTimeout(context.Background(), c.left)
		must.Eq(t, c.expected, (&request{attempt: attempt}).attemptOver())
		cancel()
	}
}
