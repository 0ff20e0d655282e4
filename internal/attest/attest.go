// Package attest asks the other daemons which versions of the assignments they
// know to be in the table. A daemon that cannot reach a coordinator keeps its
// permits while more than half of the fleet knows nothing newer; a coordinator
// that waits for a silent dispatcher first tells more than half of the fleet.
// Nothing is stored or elected among the daemons: the table alone decides.
package attest

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/assignments"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/member"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
	"github.com/chicorylug/chicorylug/internal/spread"
)

// ServiceName is the service's name in the kernel.
const ServiceName kernel.Name = "attest"

// Rows of the table.
const (
	AssignmentPrefix = "assignment/"
	fleetRow         = "fleet"
	maxPools         = 10_000 // rows read at the start
)

// Periods and bounds.
const (
	informPeriod = 500 * time.Millisecond // time between two tries to become informed
	fleetPeriod  = 2 * time.Second        // time between two looks at the listed daemons
	firstPeriod  = 50 * time.Millisecond  // the same while no fleet is written
	roundTimeout = 400 * time.Millisecond // bound of one round
	tableTimeout = 2 * time.Second        // bound of one call of the table
)

const methodState rpc.Method = "attest.state"

// topicFleet spreads the fleet row.
const topicFleet spread.TopicName = "fleet"

// stateRequest tells what the asking daemon knows and asks for the same.
type stateRequest struct {
	Knowledge ownership.Versions `json:"knowledge"`
}

// Attest serves and asks for statements.
type Attest struct {
	config *config.Config
	table  platform.Platform
	member *member.Member
	store  *assignments.Store
	spread *spread.Spread
	client *rpc.Client
	rounds func()
	log    *zap.Logger
	fleet  *spread.Map

	mu      sync.Mutex
	witness *ownership.Witness

	background kernel.Background
}

// New returns a service that is not yet started.
func New(
	c *config.Config,
	table platform.Platform,
	m *member.Member,
	store *assignments.Store,
	s *spread.Spread,
	server *rpc.Server,
	client *rpc.Client,
	registry *metrics.Registry,
	log *zap.Logger,
) *Attest {
	counter := registry.Int("attest_rounds")
	a := &Attest{
		config:  c,
		table:   table,
		member:  m,
		store:   store,
		spread:  s,
		client:  client,
		rounds:  func() { counter.Add(1) },
		log:     log.Named(string(ServiceName)),
		witness: ownership.NewWitness(),
	}
	a.fleet = spread.NewMap(topicFleet, a.learnFleet)
	s.Add(a.fleet)
	store.Listen(func(known *ownership.Assignment) { a.Hear(known.Pool, known.Seq) })
	rpc.Handle(server, methodState, a.serveState)
	return a
}

// Name implements kernel.Service.
func (a *Attest) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (a *Attest) After() []kernel.Name { return []kernel.Name{member.ServiceName, spread.ServiceName} }

// Ready implements kernel.Service.
func (a *Attest) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.witness.Synced() {
		return errors.New("neither the table nor enough daemons have told the assignments")
	}
	if a.witness.Fleet().Version == 0 {
		return errors.New("no fleet is written yet")
	}
	return nil
}

// informed reports that this daemon may attest.
func (a *Attest) informed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.witness.Synced()
}

// Start implements kernel.Service.
func (a *Attest) Start(context.Context) error {
	a.background.Go(a.inform)
	a.background.Go(a.keepFleet)
	return nil
}

// Stop implements kernel.Service.
func (a *Attest) Stop(context.Context) error {
	a.background.Stop()
	return nil
}

// Hear notes that the table holds a pool's assignment of this or a later version.
func (a *Attest) Hear(pool model.PoolName, seq model.Seq) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.witness.Observe(pool, seq)
}

// Pull learns what a peer knows newer.
func (a *Attest) Pull(ctx context.Context, peer string) { a.spread.Pull(ctx, peer) }

