package ownership

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// PoolRules are the settings of a pool that affect ownership.
type PoolRules struct {
	Keyed  bool
	Shards int // number of shards that a new keyed pool gets
	Slots  int // requests that the dispatcher of a server may have in flight there
	// AttemptTimeout bounds the time for which a server of a keyed pool may
	// still run requests after the process of their dispatcher has ended.
	AttemptTimeout time.Duration
	Weights        placement.Weights
}

// ListedServer is a server named in the settings or in the instance list.
type ListedServer struct {
	ID      model.ServerID
	Zone    model.Zone
	Address string
	State   ServerState
	// Cause is why the server has its state.
	Cause string
	// Weight is the fraction of a full server's load that the server may carry,
	// from 0 to 1.
	Weight float64
}

// LiveDaemon is a daemon that is available as a dispatcher.
type LiveDaemon struct {
	ID          model.DaemonID
	Incarnation model.Incarnation
	Zone        model.Zone
	Dispatch    string // host:port for requests
	Control     string // host:port for control calls
	// OtherPoolServers is the number of servers of other pools to which the
	// daemon dispatches.
	OtherPoolServers int
}

// View is the coordinator's view of the pool and the fleet: the input of Plan
// besides the current assignment.
type View struct {
	Now time.Time
	// Era is the table's era in which the next assignment is written.
	Era         platform.Era
	Term        model.Term
	Coordinator Coordinator
	Rules       PoolRules
	Servers     []ListedServer
	Daemons     []LiveDaemon
	Acks        map[model.DaemonID]Ack
	// EndedAt gives, for each incarnation known to have ended, the time at
	// which this was detected.
	EndedAt map[model.Incarnation]time.Time
	// BarrierSeq is the sequence number of the last completed barrier: a
	// majority of the fleet had that version, and all permits confirmed before
	// have expired since. A dispatcher that has not acknowledged BarrierSeq
	// therefore holds no valid permit of an earlier version.
	BarrierSeq model.Seq
	// ShardRates gives the smoothed rate of each shard, in requests per second.
	ShardRates map[model.ShardID]float64
	// HotKeyLoads lists the keys with the highest smoothed rates, the highest
	// first.
	HotKeyLoads []KeyLoad
	// MoveBudget is the maximum number of moves that Plan may begin between
	// active servers, to balance their load.
	MoveBudget int
}

// ClockMargin is added to each wait for a time limit that another daemon or a
// server measures by its own clock.
const ClockMargin = 100 * time.Millisecond

// shardDrained reports whether no request that the dispatcher sent on the shard
// before version moveSeq can still run at the server.
func (v *View) shardDrained(server model.ServerID, d *Dispatcher, moveSeq model.Seq, shard model.ShardID) bool {
	if ack, ok := v.ackOf(d); ok && ack.Seq >= moveSeq {
		return ack.ShardDrained(server, shard)
	}
	return v.processEnded(d) || v.BarrierSeq >= moveSeq
}

// serverDrained reports whether no request that the dispatcher sent before it
// got its state can still run at the server, on any shard.
func (v *View) serverDrained(server model.ServerID, d *Dispatcher) bool {
	if ack, ok := v.ackOf(d); ok && ack.Seq >= d.StateSeq {
		return ack.ServerDrained(server)
	}
	return v.processEnded(d) || v.BarrierSeq >= d.StateSeq
}

func (v *View) ackOf(d *Dispatcher) (Ack, bool) {
	ack, ok := v.Acks[d.Daemon]
	return ack, ok && ack.Incarnation == d.Incarnation
}

// processEnded reports whether the dispatcher's process has ended and the
// deadline of any request it had in flight has passed.
func (v *View) processEnded(d *Dispatcher) bool {
	end, ok := v.EndedAt[d.Incarnation]
	return ok && !v.Now.Before(end.Add(v.Rules.AttemptTimeout+ClockMargin))
}
