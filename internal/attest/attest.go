// Package attest lets daemons compare the versions of the assignments that they
// have seen in the platform's table, so that dispatchers can go on without a
// coordinator. In a round, a daemon asks all members of the fleet for an
// attestation: the newest versions that each has seen.
//
// A daemon that cannot reach a coordinator keeps its permits as long as more than
// half of the fleet attests that it has seen no newer assignment. A coordinator that
// cannot reach a dispatcher therefore makes the new version known to more than half
// of the fleet before it waits for the dispatcher's permits to expire. The daemons
// store and elect nothing among themselves: only the table decides.
package attest

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
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

// Keys of rows in the platform's table, and a bound.
const (
	// AssignmentPrefix is the prefix of the keys of the assignments' rows; the name of the
	// pool follows.
	AssignmentPrefix  = "assignment/"
	fleetRow          = "fleet"
	maxAssignmentRows = 10_000 // assignments read at the start
)

// Intervals and bounds.
const (
	syncRetryInterval       = 500 * time.Millisecond // time between two tries to load the assignments after the start
	fleetCheckInterval      = 2 * time.Second        // time between two checks of the fleet row against the instance list
	firstFleetCheckInterval = 50 * time.Millisecond  // the same while this daemon is not ready, for example without a fleet row
	roundTimeout            = 400 * time.Millisecond // for one round
	tableTimeout            = 2 * time.Second        // for one load, read or update of the table's rows
)

const methodAttest rpc.Method = "attest.state"

// topicFleet is the topic that spreads the fleet row.
const topicFleet spread.TopicName = "fleet"

// attestRequest carries the versions that the caller has seen, and asks for an
// ownership.Attestation of those that the called daemon has seen.
type attestRequest struct {
	// Versions is encoded as "knowledge", a name that is kept for daemons of other builds.
	Versions ownership.Versions `json:"knowledge"`
}

// Attester gives attestations to other daemons and collects theirs.
type Attester struct {
	config     *config.Config
	table      platform.Platform
	member     *member.Tracker
	store      *assignments.Store
	spread     *spread.Replicator
	client     *rpc.Client
	countRound func() // increments the metric of rounds
	log        *zap.Logger
	fleet      *spread.Map   // holds the fleet row for the other daemons
	era        atomic.Uint64 // newest era of the table

	mu sync.Mutex
	// witness records the newest versions that this daemon has seen. mu guards it.
	witness *ownership.Witness

	background kernel.Background
}

// New returns a service that is not yet started.
func New(
	c *config.Config,
	table platform.Platform,
	m *member.Tracker,
	store *assignments.Store,
	s *spread.Replicator,
	server *rpc.Server,
	client *rpc.Client,
	registry *metrics.Registry,
	log *zap.Logger,
) *Attester {
	counter := registry.Int("attest_rounds")
	a := &Attester{
		config:     c,
		table:      table,
		member:     m,
		store:      store,
		spread:     s,
		client:     client,
		countRound: func() { counter.Add(1) },
		log:        log.Named(string(ServiceName)),
		witness:    ownership.NewWitness(),
	}
	table.OnEra(func(era platform.Era) { a.era.Store(uint64(era)) })
	a.fleet = spread.NewMap(topicFleet, a.fleetItemChanged)
	s.Add(a.fleet)
	store.OnChange(func(assignment *ownership.Assignment) { a.Observe(assignment.Pool, assignment.Seq) })
	rpc.Handle(server, methodAttest, a.serveAttest)
	return a
}

// Name implements kernel.Service.
func (a *Attester) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (a *Attester) After() []kernel.Name {
	return []kernel.Name{member.ServiceName, spread.ServiceName}
}

// Ready implements kernel.Service.
func (a *Attester) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.witness.Synced() {
		return errors.New("assignments not loaded: neither the table nor more than half of the fleet has answered")
	}
	if a.witness.Fleet().Version == 0 {
		return errors.New("no fleet row has been read or written yet")
	}
	return nil
}

// synced reports whether this daemon has loaded all assignments since its start, and so may
// attest that it has seen no newer one.
func (a *Attester) synced() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.witness.Synced()
}

// Start implements kernel.Service.
func (a *Attester) Start(context.Context) error {
	a.background.Go(a.syncLoop)
	a.background.Go(a.fleetLoop)
	return nil
}

// Stop implements kernel.Service.
func (a *Attester) Stop(context.Context) error {
	a.background.Stop()
	return nil
}

// Observe records that the table holds a pool's assignment of this or a later version.
func (a *Attester) Observe(pool model.PoolName, seq model.Seq) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.witness.Observe(pool, seq)
}

// Pull fetches the items that a peer has in a newer version. The peer is a control address
// (ip:port).
func (a *Attester) Pull(ctx context.Context, peer string) { a.spread.Pull(ctx, peer) }

