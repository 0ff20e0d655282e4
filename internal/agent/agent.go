// Package agent keeps the permits of this daemon's dispatcher: it renews them
// with each pool's coordinator, applies assignments to the gate, acknowledges
// them, and asks the fleet when a coordinator does not answer.
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

// Periods and bounds.
const (
	renewPeriod  = 200 * time.Millisecond // time between two renewals of a pool
	reportPeriod = time.Second            // time between two reports of loads and unchanged health
	drainPeriod  = 20 * time.Millisecond  // time between renewals while requests of moving shards are in flight
	renewLimit   = 400 * time.Millisecond // bound of one renewal
	attestAfter  = time.Second            // age of a permit from which on the fleet is asked
)

// Agent keeps the permits.
type Agent struct {
	config    *config.Config
	loop      *control.Loop
	network   *netx.Network
	member    *member.Member
	gate      *ownership.Gate
	directory *directory.Directory
	board     *observe.Board
	store     *assignments.Store
	attest    *attest.Attest
	client    *rpc.Client
	journal   *journal.Journal
	counters  counters
	log       *zap.Logger
	granter   *granter

	// These belong to the control goroutine.
	holders map[model.PoolName]*ownership.Replica
	frozen  map[model.PoolName]bool
	lost    map[model.ServerRef]bool
	heard   map[model.PoolName]time.Time // last answer of the pool's coordinator
	// reported is when a renewal last carried loads and unchanged health.
	reported map[model.PoolName]time.Time

	evidence   evidenceBoard
	busy       sync.Map // pools with a renewal under way
	wake       chan struct{}
	background kernel.Background
}

type counters struct {
	renewals, failed, attested, refused func(int64)
}

// New returns an agent that is not yet started.
func New(
	c *config.Config,
	loop *control.Loop,
	network *netx.Network,
	m *member.Member,
	gate *ownership.Gate,
	dir *directory.Directory,
	board *observe.Board,
	store *assignments.Store,
	at *attest.Attest,
	server *rpc.Server,
	client *rpc.Client,
	j *journal.Journal,
	registry *metrics.Registry,
	log *zap.Logger,
) *Agent {
	a := &Agent{
		config:    c,
		loop:      loop,
		network:   network,
		member:    m,
		gate:      gate,
		directory: dir,
		board:     board,
		store:     store,
		attest:    at,
		client:    client,
		journal:   j,
		counters: counters{
			renewals: registry.Int("permit_renewals").Add,
			failed:   registry.Int("permit_renewals_failed").Add,
			attested: registry.Int("permits_attested").Add,
			refused:  registry.Int("control_messages_refused").Add,
		},
		log:      log.Named(string(ServiceName)),
		holders:  map[model.PoolName]*ownership.Replica{},
		frozen:   map[model.PoolName]bool{},
		lost:     map[model.ServerRef]bool{},
		heard:    map[model.PoolName]time.Time{},
		reported: map[model.PoolName]time.Time{},
		wake:     make(chan struct{}, 1),
	}
	a.granter = newGranter(a)
	a.evidence.latest = map[model.ServerRef]ownership.Evidence{}
	a.evidence.news = map[model.ServerRef]bool{}
	store.Listen(a.learn)
	board.Listen(a.observe)
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

// holder runs on the control goroutine.
func (a *Agent) holder(pool model.PoolName) *ownership.Replica {
	h, ok := a.holders[pool]
	if !ok {
		h = ownership.NewReplica(a.config.Name, a.member.Incarnation())
		a.holders[pool] = h
	}
	return h
}

// learn takes a newer assignment. It runs on the control goroutine.
func (a *Agent) learn(known *ownership.Assignment) {
	if !a.holder(known.Pool).Advance(known) {
		return
	}
	a.apply()
	a.abandonLost(known)
	a.poke()
}

// poke makes the renewals start now.
func (a *Agent) poke() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// apply gives the gate the permits of all pools. It runs on the control goroutine.
func (a *Agent) apply() {
	var permits []*ownership.Permit
	for _, holder := range a.holders {
		permits = append(permits, holder.Permits()...)
	}
	a.gate.Apply(a.granter.restrict(permits))
}

// Active returns the number of servers to which this daemon dispatches.
func (a *Agent) Active(ctx context.Context) (int, error) {
	// The function may run after ctx ended, when nobody waits for it any more.
	counted := make(chan int, 1)
	err := a.loop.Call(ctx, func() {
		count := 0
		for _, holder := range a.holders {
			count += len(holder.Permits())
		}
		counted <- count
	})
	if err != nil {
		return 0, err
	}
	return <-counted, nil
}

// Misses reports that this daemon dispatches in the pool and has not heard its
// coordinator for the given time. It runs on the control goroutine.
func (a *Agent) Misses(pool model.PoolName, now time.Time, silence time.Duration) bool {
	holder, ok := a.holders[pool]
	return ok && holder.IsDispatcher() && now.Sub(a.heard[pool]) > silence
}

// ack runs on the control goroutine.
func (a *Agent) ack(pool model.PoolName) ownership.Ack {
	ack := ownership.Ack{
		Daemon:      a.config.Name,
		Incarnation: a.member.Incarnation(),
		Seq:         a.holder(pool).Seq(),
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

// serveUpdate applies an assignment that the coordinator pushed.
func (a *Agent) serveUpdate(ctx context.Context, request *ctlproto.UpdateRequest) (*ctlproto.UpdateResponse, error) {
	answer := &ctlproto.UpdateResponse{}
	err := a.loop.Call(ctx, func() {
		if known := a.holder(request.Pool).Assignment(); known != nil && known.Term > request.Term {
			a.counters.refused(1)
			answer.Refusal = &ctlproto.Refusal{Code: ctlproto.StaleTerm, Term: known.Term}
			return
		}
		a.take(request.Update)
		answer.Ack = a.ack(request.Pool)
	})
	return answer, err
}

// take learns a delta at once, without the detour over the store's own post.
// It runs on the control goroutine.
func (a *Agent) take(update *ownership.Delta) {
	if update == nil {
		return
	}
	a.store.LearnDelta(update)
	if known := a.store.Get(update.Pool); known != nil {
		a.learn(known)
	}
}
