package settingstore_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/settingstore"
)

const (
	restoredTree = `{
  "fleet": {"ranks": [{"name": "urgent", "target_ms": 100, "floor_percent": 0}]},
  "teams": {"orders": ` + restoredTeam + `}
}`
	restoredTeam = `{
    "pools": {"drafts": {"keyed": true, "shards": 16, "slots": 3, "connections": 300}},
    "routes": [{"name": "read", "methods": ["GET"], "path": "/drafts/{key}", "pool": "drafts", "rank": "urgent", "timeout_ms": 3000}]
  }`
	restoredWait = 16 * time.Second // until a version is in force everywhere
)

// Guards against an accepted version that the store has lost and that nobody writes
// again, so that a daemon that starts, and the next change, begin with the copy's.
func TestVersionLostByTheStoreIsWrittenAgain(t *testing.T) {
	f, stores := startStores(t)
	copied := time.Now()
	second, err := stores[0].Accept(t.Context(), slots(1, "4"))
	must.NoError(t, err)
	must.Eq(t, 2, second.Version)
	awaitInForce(t, stores, 2)
	f.Platform.Restore(time.Since(copied))

	deadline := time.Now().Add(restoredWait)
	var current settingstore.Record
	for current.Version != 2 && time.Now().Before(deadline) {
		current, err = stores[1].Version(t.Context(), 0)
		must.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, second.WriteID, current.WriteID)
	must.Eq(t, second.Tree, current.Tree)

	third, err := stores[1].Accept(t.Context(), slots(2, "5"))
	must.NoError(t, err)
	must.StrContains(t, third.Tree, `"slots": 5`)
	awaitInForce(t, stores, third.Version)
}

// Guards against the number of a lost version that is given out again: an operator who
// saw the lost one would change the new one without seeing it.
func TestChangeOfALostVersionIsRefused(t *testing.T) {
	f, stores := startStores(t)
	copied := time.Now()
	lost, err := stores[0].Accept(t.Context(), slots(1, "4"))
	must.NoError(t, err)
	for _, node := range f.Nodes {
		f.KillDaemon(node)
	}
	f.Platform.Restore(time.Since(copied))
	_, err = f.AddDaemon()
	must.NoError(t, err)
	started := storeOf(t, f.Nodes[len(f.Nodes)-1])
	f.Nodes = f.Nodes[len(f.Nodes)-1:]
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	must.NoError(t, f.WaitReady(ctx))

	other, err := started.Accept(t.Context(), slots(1, "5"))
	must.NoError(t, err)
	must.Greater(t, lost.Version, other.Version)
	_, err = started.Accept(t.Context(), slots(lost.Version, "6"))
	var conflict *settingstore.ConflictError
	must.True(t, errors.As(err, &conflict), must.Sprint(err))
}

func startStores(t *testing.T) (*fleet.Fleet, []*settingstore.Store) {
	f, err := fleet.Start(fleet.Options{
		Settings: []byte(restoredTree),
		Zones:    []model.Zone{"a"},
		Daemons:  2,
		Servers:  []fleet.PoolServers{{Pool: "drafts", Count: 2}},
	})
	must.NoError(t, err)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	must.NoError(t, f.WaitReady(ctx))
	return f, []*settingstore.Store{storeOf(t, f.Nodes[0]), storeOf(t, f.Nodes[1])}
}

func storeOf(t *testing.T, node *fleet.Node) *settingstore.Store {
	var store *settingstore.Store
	must.NoError(t, node.Daemon.Invoke(func(s *settingstore.Store) { store = s }))
	return store
}

// slots returns a change of the number of slots.
func slots(base settings.Version, count string) settingstore.Change {
	return settingstore.Change{
		Base:  base,
		Scope: settings.TeamScope("orders"),
		Text:  strings.Replace(restoredTeam, `"slots": 3`, `"slots": `+count, 1),
	}
}

func awaitInForce(t *testing.T, stores []*settingstore.Store, version settings.Version) {
	t.Helper()
	deadline := time.Now().Add(restoredWait)
	for _, s := range stores {
		for s.Status().Version != version && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		must.Eq(t, version, s.Status().Version)
	}
}
