// Package agent keeps the permits of this daemon's dispatcher valid. A permit allows
// the dispatcher to send requests for some shards to one server, for a limited time. The
// agent renews the permits with each pool's coordinator, applies assignments to the gate
// and acknowledges them. When a coordinator does not answer, it asks the fleet (package
// attest) for a confirmation that the assignment is still the newest one.
//
// Where servers check grants themselves, the agent also sends them the grants: the shards
// and epochs for which they may run requests.
package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/assignments"
	"github.com/chicorylug/chicorylug/internal/attest"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/ctlproto"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/member"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/observe"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// ServiceName is the service's name in the kernel.
const ServiceName kernel.Name = "agent"

// Intervals and bounds.
const (
	renewInterval      = 200 * time.Millisecond // time between two renewals of a pool
	reportInterval     = time.Second            // time between two reports of loads and of health that has not changed
	drainRenewInterval = 20 * time.Millisecond  // time between renewals while requests of moving shards are in flight
	renewTimeout       = 400 * time.Millisecond // for one renewal
	attestAge          = time.Second            // time since the last confirmation after which the fleet is asked for one
)

// Agent keeps the permits valid.
type Agent struct {
	config       *config.Config
	loop         *control.Loop
	network      *netx.Network
	member       *member.Tracker
	gate         *ownership.Gate // checks the requests against the permits
	directory    *directory.Directory
	observations *observe.Table     // health and loads of the servers, as the dispatcher sees them
	store        *assignments.Store // newest assignment of each pool
	attest       *attest.Attester
	client       *rpc.Client
	journal      *journal.Journal
	counters     counters
	log          *zap.Logger
	granter      *granter // sends grants to the servers that check them

	// These are used on the control goroutine only.
	replicas              map[model.PoolName]*ownership.Replica
	frozenPools           map[model.PoolName]bool      // pools that continue without an answer of their coordinator; see markFrozen
	lostServers           map[model.ServerRef]bool     // lost servers whose requests drainLost has begun to end
	coordinatorAnsweredAt map[model.PoolName]time.Time // time of the last answer of the pool's coordinator
	// reportedAt is when a renewal last carried loads and unchanged health.
	reportedAt map[model.PoolName]time.Time

	evidence   evidenceStore
	renewing   sync.Map      // names of the pools with a renewal in flight
	renewNow   chan struct{} // makes renewLoop start the next renewals at once
	background kernel.Background
}

// counters are the functions that add to the metrics that New registers.
type counters struct {
	renewals, failed, attested, refused func(int64)
}

// New returns an agent that is not yet started.
func New(
	c *config.Config,
	loop *control.Loop,
	network *netx.Network,
	m *member.Tracker,
	gate *ownership.Gate,
	dir *directory.Directory,
	observations *observe.Table,
	store *assignments.Store,
	at *attest.Attester,
	server *rpc.Server,
	client *rpc.Client,
	j *journal.Journal,
	registry *metrics.Registry,
	log *zap.Logger,
) *Agent {
	a := &Agent{
		config:       c,
		loop:         loop,
		network:      network,
		member:       m,
		gate:         gate,
		directory:    dir,
		observations: observations,
		store:        store,
		attest:       at,
		client:       client,
		journal:      j,
		counters: counters{
			renewals: registry.Int("permit_renewals").Add,
			failed:   registry.Int("permit_renewals_failed").Add,
			attested: registry.Int("permits_attested").Add,
			refused:  registry.Int("control_messages_refused").Add,
		},
		log:                   log.Named(string(ServiceName)),
		replicas:              map[model.PoolName]*ownership.Replica{},
		frozenPools:           map[model.PoolName]bool{},
		lostServers:           map[model.ServerRef]bool{},
		coordinatorAnsweredAt: map[model.PoolName]time.Time{},
		reportedAt:            map[model.PoolName]time.Time{},
		renewNow:              make(chan struct{}, 1),
	}
	a.granter = newGranter(a)
	a.evidence.latest = map[model.ServerRef]ownership.Evidence{}
	a.evidence.unsent = map[model.ServerRef]bool{}
	store.OnChange(a.assignmentChanged)
	observations.SetListener(a.recordEvidence)
	rpc.Handle(server, ctlproto.MethodUpdate, a.serveUpdate)
	return a
}

// Name implements kernel.Service.
func (a *Agent) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (a *Agent) After() []kernel.Name { return []kernel.Name{attest.ServiceName} }

// Ready implements kernel.Service.
func (a *Agent) Ready() error { return nil }

