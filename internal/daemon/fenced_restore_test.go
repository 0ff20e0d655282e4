package daemon_test

import (
	"fmt"
	"testing"
	"time"
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
