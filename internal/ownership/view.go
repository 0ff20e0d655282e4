package ownership

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
)

// PoolRules are the settings of a pool that bear on ownership.
type PoolRules struct {
	Keyed  bool
	Shards int
	Slots  int
	// AttemptTimeout bounds what a server may still run of a keyed pool after
	// its dispatcher stopped without an orderly end.
	AttemptTimeout time.Duration
	Weights        placement.Weights
}

// ListedServer is a server that the settings or the instance list name.
type ListedServer struct {
	ID      model.ServerID
	Zone    model.Zone
	Address string
	State   ServerState
	// Cause says why the server has its state.
	Cause string
	// Weight is the share of a full server that it may carry, 0 to 1.
	Weight float64
}

// LiveDaemon is a daemon that may become a dispatcher.
type LiveDaemon struct {
	ID          model.DaemonID
	Incarnation model.Incarnation
	Zone        model.Zone
	Dispatch    string
	Control     string
	// OtherPoolServers is the number of servers of other pools to which it dispatches.
	OtherPoolServers int
}

// View is everything besides the assignment that a decision depends on.
type View struct {
	Now         time.Time
	Term        model.Term
	Coordinator Coordinator
	Rules       PoolRules
	Servers     []ListedServer
	Daemons     []LiveDaemon
	Acks        map[model.DaemonID]Ack
	// EndedAt gives the time at which a life of a daemon was known to have ended.
	EndedAt map[model.Incarnation]time.Time
	// BarrierSeq is the sequence number before which no silent dispatcher holds a
	// permit any more.
	BarrierSeq model.Seq
	// ShardRates gives the smoothed rate of each shard.
	ShardRates map[model.ShardID]float64
	// HotKeyLoads lists the hottest keys with their smoothed rates.
	HotKeyLoads []KeyLoad
	// MoveBudget bounds the moves between two servers that stay.
	MoveBudget int
}

// ClockMargin is added to each wait for another clock.
const ClockMargin = 100 * time.Millisecond

// stopped reports that a dispatcher of a server can no longer have a request
// on the shard there that began before the sequence number.
func (v *View) stopped(server model.ServerID, d *Dispatcher, since model.Seq, shard model.ShardID) bool {
	if ack, ok := v.ackOf(d); ok && ack.Seq >= since {
		return ack.ShardDrained(server, shard)
	}
	return v.ended(d) || v.BarrierSeq >= since
}

// idle is stopped for all shards.
func (v *View) idle(server model.ServerID, d *Dispatcher) bool {
	if ack, ok := v.ackOf(d); ok && ack.Seq >= d.StateSeq {
		return ack.ServerDrained(server)
	}
	return v.ended(d) || v.BarrierSeq >= d.StateSeq
}

func (v *View) ackOf(d *Dispatcher) (Ack, bool) {
	ack, ok := v.Acks[d.Daemon]
	return ack, ok && ack.Incarnation == d.Incarnation
}

// ended reports that the dispatcher's process ended and that the deadline of
// what it may have had in flight has passed.
func (v *View) ended(d *Dispatcher) bool {
	end, ok := v.EndedAt[d.Incarnation]
	return ok && !v.Now.Before(end.Add(v.Rules.AttemptTimeout+ClockMargin))
}
