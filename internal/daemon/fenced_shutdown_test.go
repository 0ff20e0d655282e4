package daemon_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/daemon"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/standin/fenced"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

const slowStoreMS = 900 // a call of the store takes this long, in milliseconds

// A keeper whose calls of the slow store are in progress says at once that it is not ready,
// as it would otherwise accept requests that the end of the process cuts off.
func TestKeeperIsNotReadyAtOnceWhenItStops(t *testing.T) {
	const noticed = 200 * time.Millisecond
	const writeBegins = 100 * time.Millisecond // after the release
	c := newCluster(t, 2, 4, 1)
	keeper := c.keeper()
	c.store.SetFaults(platformd.Faults{DelayMS: slowStoreMS})
	go c.servers[0].Drain()
	c.await("release of the keys, after which the new owners are written", func() error {
		if left := c.keysOf(c.servers[0]); left > 0 {
			return errors.Errorf("%d keys left", left)
		}
		return nil
	})
	time.Sleep(writeBegins)
	stopped := make(chan error, 1)
	go func() { stopped <- keeper.Stop(context.Background()) }()
	time.Sleep(noticed)
	status, _, err := get("http://" + keeper.Config().Fenced.ReadinessAddress + "/-/readyz")
	must.NoError(t, err)
	must.Eq(t, 503, status)
	c.store.SetFaults(platformd.Faults{})
	must.NoError(t, <-stopped)
}

const shortGrace = 300 * time.Millisecond // less than the requests below need

// A daemon whose call of the store is in progress must exit when the grace period is over,
// before it is killed.
func TestStopEndsWithTheGracePeriod(t *testing.T) {
	c := newCluster(t, 1, 1, 1)
	ctx, cancel := context.WithTimeout(context.Background(), shortGrace)
	defer cancel()
	started := time.Now()
	must.Error(t, c.daemons[0].Stop(ctx))
	must.Less(t, 3*shortGrace, time.Since(started))
}

// stopEarly stops the daemon while a request is in progress, and ends its process when the
// grace period is over. It returns what the caller of the request received.
func (c *cluster) stopEarly(path string, key int) response {
	d := c.daemons[0]
	received := make(chan response, 1)
	go func() { received <- c.send(d, "GET", path, key, "") }()
	time.Sleep(shortGrace / 3)
	ctx, cancel := context.WithTimeout(context.Background(), shortGrace)
	defer cancel()
	_ = d.Stop(ctx)
	d.Kill()
	return <-received
}

// A request whose server is slow must not end with a closed connection when the grace
// period does.
func TestRequestAtSlowServerIsAnsweredWhenGraceEnds(t *testing.T) {
	c := newListCluster(t, 1, manySlots)
	c.plainServers()[0].SetFaults(fenced.Faults{ExtraServiceTime: 4 * shortGrace})
	resp := c.stopEarly("/list/x", -1)
	must.Eq(t, 502, resp.status, must.Sprint(resp))
	must.StrContains(t, resp.body, "shutting_down")
}

// A request that waits for an owner of its key must not end with a closed connection when
// the grace period does: its caller is told that it has not run.
func TestRequestWithoutOwnerIsRefusedWhenGraceEnds(t *testing.T) {
	c := newListCluster(t, 1, manySlots)
	c.servers[0].Crash()
	c.servers[0].Unregister()
	c.await("no owner known", func() error {
		return c.daemons[0].Invoke(func(cat *catalog.Catalog) error {
			if cat.Load().Servers[model.ServerID(c.servers[0].ID())] != nil {
				return errors.New("owner still known")
			}
			return nil
		})
	})
	resp := c.stopEarly("/read/x", 7)
	must.Eq(t, 503, resp.status, must.Sprint(resp))
	must.StrContains(t, resp.body, "shutting_down")
	must.Eq(t, 0, c.runs(resp.id))
}

// startProcess runs the daemon's main function, as its process does, and returns the
// daemon's settings and a channel for the exit code.
func (c *cluster) startProcess() (*config.Config, <-chan int) {
	cfg := &config.Config{
		Name: "process", Zone: "zone-0", CallerAddress: freeAddress(c.t), ControlAddress: freeAddress(c.t), PlatformAddress: c.store.Address(),
		Fenced: &config.Fenced{ReadinessAddress: freeAddress(c.t), MemoryMB: 200, Cores: 1, GraceSeconds: 2, RepeatShare: 0.2, RepeatExtra: 100, MaxHoldSeconds: 10, DrainSeconds: drainBound.Seconds()},
	}
	text, err := json.Marshal(cfg)
	must.NoError(c.t, err)
	file := filepath.Join(c.t.TempDir(), "daemon.jsonc")
	must.NoError(c.t, os.WriteFile(file, text, 0o600))
	exited := make(chan int, 1)
	go func() { exited <- daemon.Main([]string{"--config", file}, io.Discard, os.Stderr) }()
	c.await("ready", func() error {
		status, _, err := get("http://" + cfg.Fenced.ReadinessAddress + "/-/readyz")
		if err == nil && status != 200 {
			err = errors.Errorf("status %d", status)
		}
		return err
	})
	return cfg, exited
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", anyAddress)
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	return listener.Addr().String()
}

// Neither SIGHUP nor the SIGTERM that follows ends a request whose server is at work, and the
// process exits before it would be killed.
func TestSignalsEndNoRequestInProgress(t *testing.T) {
	c := newListCluster(t, 1, manySlots)
	cfg, exited := c.startProcess()
	c.plainServers()[0].SetFaults(fenced.Faults{ExtraServiceTime: longRun})
	received := make(chan response, 1)
	before := c.arrivals()
	go func() { received <- c.sendTo(cfg.CallerAddress, "GET", "/list/x", -1, "") }()
	c.awaitArrival(before)
	self := os.Getpid()
	must.NoError(t, syscall.Kill(self, syscall.SIGHUP))
	time.Sleep(begun)
	must.NoError(t, syscall.Kill(self, syscall.SIGTERM))
	signalled := time.Now()
	resp := <-received
	must.Eq(t, 200, resp.status, must.Sprint(resp))
	must.Eq(t, 1, c.runs(resp.id))
	<-exited
	must.Less(t, time.Duration(cfg.Fenced.GraceSeconds*float64(time.Second)), time.Since(signalled))
}
