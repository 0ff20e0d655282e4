package daemon_test

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

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
	const left = 150 * time.Millisecond // of the grace period's first five sixths, when the server answers
	c := newListCluster(t, 1, manySlots)
	cfg, exited := c.startProcess()
	grace := time.Duration(cfg.Fenced.GraceSeconds * float64(time.Second))
	c.plainServers()[0].SetFaults(fenced.Faults{ExtraServiceTime: grace*5/6 + begun - left})
	received := c.sendInBackground(cfg)
	time.Sleep(begun)
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
	req.Header.Set("Chicorylug-Attempt-Id", "in-progress")
	answered := make(chan error, 1)
	go func() { answered <- fasthttp.Do(&req, &resp) }()
	time.Sleep(begun)
	go func() { _ = d.Stop(context.Background()) }()
	must.NoError(t, <-answered)
	must.Eq(t, 200, resp.StatusCode())
	must.True(t, resp.ConnectionClose())
}
