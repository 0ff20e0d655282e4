package daemon_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Rows of another writer among the registrations must neither end a daemon nor stop it from
// following the others, and name no servers.
func TestOddRegistrationsNameNoServers(t *testing.T) {
	c := newCluster(t, 2, 2, 1)
	for _, service := range []string{"drafts", "sealing"} {
		for number, odd := range []struct{ address, capacity, warmup string }{
			{"127.0.0.1:70000", "50", "0"},
			{"127.0.0.1", "50", "0"},
			{"127.0.0.1:1", "1e999", "0"},
			{"127.0.0.1:1", "50", "1e300"},
			{"127.0.0.1:1", "50", strings.Repeat("[", 15_000) + strings.Repeat("]", 15_000)},
		} {
			c.store.PutRow("servers", fmt.Sprintf("odd-%s-%d", service, number), fmt.Appendf(nil,
				`{"Service":%q,"Address":%q,"Zone":"zone-0","Version":"v1","Capacity":%s,"State":"ready","WarmupLeftS":%s,"Sequence":1,"born":1700000000000}`,
				service, odd.address, odd.capacity, odd.warmup))
		}
	}
	c.startServer("seal-new", "sealing", anyAddress) // registered after the odd rows
	c.await("requests at the new server", func() error { return c.checkRan("/seal/x", "seal-new") })
	c.servers[0].Crash()
	c.servers[0].Unregister()
	c.await("owners of all keys", c.checkAllKeysOwned)
	for _, d := range c.daemons {
		for key := 0; key < 65536; key += 997 {
			read := c.send(d, "GET", "/read/x", key, "")
			must.Eq(t, 200, read.status, must.Sprint(read))
		}
		for range 20 {
			seal := c.send(d, "POST", "/seal/x", -1, "order")
			must.Eq(t, 200, seal.status, must.Sprint(seal))
		}
	}
	c.checkOwnership()
}
