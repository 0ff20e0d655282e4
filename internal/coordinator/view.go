package coordinator

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/placement"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// Rates of moves for balance.
const (
	balancePeriod = 2 * time.Second // time between two rounds that may move shards for balance
	balanceShare  = 32              // one shard of this many may move in such a round
)

// defaultWeights are used for pools whose settings give none.
var defaultWeights = placement.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}

// view gathers what a decision depends on. It reports false while the settings
// do not have the pool. It runs on the control goroutine.
func (ctl *controller) view(now time.Time) (ownership.View, bool) {
	compiled := ctl.c.directory.Load().Settings
	if compiled == nil || compiled.Pools[ctl.pool] == nil {
		return ownership.View{}, false
	}
	pool := compiled.Pools[ctl.pool]
	servers := ctl.listedServers(pool, now)
	if len(servers) == 0 && len(ctl.newest().Servers) == 0 {
		return ownership.View{}, false
	}
	return ownership.View{
		Now:         now,
		Term:        ctl.term,
		Coordinator: ctl.self(),
		Rules:       rulesOf(pool),
		Servers:     servers,
		Daemons:     ctl.liveDaemons(now),
		Acks:        ctl.acks,
		EndedAt:     ctl.ended,
		BarrierSeq:  ctl.barrier,
		ShardRates:  ctl.loads.shards(),
		HotKeyLoads: ctl.loads.hottest(),
		MoveBudget:  ctl.moveBudget(now),
	}, true
}

func (ctl *controller) self() ownership.Coordinator {
	return ownership.Coordinator{
		Daemon:      ctl.c.config.Name,
		Incarnation: ctl.c.member.Incarnation(),
		Control:     ctl.c.config.ControlAddress,
	}
}

func rulesOf(pool *settings.Pool) ownership.PoolRules {
	rules := ownership.PoolRules{
		Keyed:          pool.Keyed,
		Shards:         pool.Shards,
		Slots:          pool.Slots,
		AttemptTimeout: pool.AttemptTimeout(),
		Weights:        defaultWeights,
	}
	if w := pool.Placement; w != nil {
		rules.Weights = placement.Weights{Imbalance: w.Imbalance, Churn: w.Churn, Unavailable: w.Unavailable}
	}
	return rules
}

// moveBudget returns the number of shards that may move for balance now.
func (ctl *controller) moveBudget(now time.Time) int {
	known := ctl.newest()
	if now.Sub(ctl.balance) < balancePeriod {
		return 0
	}
	for _, shard := range known.Shards {
		if shard.Next != "" {
			return 0
		}
	}
	ctl.balance = now
	return max(1, len(known.Shards)/balanceShare)
}

// instances returns the servers of the pool by the settings or the instance list.
func (ctl *controller) instances(pool *settings.Pool) []platform.Instance {
	var list []platform.Instance
	for _, target := range pool.Targets {
		list = append(list, platform.Instance{
			ID:      string(target.Name),
			Zone:    target.Zone,
			Address: target.Address,
			State:   platform.StateLive,
		})
	}
	if len(list) > 0 {
		return list
	}
	for _, instance := range ctl.c.member.Members().Instances {
		if instance.Kind == platform.KindServer && instance.Pool == ctl.pool {
			list = append(list, instance)
		}
	}
	return list
}

func (ctl *controller) listedServers(pool *settings.Pool, now time.Time) []ownership.ListedServer {
	slowStart := time.Duration(pool.SlowStartMS) * time.Millisecond
	var servers []ownership.ListedServer
	for _, instance := range ctl.instances(pool) {
		state := ctl.server(model.ServerID(instance.ID), now)
		listed := ownership.ListedServer{
			ID:      model.ServerID(instance.ID),
			Zone:    instance.Zone,
			Address: instance.Address,
			Weight:  state.weight(now, slowStart),
		}
		listed.State, listed.Cause = state.judge(instance.State, now)
		if listed.State == ownership.ServerActive && pool.Drained(listed.ID) {
			listed.State, listed.Cause = ownership.ServerLeaving, "an operator drains it"
		}
		servers = append(servers, listed)
	}
	return servers
}

// liveDaemons returns the daemons that may dispatch.
func (ctl *controller) liveDaemons(now time.Time) []ownership.LiveDaemon {
	busy := ctl.busyElsewhere()
	var live []ownership.LiveDaemon
	for id, daemon := range ctl.c.member.Members().Daemons {
		leaving := daemon.Leaving || (ctl.c.leaving && id == ctl.c.config.Name)
		_, ended := ctl.ended[daemon.Incarnation]
		if leaving || ended || now.Before(ctl.avoided(id)) {
			continue
		}
		live = append(live, ownership.LiveDaemon{
			ID:               id,
			Incarnation:      daemon.Incarnation,
			Zone:             daemon.Zone,
			Dispatch:         daemon.Dispatch,
			Control:          daemon.Control,
			OtherPoolServers: busy[id],
		})
	}
	return live
}

func (ctl *controller) avoided(id model.DaemonID) time.Time {
	if p, ok := ctl.peers[id]; ok {
		return p.avoid
	}
	return time.Time{}
}

// busyElsewhere counts the servers of other pools by their active dispatcher.
func (ctl *controller) busyElsewhere() map[model.DaemonID]int {
	busy := map[model.DaemonID]int{}
	for name, assignment := range ctl.c.directory.Load().Pools {
		if name == ctl.pool {
			continue
		}
		for i := range assignment.Servers {
			if active := assignment.Servers[i].ActiveDispatcher(); active != nil {
				busy[active.Daemon]++
			}
		}
	}
	return busy
}

// record journals the decisions of a version. It runs on the control goroutine.
func (ctl *controller) record(next *ownership.Assignment, changes []ownership.Change) {
	for _, change := range changes {
		if change.Kind == ownership.ChangeMoveEnded {
			ctl.c.counters.moves(1)
		}
		ctl.c.journal.Add(journal.Event{
			Kind:    kindOf(change),
			Pool:    next.Pool,
			Subject: change.Subject,
			Cause:   change.Cause,
			Term:    next.Term,
			Seq:     next.Seq,
		})
	}
}

func kindOf(change ownership.Change) journal.Kind {
	switch change.Kind {
	case ownership.ChangeMoveBegan, ownership.ChangeKeySplit:
		return journal.ShardMoveBegan
	case ownership.ChangeMoveEnded:
		return journal.ShardMoveEnded
	case ownership.ChangeDispatcher:
		return journal.DispatcherChange
	case ownership.ChangeServer:
		return serverKind(change.State)
	default:
		return journal.AssignmentWrote
	}
}

func serverKind(state ownership.ServerState) journal.Kind {
	switch state {
	case ownership.ServerLost:
		return journal.ServerLost
	case ownership.ServerLeaving:
		return journal.ServerLeaving
	case ownership.ServerActive:
		return journal.ServerBack
	default:
		return journal.AssignmentWrote
	}
}