// Confirmed asks the fleet and returns the pools of which more than half of it
// knows no version newer than the given one.
func (a *Attest) Confirmed(ctx context.Context, pools map[model.PoolName]model.Seq) []model.PoolName {
	statements := a.round(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	var confirmed []model.PoolName
	for pool, seq := range pools {
		if a.witness.AttestedNewest(pool, seq, statements) {
			confirmed = append(confirmed, pool)
		}
	}
	return confirmed
}

// Tell makes more than half of the fleet know a version. It returns an error
// when they could not be told now.
func (a *Attest) Tell(ctx context.Context, pool model.PoolName, seq model.Seq) error {
	a.Hear(pool, seq)
	statements := a.round(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.witness.ReachedQuorum(pool, seq, statements) {
		return errors.Errorf("tell seq %d of %s: only %d daemons answered", seq, pool, len(statements))
	}
	return nil
}

func (a *Attest) state() ownership.Attestation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.witness.Attest(a.config.Name)
}

func (a *Attest) serveState(_ context.Context, request *stateRequest) (*ownership.Attestation, error) {
	for pool, seq := range request.Knowledge.Pools {
		a.Hear(pool, seq)
	}
	state := a.state()
	return &state, nil
}

// round asks all members of the fleet at one time.
func (a *Attest) round(ctx context.Context) []ownership.Attestation {
	a.rounds()
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	own := a.state()
	statements := []ownership.Attestation{own}
	answers := make(chan *ownership.Attestation)
	peers := a.peers()
	for _, peer := range peers {
		go func() { answers <- a.ask(ctx, peer, own.Versions) }()
	}
	for range peers {
		if s := <-answers; s != nil {
			statements = append(statements, *s)
		}
	}
	return statements
}

func (a *Attest) ask(ctx context.Context, peer string, known ownership.Versions) *ownership.Attestation {
	s, err := rpc.Call[ownership.Attestation](ctx, a.client, peer, methodState, &stateRequest{Knowledge: known})
	if err != nil {
		a.log.Debug("no statement", zap.String("step", "attest"), zap.String("peer", peer), zap.Error(err))
		return nil
	}
	if newer(s.Pools, known.Pools) {
		a.spread.Pull(ctx, peer)
	}
	return s
}

func newer(theirs, own map[model.PoolName]model.Seq) bool {
	for pool, seq := range theirs {
		if seq > own[pool] {
			return true
		}
	}
	return false
}

// peers returns the control addresses of the fleet's other members.
func (a *Attest) peers() []string {
	a.mu.Lock()
	fleet := a.witness.Fleet()
	a.mu.Unlock()
	daemons := a.member.Members().Daemons
	var addresses []string
	for _, id := range fleet.All() {
		if daemon, known := daemons[id]; known && id != a.config.Name {
			addresses = append(addresses, daemon.Control)
		}
	}
	return addresses
}

// inform tries to become informed: from the table, or else from the peers.
func (a *Attest) inform(ctx context.Context) {
	for !a.informed() {
		if err := a.readTable(ctx); err != nil {
			a.log.Debug("assignments not read", zap.String("step", "inform"), zap.String("peer", "platform"), zap.Error(err))
			a.learnFromPeers(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(informPeriod):
		}
	}
}

func (a *Attest) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := a.table.List(ctx, AssignmentPrefix, maxPools)
	if err != nil {
		return err
	}
	if err := a.readFleet(ctx); err != nil {
		return err
	}
	for _, row := range rows {
		var known ownership.Assignment
		if err := json.Unmarshal(row.Value, &known); err != nil {
			return errors.Wrapf(err, "decode %s", row.Key)
		}
		a.store.Learn(&known)
		a.Hear(known.Pool, known.Seq)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.witness.MarkSynced()
	return nil
}

func (a *Attest) learnFromPeers(ctx context.Context) {
	statements := a.round(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.witness.SyncFromPeers(statements)
}
