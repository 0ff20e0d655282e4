package daemon_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/daemon"
	"github.com/chicorylug/chicorylug/internal/standin/fenced"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

const (
	longRun = time.Second // a request in progress runs this long
	begun   = 100 * time.Millisecond
)

// awaitArrival waits until a server has got a request more than before.
func (c *cluster) awaitArrival(before int) {
	c.t.Helper()
	c.await("request at its server", func() error {
		if arrivals := c.arrivals(); arrivals <= before {
			return errors.Errorf("%d requests at servers, want more than %d", arrivals, before)
		}
		return nil
	})
}

// A request whose server is at work must be answered, whatever changes meanwhile in the
// configuration, at the servers or at the store.
func TestRequestInProgressOutlivesChanges(t *testing.T) {
	without := func(prefix string) []route {
		return slices.DeleteFunc(slices.Clone(listRoutes), func(r route) bool { return r.prefix == prefix })
	}
	for _, test := range []struct {
		name   string
		change func(c *cluster)
	}{
		{"its route is dropped", func(c *cluster) { c.configure(without("/list/")) }},
		{"its route moves to another service", func(c *cluster) {
			c.configure(append(without("/list/"), route{"/list/", "safe", "drafts", 2}))
		}},
		{"the timeout of its route is shortened", func(c *cluster) {
			c.configure(append(without("/list/"), route{"/list/", "safe", "sealing", 0.2}))
		}},
		{"its server is deregistered", func(c *cluster) { c.plainServers()[0].Unregister() }},
		{"its server begins to leave", func(c *cluster) { go c.plainServers()[0].Drain() }},
		{"another server joins", func(c *cluster) { c.startServer("late", "sealing", anyAddress) }},
		{"the store is down", func(c *cluster) { c.store.SetFaults(platformd.Faults{Down: true, ListDown: true}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newListCluster(t, 1, manySlots)
			c.plainServers()[0].SetFaults(fenced.Faults{ExtraServiceTime: longRun})
			received := make(chan response, 1)
			before := c.arrivals()
			go func() { received <- c.send(c.daemons[0], "GET", "/list/x", -1, "") }()
			c.awaitArrival(before)
			test.change(c)
			resp := <-received
			must.Eq(t, 200, resp.status, must.Sprint(resp))
			must.Eq(t, 1, c.runs(resp.id))
		})
	}
}

// keptConnection sends requests one after another on one connection until the daemon
// refuses connections. It returns the attempt IDs of requests that ended without a response.
func (c *cluster) keptConnection(d *daemon.Daemon, number int, pause time.Duration) []string {
	client := fasthttp.HostClient{Addr: d.Config().CallerAddress, MaxConns: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	defer client.CloseIdleConnections()
	var unanswered []string
	for i := 0; ; i++ {
		var req fasthttp.Request
		var resp fasthttp.Response
		id := fmt.Sprintf("kept-%d-%d", number, i)
		req.SetRequestURI("http://" + host + "/list/x")
		req.Header.Set(fenced.HeaderAttemptID, id)
		req.Header.Set(fenced.HeaderDeadline, "2000")
		err := client.Do(&req, &resp)
		switch {
		case err != nil && strings.Contains(err.Error(), "refused"):
			return unanswered
		case err != nil:
			unanswered = append(unanswered, id)
		}
		time.Sleep(pause)
	}
}

// While a daemon drains, a request on a connection that is kept or newly accepted must be
// answered if a server runs it; the connection is not closed under it.
func TestNoKeptConnectionClosesUnderARunningRequest(t *testing.T) {
	const connections = 16
	c := newListCluster(t, 2, manySlots)
	for _, s := range c.plainServers() {
		s.SetFaults(fenced.Faults{ExtraServiceTime: begun})
	}
	var mu sync.Mutex
	var unanswered []string
	var done sync.WaitGroup
	for number := range connections {
		done.Add(1)
		go func() {
			defer done.Done()
			ids := c.keptConnection(c.daemons[0], number, time.Duration(number)*10*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			unanswered = append(unanswered, ids...)
		}()
	}
	time.Sleep(5 * begun)
	ctx, cancel := context.WithTimeout(context.Background(), c.daemons[0].ShutdownTimeout())
	defer cancel()
	must.NoError(t, c.daemons[0].Stop(ctx))
	c.daemons[0].Kill()
	done.Wait()
	t.Logf("%d requests crossed the close of their connection", len(unanswered))
	for _, id := range unanswered {
		must.Eq(t, 0, c.runs(id), must.Sprint(id))
	}
}
