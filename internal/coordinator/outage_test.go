package coordinator_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
	"github.com/chicorylug/chicorylug/internal/wire"
	adapter "github.com/chicorylug/chicorylug/platform"
)

const (
	outagePath     = "/drafts/order-17"
	outageSettings = `{
  "fleet": {"ranks": [{"name": "urgent", "target_ms": 100, "floor_percent": 0}]},
  "teams": {"orders": {
    "pools": {"drafts": {"keyed": true, "shards": 16, "slots": 3, "connections": 300, "attempt_timeout_ms": 3000}},
    "routes": [{"name": "read", "methods": ["GET"], "path": "/drafts/{key}", "pool": "drafts", "rank": "urgent", "timeout_ms": 3000}]
  }}
}`
)

// startOutageFleet starts daemons and servers with outageSettings and waits until all are ready.
func startOutageFleet(t *testing.T, daemons, servers int) *fleet.Fleet {
	f, err := fleet.Start(fleet.Options{
		Settings: []byte(outageSettings),
		Zones:    []model.Zone{"a"},
		Daemons:  daemons,
		Servers:  []fleet.PoolServers{{Pool: "drafts", Count: servers}},
	})
	must.NoError(t, err)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	must.NoError(t, f.WaitReady(ctx))
	return f
}

// TestKeyThatMovesIsServedWhileTheStoreIsDown guards against a move that began before an
// outage of the store and leaves its keys without a server until the store is back.
func TestKeyThatMovesIsServedWhileTheStoreIsDown(t *testing.T) {
	f := startOutageFleet(t, 3, 2)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	owner := serverNamed(f, readKey(t, f).server)

	// A request that runs at the owner delays the end of the move.
	owner.SetFaults(backend.Faults{ServiceMS: 1500})
	runs := len(owner.Runs())
	delayed := make(chan keyAnswer, 1)
	go func() { delayed <- readKey(t, f) }()
	must.NoError(t, await(ctx, func() bool { return len(owner.Runs()) > runs }))
	f.Platform.Register(platform.Instance{
		ID: string(owner.ID()), Kind: platform.KindServer, Pool: "drafts", Zone: "a",
		State: platform.StateLeaving, Address: owner.Address(),
	})
	must.NoError(t, await(ctx, func() bool { return keyMoves(t, f) }))
	f.Platform.SetFaults(platformd.Faults{Down: true})
	owner.SetFaults(backend.Faults{})
	must.Eq(t, fasthttp.StatusOK, (<-delayed).status)

	answer := readKey(t, f)
	must.Eq(t, fasthttp.StatusOK, answer.status, must.Sprint(answer.body))
}

// keyAnswer is the answer to a request for outagePath.
type keyAnswer struct {
	status int
	server model.ServerID
	body   string
}

// readKey requests outagePath from the first daemon.
func readKey(t *testing.T, f *fleet.Fleet) keyAnswer {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + f.Nodes[0].CallerAddress() + outagePath)
	if err := fasthttp.DoTimeout(request, response, 10*time.Second); err != nil {
		t.Errorf("request of %s: %v", outagePath, err)
		return keyAnswer{}
	}
	return keyAnswer{
		status: response.StatusCode(),
		server: model.ServerID(response.Header.Peek(wire.HeaderServer)),
		body:   string(response.Body()),
	}
}

func serverNamed(f *fleet.Fleet, id model.ServerID) *backend.Server {
	for _, server := range f.Servers {
		if server.ID() == id {
			return server
		}
	}
	return nil
}

// keyMoves reports whether the table shows a move of the shard of outagePath.
func keyMoves(t *testing.T, f *fleet.Fleet) bool {
	row, err := adapter.NewStore(f.Platform.Address(), nil).Get(t.Context(), "assignment/drafts")
	must.NoError(t, err)
	var assignment ownership.Assignment
	must.NoError(t, json.Unmarshal(row.Value, &assignment))
	shard, ok := assignment.Shard(assignment.ShardOf("order-17"))
	must.True(t, ok)
	return shard.Next != ""
}

// await polls a condition until it holds or ctx ends.
func await(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return nil
}
