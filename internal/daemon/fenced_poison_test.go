package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

// crashUnder crashes the server that runs a request that is sent through the first daemon,
// which another server then serves.
func (c *cluster) crashUnder(path string) {
	before := map[*fenced.Server]int{}
	for _, s := range c.plainServers() {
		s.SetFaults(fenced.Faults{ExtraServiceTime: longRun})
		before[s] = s.Arrivals()
	}
	served := make(chan response, 1)
	go func() { served <- c.send(c.daemons[0], "GET", path, -1, "") }()
	var crashed *fenced.Server
	c.await("a running request", func() error {
		for _, s := range c.plainServers() {
			if s.Arrivals() > before[s] {
				crashed = s
				return nil
			}
		}
		return fmt.Errorf("no server runs %s", path)
	})
	for _, s := range c.plainServers() {
		s.SetFaults(fenced.Faults{})
	}
	crashed.Crash()
	must.Eq(c.t, 200, (<-served).status)
}

// A request that was at two crashes by chance, and is served all the time by one daemon, was
// refused by another one that had not served it lately, for ten minutes.
func TestRequestAtTwoCrashesIsServedByAllDaemonsIfItCompletes(t *testing.T) {
	const path, told = "/list/popular", 2 * time.Second
	c := newClusterWithSlots(t, 2, 1, 4, manySlots)
	c.configure(listRoutes)
	for _, d := range c.daemons {
		c.await("new route", func() error {
			if resp := c.send(d, "GET", "/list/x", -1, ""); resp.status != 200 {
				return fmt.Errorf("status %d", resp.status)
			}
			return nil
		})
	}
	for range 2 {
		c.crashUnder(path)
		for end := time.Now().Add(told); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			must.Eq(t, 200, c.send(c.daemons[0], "GET", path, -1, "").status)
		}
	}
	resp := c.send(c.daemons[1], "GET", path, -1, "")
	must.Eq(t, 200, resp.status, must.Sprint(resp))
}