// Start implements kernel.Service.
func (a *Agent) Start(context.Context) error {
	a.background.Go(a.renewLoop)
	a.background.Go(a.attestLoop)
	return nil
}

// Stop implements kernel.Service.
func (a *Agent) Stop(context.Context) error {
	a.background.Stop()
	return nil
}

// replica returns this daemon's replica of the pool's assignment. It runs on the control
// goroutine.
func (a *Agent) replica(pool model.PoolName) *ownership.Replica {
	r, ok := a.replicas[pool]
	if !ok {
		r = ownership.NewReplica(a.config.Name, a.member.Incarnation())
		a.replicas[pool] = r
	}
	return r
}

// assignmentChanged applies a newer assignment, and renews the permits to acknowledge it. It
// runs on the control goroutine.
func (a *Agent) assignmentChanged(assignment *ownership.Assignment) {
	if !a.replica(assignment.Pool).Advance(assignment) {
		return
	}
	a.applyPermits()
	a.drainLost(assignment)
	a.triggerRenewal()
}

// triggerRenewal makes the renewals start now instead of at the end of the interval.
func (a *Agent) triggerRenewal() {
	select {
	case a.renewNow <- struct{}{}:
	default:
	}
}

// applyPermits replaces the permits of the gate by those of all pools. It runs on the control
// goroutine.
func (a *Agent) applyPermits() {
	var permits []*ownership.Permit
	for _, replica := range a.replicas {
		permits = append(permits, replica.Permits()...)
	}
	a.gate.Apply(a.granter.restrict(permits))
}

// ActiveServers returns the number of servers, of all pools, whose active dispatcher is this
// daemon.
func (a *Agent) ActiveServers(ctx context.Context) (int, error) {
	// The channel is buffered because the function may run after Call has returned with
	// an error, when nothing receives from the channel.
	result := make(chan int, 1)
	err := a.loop.Call(ctx, func() {
		count := 0
		for _, replica := range a.replicas {
			count += len(replica.Permits())
		}
		result <- count
	})
	if err != nil {
		return 0, err
	}
	return <-result, nil
}

// CoordinatorUnresponsive reports whether this daemon is a dispatcher of the pool and has
// had no answer from its coordinator for longer than the given time. It must be called on
// the control goroutine.
func (a *Agent) CoordinatorUnresponsive(pool model.PoolName, now time.Time, silence time.Duration) bool {
	replica, ok := a.replicas[pool]
	return ok && replica.IsDispatcher() && now.Sub(a.coordinatorAnsweredAt[pool]) > silence
}

// buildAck returns the acknowledgement of the pool's newest assignment, with the shards on
// which a request of this daemon may still run. It runs on the control goroutine.
func (a *Agent) buildAck(pool model.PoolName) ownership.Ack {
	ack := ownership.Ack{
		Daemon:      a.config.Name,
		Incarnation: a.member.Incarnation(),
		Seq:         a.replica(pool).Seq(),
	}
	now := time.Now()
	for _, ref := range a.gate.Servers() {
		if ref.Pool != pool {
			continue
		}
		if shards := a.gate.Undrained(ref, now); len(shards) > 0 {
			ack.Undrained = append(ack.Undrained, ownership.ServerShards{Server: ref.Server, Shards: shards})
		}
	}
	return ack
}

// serveUpdate applies an assignment that a coordinator pushed and returns its
// acknowledgement. It refuses a coordinator whose term is older than that of this daemon's
// assignment.
func (a *Agent) serveUpdate(ctx context.Context, request *ctlproto.UpdateRequest) (*ctlproto.UpdateResponse, error) {
	response := &ctlproto.UpdateResponse{}
	err := a.loop.Call(ctx, func() {
		if assignment := a.replica(request.Pool).Assignment(); assignment != nil && assignment.Term > request.Term {
			a.counters.refused(1)
			response.Refusal = &ctlproto.Refusal{Code: ctlproto.StaleTerm, Term: assignment.Term}
			return
		}
		a.applyUpdate(request.Update)
		response.Ack = a.buildAck(request.Pool)
	})
	return response, err
}

// applyUpdate applies a delta, if any, to the store and then to the gate before it returns.
// The store also posts the change to the control loop, but that runs only later. It runs
// on the control goroutine.
func (a *Agent) applyUpdate(update *ownership.Delta) {
	if update == nil {
		return
	}
	a.store.ApplyDelta(update)
	if assignment := a.store.Current(update.Pool); assignment != nil {
		a.assignmentChanged(assignment)
	}
}
