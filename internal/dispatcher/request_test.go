package dispatcher

import (
	"bufio"
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

// work returns a request for the bench's server.
func work(path string, patience time.Duration) *fasthttp.Request {
	w := &wire.Work{
		Request:  model.RequestID(path),
		Server:   testRef,
		Rank:     "urgent",
		Shard:    model.NoShard,
		Deadline: time.Now().Add(patience),
	}
	request := &fasthttp.Request{}
	request.SetRequestURI(path)
	request.Header.SetHost("callers")
	w.Write(&request.Header)
	return request
}

// send sends a request on a connection of its own and returns answer and refusal.
func (b *bench) send(t *testing.T, request *fasthttp.Request) (*fasthttp.Response, *reason.Error) {
	conn, err := net.Dial("tcp", b.dispatcher.config.DispatchAddress)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	return exchange(t, conn, request)
}

func exchange(t *testing.T, conn net.Conn, request *fasthttp.Request) (*fasthttp.Response, *reason.Error) {
	_, err := request.WriteTo(conn)
	must.NoError(t, err)
	answer := &fasthttp.Response{}
	must.NoError(t, answer.Read(bufio.NewReader(conn)))
	if len(answer.Header.Peek(wire.HeaderReason)) == 0 {
		return answer, nil
	}
	refusal, err := reason.Parse(answer.Body())
	must.NoError(t, err)
	return answer, refusal
}

func smallPool() settings.Pool {
	return settings.Pool{Slots: 3, Connections: 10, AttemptTimeoutMS: 60_000, SlowStartMS: 1, QueuePerRank: 1000}
}

func TestSlotsAreKeptUnderParallelRequests(t *testing.T) {
	b := startBench(t, backend.Options{Slots: 3, ServiceMS: 1}, smallPool())
	var all sync.WaitGroup
	for i := range 200 {
		all.Add(1)
		go func() {
			defer all.Done()
			answer, refusal := b.send(t, work("/"+strconv.Itoa(i), time.Minute))
			must.Nil(t, refusal)
			must.Eq(t, fasthttp.StatusOK, answer.StatusCode())
		}()
	}
	all.Wait()
	stats := b.server.Stats()
	must.Eq(t, 200, stats.Runs)
	must.Eq(t, 0, stats.Refused)
	must.LessEq(t, 10, stats.Connections)
}

func TestAttemptEndsAtItsTimeout(t *testing.T) {
	pool := smallPool()
	pool.AttemptTimeoutMS = 100
	b := startBench(t, backend.Options{Slots: 3, ServiceMS: 60_000}, pool)
	_, refusal := b.send(t, work("/slow", time.Minute))
	must.Eq(t, reason.ServerTimeout, refusal.Code)
	must.Eq(t, reason.Unknown, refusal.Outcome)
	must.Eq(t, 0, b.settle(func() int { return b.server.Stats().InUse }, 0))
}

func TestRequestOfAnEntryThatWentAwayIsCancelled(t *testing.T) {
	b := startBench(t, backend.Options{Slots: 3, ServiceMS: 60_000}, smallPool())
	conn, err := net.Dial("tcp", b.dispatcher.config.DispatchAddress)
	must.NoError(t, err)
	_, err = work("/slow", time.Hour).WriteTo(conn)
	must.NoError(t, err)
	must.Eq(t, 1, b.settle(func() int { return b.server.Stats().InUse }, 1))
	must.NoError(t, conn.Close())
	must.Eq(t, 0, b.settle(func() int { return b.server.Stats().InUse }, 0))
	must.Eq(t, "cancelled", b.server.Runs()[0].Stopped)
}

func TestWaitingRequestsAreRefusedWhenThePermitGoes(t *testing.T) {
	b := startBench(t, backend.Options{Slots: 3, ServiceMS: 1}, smallPool())
	b.server.SetFaults(backend.Faults{Frozen: true})
	refusals := make(chan *reason.Error, 10)
	for i := range 10 {
		go func() {
			_, refusal := b.send(t, work("/"+strconv.Itoa(i), time.Hour))
			refusals <- refusal
		}()
	}
	must.Eq(t, 7, b.settle(func() int { return b.waiting() }, 7))
	b.gate.Apply(nil)
	for range 7 {
		refusal := <-refusals
		must.Eq(t, reason.NotDispatcher, refusal.Code)
		must.Eq(t, reason.NotRun, refusal.Outcome)
	}
	b.server.SetFaults(backend.Faults{})
	for range 3 {
		must.Nil(t, <-refusals)
	}
}

// waiting counts the urgent requests in the queue.
func (b *bench) waiting() int {
	s := (*b.dispatcher.servers.Load())[testRef]
	if s == nil {
		return 0
	}
	return s.queue.Load(1).Waiting[0]
}

func TestRequestThatCrashesServersStopsAfterTwo(t *testing.T) {
	b := startBench(t, backend.Options{Slots: 3, ServiceMS: 200}, smallPool())
	for range 2 {
		b.server.SetFaults(backend.Faults{CrashMarker: "bomb"})
		innocent := make(chan *reason.Error, 1)
		go func() {
			_, refusal := b.send(t, work("/innocent", time.Minute))
			innocent <- refusal
		}()
		must.Eq(t, 1, b.settle(func() int { return b.server.Stats().InUse }, 1))
		_, refusal := b.send(t, work("/bomb", time.Minute))
		must.Eq(t, reason.ServerLost, refusal.Code)
		must.Eq(t, reason.Unknown, refusal.Outcome)
		must.NotEq(t, "", refusal.CrashID)
		<-innocent
		must.NoError(t, b.server.Restart())
	}
	_, refusal := b.send(t, work("/bomb", time.Minute))
	must.Eq(t, reason.SuspectedCrash, refusal.Code)
	must.Eq(t, reason.NotRun, refusal.Outcome)
	_, refusal = b.send(t, work("/innocent", time.Minute))
	must.Nil(t, refusal)
}

func TestShortUploadNeverRuns(t *testing.T) {
	b := startBench(t, backend.Options{Slots: 3}, smallPool())
	for _, size := range []int{100, 10 * maxHeldBytes} {
		request := work("/upload", time.Minute)
		request.Header.SetMethod(fasthttp.MethodPut)
		request.Header.SetContentLength(size)
		conn, err := net.Dial("tcp", b.dispatcher.config.DispatchAddress)
		must.NoError(t, err)
		_, err = conn.Write(append(request.Header.Header(), "begin"...))
		must.NoError(t, err)
		must.NoError(t, conn.Close())
	}
	answer, refusal := b.send(t, work("/after", time.Minute))
	must.Nil(t, refusal)
	must.Eq(t, fasthttp.StatusOK, answer.StatusCode())
	must.Eq(t, 0, b.settle(func() int { return b.server.Stats().InUse }, 0))
	for _, run := range b.server.Runs() {
		must.Eq(t, "/after", run.Path)
	}
}
