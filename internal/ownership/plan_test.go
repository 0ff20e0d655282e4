package ownership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
)

const testKey model.Key = "order-17"

// testView returns a view with two servers and one dispatcher.
func testView() View {
	return View{
		Now:         time.Unix(1_000_000, 0),
		Term:        1,
		Coordinator: Coordinator{Daemon: "d1", Incarnation: "life"},
		Rules:       PoolRules{Keyed: true, Shards: 8, Slots: 1, Weights: placement.Weights{Imbalance: 1}},
		Servers:     []ListedServer{{ID: "s1", State: ServerActive, Weight: 1}, {ID: "s2", State: ServerActive, Weight: 1}},
		Daemons:     []LiveDaemon{{ID: "d1", Incarnation: "life"}},
		Acks:        map[model.DaemonID]Ack{},
	}
}

// firstAssignment returns the first assignment of a new pool.
func firstAssignment(t *testing.T, view View) *Assignment {
	first, _ := Plan(&Assignment{Pool: "drafts"}, view)
	must.NotNil(t, first)
	return first
}

func TestHotKeyIsSplitOnlyAfterItsShardDrained(t *testing.T) {
	view := testView()
	first := firstAssignment(t, view)
	parent := first.ShardOf(testKey)
	owner := first.Shards[parent]

	view.HotKeyLoads = []KeyLoad{{Key: testKey, Shard: parent, Rate: 1000}}
	began, _ := Plan(first, view)
	must.Eq(t, parent, began.ShardOf(testKey))
	must.Eq(t, owner.Server, began.Shards[parent].Next)

	view.Acks["d1"] = Ack{Daemon: "d1", Incarnation: "life", Seq: began.Seq,
		Undrained: []ServerShards{{Server: owner.Server, Shards: []model.ShardID{parent}}}}
	next, _ := Plan(began, view)
	must.Nil(t, next)

	view.Acks["d1"] = Ack{Daemon: "d1", Incarnation: "life", Seq: began.Seq}
	split, _ := Plan(began, view)
	own := split.ShardOf(testKey)
	must.NotEq(t, parent, own)
	must.Eq(t, Shard{Server: owner.Server, Epoch: owner.Epoch + 1}, split.Shards[own])
	must.Eq(t, owner.Epoch+1, split.Shards[parent].Epoch)
}

// TestMoveEndsAtItsTargetWhenThatIsLost guards against a move that ends at another server
// while its target may serve the shard already.
func TestMoveEndsAtItsTargetWhenThatIsLost(t *testing.T) {
	view := testView()
	view.Servers = append(view.Servers, ListedServer{ID: "s3", State: ServerActive, Weight: 1})
	first := firstAssignment(t, view)
	const id = 0
	owner := first.Shards[id]
	setServerState(&view, owner.Server, ServerLeaving)
	began, _ := Plan(first, view)
	target := began.Shards[id].Next
	must.NotEq(t, owner.Server, target)

	view.Acks["d1"] = Ack{Daemon: "d1", Incarnation: "life", Seq: began.Seq}
	early := began.WithDrained(DrainedMoves(began, view))
	must.Eq(t, Shard{Server: target, Epoch: owner.Epoch + 1}, early.Shards[id])

	setServerState(&view, target, ServerLost)
	ended, _ := Plan(began, view)
	must.Eq(t, target, ended.Shards[id].Server)
	must.Eq(t, owner.Epoch+1, ended.Shards[id].Epoch)
	must.NotEq(t, "", ended.Shards[id].Next)
	must.Eq(t, ended.Seq, ended.Shards[id].MoveSeq)
}

// setServerState sets the state of a listed server.
func setServerState(view *View, id model.ServerID, state ServerState) {
	for i := range view.Servers {
		if view.Servers[i].ID == id {
			view.Servers[i].State = state
		}
	}
}

// TestShardThatIsSplitIsNotServedBeforeTheTableShowsIt guards against requests for a hot
// key under its parent's next epoch, which would run beside those of its own shard.
func TestShardThatIsSplitIsNotServedBeforeTheTableShowsIt(t *testing.T) {
	view := testView()
	first := firstAssignment(t, view)
	parent := first.ShardOf(testKey)
	view.HotKeyLoads = []KeyLoad{{Key: testKey, Shard: parent, Rate: 1000}}
	began, _ := Plan(first, view)
	view.Acks["d1"] = Ack{Daemon: "d1", Incarnation: "life", Seq: began.Seq}

	must.SliceEmpty(t, DrainedMoves(began, view))
	moves := []DrainedMove{{ID: parent, Shard: began.Shards[parent]}}
	must.Eq(t, began, began.WithDrained(moves))
}

func TestDeltaLeadsToTheSameAssignment(t *testing.T) {
	view := testView()
	first := firstAssignment(t, view)
	view.Servers[0].State = ServerLost
	view.Servers = append(view.Servers, ListedServer{ID: "s3", State: ServerActive, Weight: 1})
	second, _ := Plan(first, view)

	whole, ok := DeltaOf(nil, second).Apply(first)
	must.True(t, ok)
	must.Eq(t, second, whole)
	applied, ok := DeltaOf(first, second).Apply(first)
	must.True(t, ok)
	must.Eq(t, second, applied)
	_, ok = DeltaOf(first, second).Apply(second)
	must.False(t, ok)
	_, ok = DeltaOf(first, second).Apply(nil)
	must.False(t, ok)
}

func TestFleetChangeNeedsMajorityOfPreviousMembers(t *testing.T) {
	old := Fleet{Version: 1, Members: []model.DaemonID{"d1", "d2", "d3"}}
	listed := []model.DaemonID{"d3", "d4", "d5"}
	joint := NextFleet(old, listed, nil)
	must.Eq(t, old.Members, joint.Previous)
	must.False(t, joint.Quorum(map[model.DaemonID]bool{"d3": true, "d4": true, "d5": true}))
	must.True(t, joint.Quorum(map[model.DaemonID]bool{"d2": true, "d3": true, "d4": true}))
	must.Nil(t, NextFleet(*joint, listed, map[model.DaemonID]bool{"d3": true, "d4": true}))
	final := NextFleet(*joint, listed, map[model.DaemonID]bool{"d1": true, "d2": true})
	must.Eq(t, listed, final.Members)
	must.SliceEmpty(t, final.Previous)
}