// ConfirmNewest runs a round and returns the pools for which more than half of the fleet
// attests that it has seen no version newer than the given one.
func (a *Attester) ConfirmNewest(ctx context.Context, pools map[model.PoolName]model.Seq) []model.PoolName {
	attestations := a.askFleet(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	var confirmed []model.PoolName
	for pool, seq := range pools {
		if a.witness.AttestedNewest(pool, seq, attestations) {
			confirmed = append(confirmed, pool)
		}
	}
	return confirmed
}

// InformQuorum runs a round that makes a version of a pool's assignment known to the fleet.
// It returns an error unless more than half of the fleet has answered that it has seen this
// version or a later one.
func (a *Attester) InformQuorum(ctx context.Context, pool model.PoolName, seq model.Seq) error {
	a.Observe(pool, seq)
	attestations := a.askFleet(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.witness.ReachedQuorum(pool, seq, attestations) {
		return errors.Errorf("seq %d of pool %s is not known to more than half of the fleet: %d daemons attested, this one included", seq, pool, len(attestations))
	}
	return nil
}

// attest returns this daemon's attestation.
func (a *Attester) attest() ownership.Attestation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.witness.Attest(a.config.Name)
}

// serveAttest records the versions that the caller has seen and returns this daemon's
// attestation.
func (a *Attester) serveAttest(_ context.Context, request *attestRequest) (*ownership.Attestation, error) {
	for pool, seq := range request.Versions.Pools {
		a.Observe(pool, seq)
	}
	attestation := a.attest()
	return &attestation, nil
}

// askFleet runs a round: it asks all other members of the fleet in parallel, and returns
// this daemon's attestation and those received within roundTimeout.
func (a *Attester) askFleet(ctx context.Context) []ownership.Attestation {
	a.countRound()
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	own := a.attest()
	attestations := []ownership.Attestation{own}
	answers := make(chan *ownership.Attestation)
	peers := a.peers()
	for _, peer := range peers {
		go func() { answers <- a.askPeer(ctx, peer, own.Versions) }()
	}
	for range peers {
		if attestation := <-answers; attestation != nil {
			attestations = append(attestations, *attestation)
		}
	}
	return attestations
}

// askPeer asks the daemon at a control address (ip:port) for its attestation and returns nil
// when it does not answer. If the peer has seen a newer assignment, it is pulled from there.
func (a *Attester) askPeer(ctx context.Context, peer string, versions ownership.Versions) *ownership.Attestation {
	attestation, err := rpc.Call[ownership.Attestation](ctx, a.client, peer, methodAttest, &attestRequest{Versions: versions})
	if err != nil {
		a.log.Debug("peer did not return an attestation", zap.String("step", "attest"), zap.String("peer", peer), zap.Error(err))
		return nil
	}
	if anyNewer(attestation.Pools, versions.Pools) {
		a.spread.Pull(ctx, peer)
	}
	return attestation
}

// anyNewer reports whether any pool has a higher version in theirs than in own.
func anyNewer(theirs, own map[model.PoolName]model.Seq) bool {
	for pool, seq := range theirs {
		if seq > own[pool] {
			return true
		}
	}
	return false
}

// peers returns the control addresses (ip:port) of the fleet's other members.
func (a *Attester) peers() []string {
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

// syncLoop loads the assignments after the start, from the table or else from the peers, and
// tries again until it succeeds.
func (a *Attester) syncLoop(ctx context.Context) {
	for !a.synced() {
		if err := a.loadFromTable(ctx); err != nil {
			a.log.Debug("assignments could not be loaded from the table, asking the peers", zap.String("step", "inform"), zap.String("peer", "platform"), zap.Error(err))
			a.syncFromPeers(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(syncRetryInterval):
		}
	}
}

// loadFromTable reads the fleet row and all assignments from the table.
func (a *Attester) loadFromTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := a.table.List(ctx, AssignmentPrefix, maxAssignmentRows)
	if err != nil {
		return err
	}
	stored, err := a.readFleet(ctx)
	if err != nil {
		return err
	}
	for _, row := range rows {
		if row.Era != stored.era {
			return errors.Wrapf(platform.ErrOtherEra, "read assignments: era %d, then %d", row.Era, stored.era)
		}
		var assignment ownership.Assignment
		if err := json.Unmarshal(row.Value, &assignment); err != nil {
			return errors.Wrapf(err, "decode %s", row.Key)
		}
		if ownership.EraOf(assignment.Seq) != stored.era {
			continue // the table may have lost later ones
		}
		a.store.Apply(&assignment)
		a.Observe(assignment.Pool, assignment.Seq)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.witness.MarkSynced(stored.era)
	return nil
}

// syncFromPeers runs a round and takes the versions from the peers' attestations if more than
// half of the fleet is synced.
func (a *Attester) syncFromPeers(ctx context.Context) {
	attestations := a.askFleet(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.witness.SyncFromPeers(attestations)
}
