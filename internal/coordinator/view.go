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

// Limits on moves for balance.
const (
	balancePeriod  = 2 * time.Second // time between two rounds that may move shards for balance
	balanceDivisor = 32              // at most one in this many shards moves in such a round, but at least one shard may
)

// defaultWeights are used for pools whose settings specify none.
var defaultWeights = placement.Weights{Imbalance: 1, Churn: 1, Unavailable: 1}

// view returns the input of ownership.Plan. It reports false when the settings
// lack the pool, or when the pool has no servers yet. It runs on the control
// goroutine.
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
		Era:         ctl.era,
		Term:        ctl.term,
		Coordinator: ctl.self(),
		Rules:       rulesOf(pool),
		Servers:     servers,
		Daemons:     ctl.liveDaemons(now),
		Acks:        ctl.acks,
		EndedAt:     ctl.ended,
		BarrierSeq:  ctl.barrierSeq,
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

// moveBudget returns the number of shards that may move for balance in this
// round: none while a move is in progress or before balancePeriod has passed. A
// call that returns a budget starts a new period.
func (ctl *controller) moveBudget(now time.Time) int {
	assignment := ctl.newest()
	if now.Sub(ctl.lastBalance) < balancePeriod {
		return 0
	}
	for _, shard := range assignment.Shards {
		if shard.Next != "" {
			return 0
		}
	}
	ctl.lastBalance = now
	return max(1, len(assignment.Shards)/balanceDivisor)
}

// instances returns the servers of the pool: the targets in the settings or, if
// there are none, the servers in the instance list.
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

// listedServers returns the listed servers with their judged states and
// weights.
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
		listed.State, listed.Cause = state.classify(instance.State, now)
		if listed.State == ownership.ServerActive && pool.Drained(listed.ID) {
			listed.State, listed.Cause = ownership.ServerLeaving, "an operator drains it"
		}
		servers = append(servers, listed)
	}
	return servers
}

// liveDaemons returns the daemons that are available as dispatchers.
func (ctl *controller) liveDaemons(now time.Time) []ownership.LiveDaemon {
	serverCounts := ctl.serversInOtherPools()
	var live []ownership.LiveDaemon
	for id, daemon := range ctl.c.member.Members().Daemons {
		leaving := daemon.Leaving || (ctl.c.leaving && id == ctl.c.config.Name)
		_, ended := ctl.ended[daemon.Incarnation]
		if leaving || ended || now.Before(ctl.avoidedUntil(id)) {
			continue
		}
		live = append(live, ownership.LiveDaemon{
			ID:               id,
			Incarnation:      daemon.Incarnation,
			Zone:             daemon.Zone,
			Dispatch:         daemon.Dispatch,
			Control:          daemon.Control,
			OtherPoolServers: serverCounts[id],
		})
	}
	return live
}

// avoidedUntil returns the time before which the daemon gets no servers.
func (ctl *controller) avoidedUntil(id model.DaemonID) time.Time {
	if p, ok := ctl.peers[id]; ok {
		return p.avoidUntil
	}
	return time.Time{}
}

// serversInOtherPools returns the number of servers of other pools by active
// dispatcher.
func (ctl *controller) serversInOtherPools() map[model.DaemonID]int {
	counts := map[model.DaemonID]int{}
	for name, assignment := range ctl.c.directory.Load().Pools {
		if name == ctl.pool {
			continue
		}
		for i := range assignment.Servers {
			if active := assignment.Servers[i].ActiveDispatcher(); active != nil {
				counts[active.Daemon]++
			}
		}
	}
	return counts
}

// journalChanges writes the changes of a version to the journal and counts the
// moves. It runs on the control goroutine.
func (ctl *controller) journalChanges(next *ownership.Assignment, changes []ownership.Change) {
	for _, change := range changes {
		if change.Kind == ownership.ChangeMoveEnded {
			ctl.c.counters.moves(1)
		}
		ctl.c.journal.Add(journal.Event{
			Kind:    journalKind(change),
			Pool:    next.Pool,
			Subject: change.Subject,
			Cause:   change.Cause,
			Term:    next.Term,
			Seq:     next.Seq,
		})
	}
}

func journalKind(change ownership.Change) journal.Kind {
	switch change.Kind {
	case ownership.ChangeMoveBegan, ownership.ChangeKeySplit:
		return journal.ShardMoveBegan
	case ownership.ChangeMoveEnded:
		return journal.ShardMoveEnded
	case ownership.ChangeDispatcher:
		return journal.DispatcherChange
	case ownership.ChangeServer:
		return serverJournalKind(change.State)
	default:
		return journal.AssignmentWritten
	}
}

func serverJournalKind(state ownership.ServerState) journal.Kind {
	switch state {
	case ownership.ServerLost:
		return journal.ServerLost
	case ownership.ServerLeaving:
		return journal.ServerLeaving
	case ownership.ServerActive:
		return journal.ServerBack
	default:
		return journal.AssignmentWritten
	}
}
