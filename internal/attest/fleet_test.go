package attest_test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/platform"
	adapter "github.com/chicorylug/chicorylug/platform"
)

const (
	fleetSettings = `{
  "fleet": {"ranks": [{"name": "urgent", "target_ms": 100, "floor_percent": 0}]},
  "teams": {"orders": {
    "pools": {"drafts": {"keyed": true, "shards": 16, "slots": 3, "connections": 300}},
    "routes": [{"name": "read", "methods": ["GET"], "path": "/drafts/{key}", "pool": "drafts", "rank": "urgent", "timeout_ms": 3000}]
  }}
}`
	fleetChangeWait = 15 * time.Second // for both writes of a change of the fleet
)

// Guards against a fleet row that never changes after its first write, so that daemons
// that join later don't count in a quorum, and a fleet whose first daemons were replaced
// has none.
func TestDaemonThatJoinsIsCounted(t *testing.T) {
	f := startFleet(t)
	_, err := f.AddDaemon()
	must.NoError(t, err)
	awaitMembers(t, f, "fleet", 4)
}

// Guards against a change of the fleet that is lost with the store's latest writes, or
// has the number of a lost one.
func TestFleetOfALaterEraIsAboveAllEarlierOnes(t *testing.T) {
	f := startFleet(t)
	copied := time.Now()
	_, err := f.AddDaemon()
	must.NoError(t, err)
	lost := awaitMembers(t, f, "fleet", 4)
	f.Platform.Restore(time.Since(copied))
	_, err = f.AddDaemon()
	must.NoError(t, err)
	later := awaitMembers(t, f, platform.EraKey("fleet", 2), 5)
	must.Greater(t, lost.Version, later.Version)
}

func startFleet(t *testing.T) *fleet.Fleet {
	f, err := fleet.Start(fleet.Options{
		Settings: []byte(fleetSettings),
		Zones:    []model.Zone{"a"},
		Daemons:  3,
		Servers:  []fleet.PoolServers{{Pool: "drafts", Count: 2}},
	})
	must.NoError(t, err)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	must.NoError(t, f.WaitReady(ctx))
	awaitMembers(t, f, "fleet", 3)
	return f
}

// awaitMembers waits until a fleet row has a number of members and no change in progress.
func awaitMembers(t *testing.T, f *fleet.Fleet, key string, count int) ownership.Fleet {
	t.Helper()
	client := adapter.NewStore(f.Platform.Address(), nil)
	deadline := time.Now().Add(fleetChangeWait)
	var row ownership.Fleet
	for time.Now().Before(deadline) {
		row = ownership.Fleet{}
		if stored, err := client.Get(t.Context(), key); err == nil {
			must.NoError(t, json.Unmarshal(stored.Value, &row))
		}
		if len(row.Members) == count && len(row.Previous) == 0 {
			slices.Sort(row.Members)
			return row
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("fleet %s is %+v, want %d members", key, row, count)
	return row
}
