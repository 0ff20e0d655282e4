package daemon_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

const (
	requestTimeout = 2 * time.Second // as cluster.send states it
	learnRequests  = 300             // after which a daemon knows the times of a service
	fewSlots       = 8
	manySlots      = 50
)

// listRoutes adds idempotent requests that any server of "sealing" may run.
var listRoutes = append([]route{{"/list/", "safe", "sealing", 2}}, defaultRoutes...)

// newListCluster starts a daemon with servers of "sealing", and has it learn how long
// their answers take.
func newListCluster(t *testing.T, plain, slots int) *cluster {
	c := newClusterWithSlots(t, 1, 1, plain, slots)
	c.configure(listRoutes)
	c.await("new route", func() error {
		if resp := c.send(c.daemons[0], "GET", "/list/x", -1, ""); resp.status != 200 {
			return fmt.Errorf("status %d", resp.status)
		}
		return nil
	})
	for number := range learnRequests {
		c.send(c.daemons[0], "GET", "/list/x", -1, "")
		c.send(c.daemons[0], "GET", "/read/x", number, "")
	}
	return c
}

// plainServers returns the servers of "sealing".
func (c *cluster) plainServers() []*fenced.Server { return c.servers[1:] }

// A server that never answers what it can't take is left after the time that answers of
// its service take, and another one serves the request in time.
func TestRequestLeavesServerThatNeverAnswers(t *testing.T) {
	c := newListCluster(t, 2, manySlots)
	c.plainServers()[0].SetFaults(fenced.Faults{Unresponsive: true})
	for range 20 {
		started := time.Now()
		must.Eq(t, 200, c.send(c.daemons[0], "GET", "/list/x", -1, "").status)
		must.Less(t, requestTimeout/2, time.Since(started))
	}
	c.plainServers()[0].SetFaults(fenced.Faults{})
}

// A request that may run at most once is waited for as long as its answer can come.
func TestUnsafeRequestWaitsForSlowServer(t *testing.T) {
	c := newListCluster(t, 1, manySlots)
	c.plainServers()[0].SetFaults(fenced.Faults{ExtraServiceTime: requestTimeout / 2})
	must.Eq(t, 200, c.send(c.daemons[0], "POST", "/seal/x", -1, "").status)
}

// While a daemon drains, it breaks no request off at which a server is at work.
func TestDrainingDaemonWaitsForSlowServer(t *testing.T) {
	const running = 30 * time.Millisecond // the request has reached its server by then
	c := newListCluster(t, 2, manySlots)
	for _, s := range c.plainServers() {
		s.SetFaults(fenced.Faults{ExtraServiceTime: requestTimeout / 2})
	}
	answered := make(chan response, 1)
	go func() { answered <- c.send(c.daemons[0], "GET", "/list/x", -1, "") }()
	time.Sleep(running)
	stopped := make(chan error, 1)
	go func() { stopped <- c.daemons[0].Stop(context.Background()) }()
	resp := <-answered
	must.Eq(t, 200, resp.status)
	must.Eq(t, 1, c.runs(resp.id))
	must.NoError(t, <-stopped)
}

// A request for a key waits for the key's owner, which no other server can replace, and a
// request for which no other server is left waits too.
func TestRequestWaitsWhenNoOtherServerMayRunIt(t *testing.T) {
	c := newListCluster(t, 1, manySlots)
	for _, s := range c.servers {
		s.SetFaults(fenced.Faults{ExtraServiceTime: requestTimeout / 2})
	}
	for _, target := range []struct {
		path string
		key  int
	}{{"/read/x", 7}, {"/list/x", -1}} {
		resp := c.send(c.daemons[0], "GET", target.path, target.key, "")
		must.Eq(t, 200, resp.status)
		must.Eq(t, 1, c.runs(resp.id))
	}
}

// A server that hangs when it is full counts as full, not as broken: it serves again as
// soon as it has room, and other requests are served meanwhile.
func TestServerThatHangsWhenFullServesAgain(t *testing.T) {
	c := newListCluster(t, 2, fewSlots)
	for _, s := range c.plainServers() {
		s.SetFaults(fenced.Faults{HangWhenFull: true, ExtraServiceTime: 20 * time.Millisecond})
	}
	const callers = 3 * fewSlots // half as many again as the two servers can run at once
	var served atomic.Int64
	var done sync.WaitGroup
	for range callers {
		done.Add(1)
		go func() {
			defer done.Done()
			if resp := c.send(c.daemons[0], "GET", "/list/x", -1, ""); resp.status != 200 {
				t.Log(resp)
			} else {
				served.Add(1)
			}
		}()
	}
	done.Wait()
	must.Eq(t, callers, served.Load())
	time.Sleep(400 * time.Millisecond)
	for range 10 {
		must.Eq(t, 200, c.send(c.daemons[0], "GET", "/list/x", -1, "").status)
	}
}

// Bytes that are no answer may come without end, in a head or a body, from
// all servers of a service at once. The daemon closes these connections, keeps its memory
// within bounds, and serves the requests of the other service.
func TestEndlessAnswersAreCutAndOthersServed(t *testing.T) {
	const floods, parallel = 6, 32
	const memoryBound = 200 << 20 // the daemon's configured memory
	c := newListCluster(t, floods, manySlots)
	for _, kind := range fenced.FloodKinds() {
		t.Run(string(kind), func(t *testing.T) {
			for _, s := range c.plainServers() {
				s.SetFaults(fenced.Faults{Flood: kind})
			}
			peak := newMemoryPeak()
			var done sync.WaitGroup
			for range parallel {
				done.Add(1)
				go func() {
					defer done.Done()
					for range 3 {
						resp := c.send(c.daemons[0], "POST", "/seal/x", -1, "")
						must.True(t, resp.status == 502 || resp.status == 504, must.Sprint(resp))
						must.LessEq(t, 1, c.runs(resp.id))
					}
				}()
			}
			for range 20 {
				must.Eq(t, 200, c.send(c.daemons[0], "GET", "/read/x", 7, "").status)
			}
			done.Wait()
			must.Less(t, memoryBound, peak.stop())
		})
	}
}

// memoryPeak measures the largest growth of the heap.
type memoryPeak struct {
	ended  chan struct{}
	result chan uint64
}

func newMemoryPeak() *memoryPeak {
	p := &memoryPeak{ended: make(chan struct{}), result: make(chan uint64)}
	runtime.GC()
	before := heapInUse()
	go func() {
		peak := before
		for {
			select {
			case <-p.ended:
				p.result <- peak - before
				return
			case <-time.After(5 * time.Millisecond):
				peak = max(peak, heapInUse())
			}
		}
	}()
	return p
}

// stop ends the measurement and returns the growth in bytes.
func (p *memoryPeak) stop() uint64 {
	close(p.ended)
	return <-p.result
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}
