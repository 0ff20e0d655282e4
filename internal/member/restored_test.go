package member_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/member"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

const (
	listSettings = `{
  "fleet": {"ranks": [{"name": "urgent", "target_ms": 100, "floor_percent": 0}]},
  "teams": {"orders": {
    "pools": {"drafts": {"keyed": true, "shards": 16, "slots": 3, "connections": 300}},
    "routes": [{"name": "read", "methods": ["GET"], "path": "/drafts/{key}", "pool": "drafts", "rank": "urgent", "timeout_ms": 3000}]
  }}
}`
	listWait      = 15 * time.Second // until a change of the list is known
	restoredWatch = 4 * time.Second  // longer than the store takes to have all instances again
)

// Guards against a server that has said that it leaves and gets requests again, because
// the older copy, to which the store came back, shows it as live.
func TestLeavingServerStaysLeavingOverARestoredStore(t *testing.T) {
	f, err := fleet.Start(fleet.Options{
		Settings: []byte(listSettings),
		Zones:    []model.Zone{"a"},
		Daemons:  3,
		Servers:  []fleet.PoolServers{{Pool: "drafts", Count: 3}},
	})
	must.NoError(t, err)
	defer f.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	must.NoError(t, f.WaitReady(ctx))
	var tracker *member.Tracker
	must.NoError(t, f.Nodes[0].Daemon.Invoke(func(m *member.Tracker) { tracker = m }))
	server := f.Servers[0]
	copied := time.Now()
	f.Platform.Register(platform.Instance{
		ID: string(server.ID()), Kind: platform.KindServer, Pool: "drafts", Zone: "a",
		State: platform.StateLeaving, Address: server.Address(),
	})
	deadline := time.Now().Add(listWait)
	for stateOf(tracker, server.ID()) != platform.StateLeaving && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, platform.StateLeaving, stateOf(tracker, server.ID()))

	f.Platform.Restore(time.Since(copied))
	for end := time.Now().Add(restoredWatch); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		must.Eq(t, platform.StateLeaving, stateOf(tracker, server.ID()))
	}
}

// stateOf returns the state of a server in the list, empty when it is missing.
func stateOf(tracker *member.Tracker, id model.ServerID) platform.InstanceState {
	for _, instance := range tracker.Members().Instances {
		if instance.ID == string(id) {
			return instance.State
		}
	}
	return ""
}
