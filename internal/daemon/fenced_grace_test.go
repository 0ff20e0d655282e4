package daemon_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

// stopProcess sends SIGTERM to a process that startProcess has started, which has a grace
// period of 2 s, and returns a function that waits for a time after the signal.
func (c *cluster) stopProcess() (wait func(after time.Duration)) {
	must.NoError(c.t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	signalled := time.Now()
	return func(after time.Duration) { time.Sleep(time.Until(signalled.Add(after))) }
}

// sendInBackground sends an idempotent request to the process.
func (c *cluster) sendInBackground(cfg *config.Config) <-chan response {
	received := make(chan response, 1)
	go func() { received <- c.sendTo(cfg.CallerAddress, "GET", "/list/x", -1, "") }()
	return received
}

// With a grace period of 2 s, a request was cut off 1.3 s after SIGTERM, when its server still
// had time to answer it.
func TestRequestInProgressLastsUntilTheEndOfShortGracePeriod(t *testing.T) {
	const left = 100 * time.Millisecond // of the grace period's first five sixths, when the server answers
	c := newListCluster(t, 1, manySlots)
	cfg, exited := c.startProcess()
	grace := time.Duration(cfg.Fenced.GraceSeconds * float64(time.Second))
	c.plainServers()[0].SetFaults(fenced.Faults{ExtraServiceTime: grace*5/6 - left})
	before := c.arrivals()
	received := c.sendInBackground(cfg)
	c.awaitArrival(before)
	c.stopProcess()
	resp := <-received
	must.Eq(t, 200, resp.status, must.Sprint(resp))
	<-exited
}

// With a grace period of 2 s, requests were accepted until its end, though no server could
// answer them in time any more.
func TestRequestsAreRefusedInTimeInShortGracePeriod(t *testing.T) {
	c := newListCluster(t, 1, manySlots)
	cfg, exited := c.startProcess()
	c.plainServers()[0].SetFaults(fenced.Faults{ExtraServiceTime: longRun})
	c.stopProcess()(time.Duration(cfg.Fenced.GraceSeconds * float64(time.Second) / 2))
	resp := <-c.sendInBackground(cfg)
	must.Eq(t, 503, resp.status, must.Sprint(resp))
	must.StrContains(t, resp.body, "shutting_down")
	must.Eq(t, 0, c.runs(resp.id))
	<-exited
}

// The answer to a request that was in progress when SIGTERM arrived left its connection open:
// the caller's next request met the close of the connection instead of another daemon.
func TestAnswerToRequestInProgressAtShutdownClosesItsConnection(t *testing.T) {
	c := newListCluster(t, 1, manySlots)
	c.plainServers()[0].SetFaults(fenced.Faults{ExtraServiceTime: longRun})
	d := c.daemons[0]
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + d.Config().CallerAddress + "/list/x")
	req.UseHostHeader = true
	req.Header.SetHost(host)
	req.Header.Set(fenced.HeaderAttemptID, "in-progress")
	answered := make(chan error, 1)
	before := c.arrivals()
	go func() { answered <- fasthttp.Do(&req, &resp) }()
	c.awaitArrival(before)
	go func() { _ = d.Stop(context.Background()) }()
	must.NoError(t, <-answered)
	must.Eq(t, 200, resp.StatusCode())
	must.True(t, resp.ConnectionClose())
}

// Requests that wait at a dispatcher are answered when it stops: they are served, or refused
// as not run.
func TestRequestsThatWaitAtDispatcherAreAnsweredWhenItStops(t *testing.T) {
	const requests = 48
	c := newClusterWithSlots(t, 2, 4, 1, 1)
	for _, s := range c.servers {
		s.SetFaults(fenced.Faults{ExtraServiceTime: begun})
	}
	received := make(chan response, requests)
	for number := range requests {
		go func() { received <- c.send(c.daemons[0], "GET", "/read/x", number*65536/requests, "") }()
	}
	time.Sleep(begun)
	c.daemons[1].Kill()
	for range requests {
		resp := <-received
		if resp.status != 200 {
			must.Eq(t, 503, resp.status, must.Sprint(resp))
			must.Eq(t, 0, c.runs(resp.id), must.Sprint(resp))
		}
	}
}

// newestConnections sends requests on new connections, one after another, until the daemon
// refuses them. It returns the attempt ids of those without an answer.
func (c *cluster) newestConnections(address string) []string {
	var unanswered []string
	for {
		resp := c.sendTo(address, "GET", "/list/x", -1, "")
		switch {
		case strings.Contains(resp.body, "refused") && resp.status == 0:
			return unanswered
		case resp.status == 0:
			unanswered = append(unanswered, resp.id)
		}
	}
}

// A connection that waits in the listener's backlog when it closes is reset. No server may
// have run its request.
func TestNoRequestRunsOnConnectionThatListenerDrops(t *testing.T) {
	const callers = 8
	c := newListCluster(t, 1, manySlots)
	d := c.daemons[0]
	address := d.Config().CallerAddress
	unanswered := make(chan []string, callers)
	for range callers {
		go func() { unanswered <- c.newestConnections(address) }()
	}
	time.Sleep(begun)
	must.NoError(t, d.Stop(context.Background()))
	dropped := 0
	for range callers {
		for _, id := range <-unanswered {
			dropped++
			must.Eq(t, 0, c.runs(id), must.Sprint(id))
		}
	}
	t.Logf("%d connections were dropped", dropped)
}

// The operators let callers reuse connections that have been idle for longer than the daemon
// keeps them: the next request met the close. The answer must say how long it keeps them.
func TestAnswersStateIdleTimeoutIfCallersMayWaitLonger(t *testing.T) {
	c := newListCluster(t, 1, manySlots)
	address := c.daemons[0].Config().CallerAddress
	must.Eq(t, "", c.keepAlive(address))
	c.version += 2
	longer := strings.NewReplacer(`"IdleTimeoutS":15`, `"IdleTimeoutS":100`, fmt.Sprintf(`"Version":%d`, c.version-2), fmt.Sprintf(`"Version":%d`, c.version))
	c.store.PutRow("op", "config", []byte(longer.Replace(string(c.configuration))))
	c.await("stated timeout", func() error {
		if stated := c.keepAlive(address); stated != "timeout=48" {
			return errors.Errorf("Keep-Alive: %q", stated)
		}
		return nil
	})
}

// keepAlive returns the header Keep-Alive of an answer.
func (c *cluster) keepAlive(address string) string {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + address + "/list/x")
	req.UseHostHeader = true
	req.Header.SetHost(host)
	req.Header.Set(fenced.HeaderAttemptID, "kept")
	must.NoError(c.t, fasthttp.Do(&req, &resp))
	return string(resp.Header.Peek(fasthttp.HeaderKeepAlive))
}
