package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

// rewriteDelay is the time after a restore of the store at which operators and servers
// write again what they had written.
const rewriteDelay = time.Second

// restoreStore returns the store to a copy of the given age. The operators' configuration
// and the registrations of all servers are written again after rewriteDelay.
func (c *cluster) restoreStore(age time.Duration) {
	c.store.Restore(age)
	time.Sleep(rewriteDelay)
	c.store.PutRow("op", "config", c.configuration)
	for _, s := range c.servers {
		s.RegisterAgain()
	}
}

// Guards against CONFIG: a configuration that was confirmed after the store had returned
// from an older copy was never in force, since daemons still waited for higher revisions.
func TestConfigurationAfterARestoreTakesEffectOnAllDaemons(t *testing.T) {
	c := newCluster(t, 3, 3, 1)
	const age = 2 * time.Second
	time.Sleep(age)
	for i := range 300 {
		c.configure(append(defaultRoutes[:3:3], route{fmt.Sprintf("/lost%d/", i), "safe", "sealing", 2}))
	}
	c.restoreStore(age)
	c.configure(append(defaultRoutes[:3:3], route{"/later/", "safe", "sealing", 2}))
	for _, d := range c.daemons {
		c.await("configuration after the restore", func() error {
			if resp := c.send(d, "GET", "/later/x", -1, ""); resp.status != 200 {
				return fmt.Errorf("status %d", resp.status)
			}
			return nil
		})
	}
	c.await("owners of all keys", c.checkAllKeysOwned)
	c.checkOwnership()
}

// Versions order configurations, also over a restore: one below the version in force is not
// taken, although the store that has lost that version has it as its newest, and one above
// it is.
func TestLowerVersionAfterARestoreTakesNothingBack(t *testing.T) {
	c := newCluster(t, 2, 1, 1)
	const age = 2 * time.Second
	time.Sleep(age)
	awaitStatus := func(path string, status int) {
		for _, d := range c.daemons {
			c.await(path, func() error {
				if resp := c.send(d, "GET", path, -1, ""); resp.status != status {
					return fmt.Errorf("status %d, want %d", resp.status, status)
				}
				return nil
			})
		}
	}
	c.version += 2
	c.configure(append(defaultRoutes[:3:3], route{"/lost/", "safe", "sealing", 2}))
	awaitStatus("/lost/x", 200)
	c.store.Restore(age)
	lost := c.version
	c.version = lost - 4 // configure adds two: above the copy's version, below the lost one
	c.configure(defaultRoutes)
	for range 20 {
		time.Sleep(rewriteDelay / 10)
		for _, d := range c.daemons {
			must.Eq(t, 200, c.send(d, "GET", "/lost/x", -1, "").status)
		}
	}
	c.version = lost
	c.configure(append(defaultRoutes[:3:3], route{"/later/", "safe", "sealing", 2}))
	awaitStatus("/later/x", 200)
	awaitStatus("/lost/x", 404)
}

// moveKeysAway makes a keyed server leave and waits until it owns no keys, so that the
// latest owners record differs from those that an older copy of the store has.
func (c *cluster) moveKeysAway(s *fenced.Server) {
	s.Drain()
	c.await("the keys of the leaving server have moved", func() error {
		if keys := c.keysOf(s); keys > 0 {
			return fmt.Errorf("%d keys left", keys)
		}
		return c.checkAllKeysOwned()
	})
}

// Guards against OWNER and against an outage: the store loses the moves that the running
// keeper has made since the copy. Keys then moved again under fences below those that
// servers had seen, and in the end nobody could assign any.
func TestKeeperWritesItsRecordAgainAfterARestore(t *testing.T) {
	c := newCluster(t, 3, 4, 1)
	const age = 3 * time.Second
	time.Sleep(age)
	stop := c.load(c.daemons...)
	c.moveKeysAway(c.servers[0])
	keeper := c.keeper()
	c.restoreStore(age)
	c.moveKeysAway(c.servers[1])
	must.Eq(t, keeper, c.keeper())
	stop()
	c.checkOwnership()
}

// Guards against OWNER: the keeper, which alone knew the latest owners, is lost with the
// store's memory of them. Its successor must not grant by the older record while the lost
// keeper's grants may be in force.
func TestKeeperLostWithTheStoresLatestRecordIsReplacedSafely(t *testing.T) {
	c := newCluster(t, 3, 4, 1)
	const age = 3 * time.Second
	time.Sleep(age)
	stop := c.load(c.daemons...)
	c.moveKeysAway(c.servers[0])
	keeper := c.keeper()
	keeper.Kill()
	c.restoreStore(age)
	c.await("owners of all keys", func() error {
		if next := c.keeper(); next == nil || next == keeper {
			return fmt.Errorf("no other keeper than %s yet", keeper.Config().Name)
		}
		return c.checkAllKeysOwned()
	})
	c.moveKeysAway(c.servers[1])
	stop()
	c.checkOwnership()
}

// Guards against an outage: no daemon is left that knows the latest owners. The servers'
// grants run out, and the keys have owners again soon after.
func TestFleetStartsFromAnOlderCopyOfTheStore(t *testing.T) {
	c := newCluster(t, 3, 4, 1)
	const age = 3 * time.Second
	time.Sleep(age)
	c.moveKeysAway(c.servers[0])
	for _, d := range c.daemons {
		d.Kill()
	}
	c.restoreStore(age)
	ended := c.daemons
	c.daemons = nil
	for _, d := range ended {
		c.startDaemon(string(d.Config().Name), string(d.Config().Zone))
	}
	began := time.Now()
	c.await("owners of all keys", c.checkAllKeysOwned)
	t.Logf("all keys have owners %s after the start", time.Since(began))
	c.moveKeysAway(c.servers[1])
	c.checkOwnership()
}
