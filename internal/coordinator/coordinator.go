package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/agent"
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
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// ServiceName is the coordinator's service name in the kernel.
const ServiceName kernel.Name = "coordinator"

// poolPollPeriod is the time between two checks of the settings for new pools.
const poolPollPeriod = 100 * time.Millisecond

// Coordinator is the service that runs this daemon's candidates, one for each
// pool.
type Coordinator struct {
	config    *config.Config
	loop      *control.Loop
	table     platform.Platform
	member    *member.Tracker
	directory *directory.Directory
	store     *assignments.Store
	attest    *attest.Attester
	agent     *agent.Agent
	client    *rpc.Client
	journal   *journal.Journal
	counters  counters
	log       *zap.Logger

	// candidates and leaving belong to the control goroutine.
	candidates map[model.PoolName]*candidate
	leaving    bool // set by HandOver; no lease is acquired or renewed any more

	background kernel.Background
}

// counters are the functions that increment the metrics of newCounters.
type counters struct {
	leases, writes, conflicts, ambiguous, moves, barriers, refused func(int64)
}

// New returns a coordinator that is not yet started.
func New(
	c *config.Config,
	loop *control.Loop,
	table platform.Platform,
	m *member.Tracker,
	dir *directory.Directory,
	store *assignments.Store,
	at *attest.Attester,
	ag *agent.Agent,
	server *rpc.Server,
	client *rpc.Client,
	j *journal.Journal,
	registry *metrics.Registry,
	log *zap.Logger,
) *Coordinator {
	coordinator := &Coordinator{
		config:     c,
		loop:       loop,
		table:      table,
		member:     m,
		directory:  dir,
		store:      store,
		attest:     at,
		agent:      ag,
		client:     client,
		journal:    j,
		counters:   newCounters(registry),
		log:        log.Named(string(ServiceName)),
		candidates: map[model.PoolName]*candidate{},
	}
	rpc.Handle(server, ctlproto.MethodRenew, coordinator.serveRenew)
	rpc.Handle(server, ctlproto.MethodOffer, coordinator.serveOffer)
	return coordinator
}

func newCounters(registry *metrics.Registry) counters {
	return counters{
		leases:    registry.Int("leases_taken").Add,
		writes:    registry.Int("assignment_writes").Add,
		conflicts: registry.Int("assignment_conflicts").Add,
		ambiguous: registry.Int("assignment_ambiguous_answers").Add,
		moves:     registry.Int("shard_moves").Add,
		barriers:  registry.Int("barriers_passed").Add,
		refused:   registry.Int("control_messages_refused").Add,
	}
}

// Name implements kernel.Service.
func (c *Coordinator) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (c *Coordinator) After() []kernel.Name {
	return []kernel.Name{member.ServiceName, agent.ServiceName, "settings"}
}

// Start implements kernel.Service.
func (c *Coordinator) Start(context.Context) error {
	c.background.Go(c.followPools)
	return nil
}

// Ready implements kernel.Service.
func (c *Coordinator) Ready() error { return nil }

// Stop implements kernel.Service.
func (c *Coordinator) Stop(context.Context) error {
	c.background.Stop()
	return nil
}

// followPools starts a candidate for each pool in the settings.
func (c *Coordinator) followPools(ctx context.Context) {
	for {
		_ = c.loop.Call(ctx, func() { c.syncCandidates(ctx) })
		select {
		case <-ctx.Done():
			return
		case <-time.After(poolPollPeriod):
		}
	}
}

// syncCandidates starts the missing candidates, once settings are in force and
// this daemon may attest. It runs on the control goroutine.
func (c *Coordinator) syncCandidates(ctx context.Context) {
	compiled := c.directory.Load().Settings
	if compiled == nil || c.attest.Ready() != nil {
		return
	}
	for name := range compiled.Pools {
		if _, exists := c.candidates[name]; exists {
			continue
		}
		cand := newCandidate(c, name)
		c.candidates[name] = cand
		c.background.Go(cand.run)
	}
}

// serveOffer makes the candidate read a released lease at once.
func (c *Coordinator) serveOffer(ctx context.Context, request *ctlproto.OfferRequest) (*ctlproto.OfferResponse, error) {
	err := c.loop.Call(ctx, func() {
		if cand := c.candidates[request.Pool]; cand != nil {
			cand.leaseOffered = true
			cand.wakeUp()
		}
	})
	return &ctlproto.OfferResponse{}, err
}

// serveRenew answers an agent's renewal, or refuses it when this daemon is not
// the pool's coordinator.
func (c *Coordinator) serveRenew(ctx context.Context, request *ctlproto.RenewRequest) (*ctlproto.RenewResponse, error) {
	response := &ctlproto.RenewResponse{}
	err := c.loop.Call(ctx, func() {
		ctl := c.controllerOf(request.Pool)
		if ctl == nil || !ctl.mayServe() {
			ctl.applyAckWithoutLease(request.Ack)
			c.counters.refused(1)
			response.Refusal = &ctlproto.Refusal{Code: ctlproto.NotCoordinator, Term: c.newestTerm(request.Pool)}
			return
		}
		ctl.serveRenew(request, response)
	})
	return response, err
}

// controllerOf returns the pool's controller, or nil. It runs on the control
// goroutine.
func (c *Coordinator) controllerOf(pool model.PoolName) *controller {
	if cand := c.candidates[pool]; cand != nil {
		return cand.controller
	}
	return nil
}

// newestTerm returns the term of the newest assignment that this daemon has, or
// zero.
func (c *Coordinator) newestTerm(pool model.PoolName) model.Term {
	if assignment := c.store.Get(pool); assignment != nil {
		return assignment.Term
	}
	return 0
}
