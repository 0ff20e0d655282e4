package daemon_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

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

const shortGrace = 300 * time.Millisecond

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
