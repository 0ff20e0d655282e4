package keeper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// ServiceName is the keeper's name in the kernel.
const ServiceName kernel.Name = "keeper"

// Periods and timeouts of monitoring keepers, of load reports and of writes.
const (
	monitorPeriod          = 250 * time.Millisecond // between two checks that each service has a keeper
	statusTimeout          = 250 * time.Millisecond // of one status query to a keeper
	yieldTimeout           = time.Second            // of a request to step down, which waits for the other keeper's calls to servers
	maxFailedQueries       = 2                      // consecutive status queries without an answer after which a keeper is replaced
	reportPeriod           = 400 * time.Millisecond // between two load reports to a keeper
	reportTimeout          = 400 * time.Millisecond
	maxStoreAge            = 3000 * time.Millisecond // with an older answer from the store, a daemon takes no services and moves no keys
	maxKeeperStoreAge      = 3500 * time.Millisecond // a keeper with an older answer from the store is replaced
	ambiguousWriteTimeout  = 10 * time.Second        // a write of unknown outcome is retried for this time
	initialAssignmentDelay = 600 * time.Millisecond  // from the first server of a new service to the assignment, so that more can register
)

// RPC methods. The name of methodStatus on the wire is kept for daemons of other builds.
const (
	methodStatus rpc.Method = "keeper.ask"
	methodReport rpc.Method = "keeper.report"
	methodYield  rpc.Method = "keeper.yield"
)

// fleetView is the part of follow.Follower that a keeper needs: this daemon's copy of
// the records in the store, and the other daemons.
type fleetView interface {
	// Self returns this daemon.
	Self() follow.Daemon
	// DaemonByName returns the daemon of that name, or false if there is none in the fleet.
	DaemonByName(name model.DaemonID) (follow.Daemon, bool)
	// DesignatedFollowers returns the daemons that poll the store; the others poll one
	// of these. The first one is the preferred keeper of a new service.
	DesignatedFollowers() []follow.Daemon
	// Designated reports whether this daemon is one of the DesignatedFollowers.
	Designated() bool
	// StoreAge returns the time since the store last answered this daemon.
	StoreAge() time.Duration
	// SharedAge returns the time since the store last answered this daemon about platform.Shared,
	// whose records name the keepers.
	SharedAge() time.Duration
	// StoreReachable reports whether this daemon currently gets answers from the store.
	StoreReachable() bool
	// StoreEra returns the newest era of the store that this daemon has heard of.
	StoreEra() platform.Era
	// FollowedSince returns the era in which this process first had a copy of the records.
	FollowedSince() platform.Era
	// Daemons returns all daemons of the fleet, this one included.
	Daemons() []follow.Daemon
	// ReadRegistration reads a server's registration from the store.
	ReadRegistration(ctx context.Context, id model.ServerID) (server *catalog.Server, found bool, err error)
	// SharedRecord returns one of the records of platform.Shared as last read.
	// RefreshShared reads them again, and ApplyWrite updates the view with one that
	// this daemon wrote.
	SharedRecord(name string) (platform.Record, bool)
	RefreshShared(ctx context.Context)
	ApplyWrite(c platform.Collection, r platform.Record)
}

var _ fleetView = (*follow.Follower)(nil)

// Keeper runs in each daemon. It monitors the keepers of all services, makes this daemon
// the keeper of services that have none or whose keeper has failed, and reports the load
// that this daemon observed to the keepers of all services.
type Keeper struct {
	config   *config.Config
	catalog  *catalog.Catalog
	follow   fleetView
	store    platform.RecordStore
	client   *rpc.Client
	backends *backends.Backends
	cold     coldServers // nil if no server is ever cold
	// handedOver counts the keys that were moved since their owner said that it leaves.
	handedOver *metrics.Counter
	// evacuatedKeys counts the keys that were moved as the zone of their owner is evacuated.
	evacuatedKeys *metrics.Counter
	log           *zap.Logger

	// newServerClient returns a client for one process of a server.
	newServerClient func(*catalog.Server) serverClient
	// queryStatus asks another daemon whether it is the keeper of a service.
	queryStatus func(context.Context, follow.Daemon, model.PoolName) (*statusResponse, error)
	// yield asks another daemon to step down as the keeper of a service.
	yield func(context.Context, follow.Daemon, *yieldRequest) (*yieldResponse, error)

	// pauseTime is the clock by which pauses of the process are noticed.
	pauseTime func() int64

	mu             sync.Mutex
	serviceKeepers map[model.PoolName]*serviceKeeper // of the services that this daemon is the keeper of
	watchedKeepers map[model.PoolName]*watchedKeeper // of the services whose keeper was checked by this daemon
	yielded        map[model.PoolName]*yieldRequest  // the last request to step down, by service
	grants         *grantTimes                       // of this daemon
	takeovers      takeoverRetries                   // after tries that failed
	draining       bool                              // this daemon takes no services any more
	newestEra      platform.Era                      // of the store, as of the last check of keepers
	newestEraSince time.Time                         // when this daemon first saw newestEra

	background kernel.Background
}

// New returns a Keeper that is not started yet, and registers its methods with the
// RPC server.
func New(
	c *config.Config,
	network *netx.Network,
	d dialect.Dialect,
	cat *catalog.Catalog,
	f *follow.Follower,
	store platform.RecordStore,
	server *rpc.Server,
	client *rpc.Client,
	b *backends.Backends,
	registry *metrics.Registry,
	log *zap.Logger,
) *Keeper {
	k := &Keeper{
		config:         c,
		catalog:        cat,
		follow:         f,
		store:          store,
		client:         client,
		backends:       b,
		cold:           b,
		handedOver:     registry.Counter(`keys_handed_over_total{cause="server said that it leaves"}`),
		evacuatedKeys:  registry.Counter(`keys_handed_over_total{cause="zone evacuated"}`),
		log:            log.Named(string(ServiceName)),
		serviceKeepers: map[model.PoolName]*serviceKeeper{},
		watchedKeepers: map[model.PoolName]*watchedKeeper{},
		yielded:        map[model.PoolName]*yieldRequest{},
		grants:         newGrantTimes(time.Now()),
		takeovers:      takeoverRetries{},
	}
	k.newServerClient = func(server *catalog.Server) serverClient { return newHTTPClient(d, network, server, b) }
	k.queryStatus = k.queryDaemon
	k.pauseTime = sinceBoot
	k.yield = k.yieldDaemon
	rpc.Handle(server, methodYield, k.serveYield)
	rpc.Handle(server, methodStatus, k.serveStatus)
	rpc.Handle(server, methodReport, k.serveReport)
	rpc.Handle(server, methodLeaving, k.serveLeaving)
	return k
}

// Name implements kernel.Service.
func (k *Keeper) Name() kernel.Name { return ServiceName }

// After implements kernel.Service. The keeper starts after the services that it
// names, and is therefore stopped before them.
func (k *Keeper) After() []kernel.Name { return []kernel.Name{follow.ServiceName, "gateway"} }

// Ready implements kernel.Service.
func (k *Keeper) Ready() error { return nil }

// Start implements kernel.Service.
func (k *Keeper) Start(context.Context) error {
	k.background.Go(k.monitorLoop)
	k.background.Go(k.reportLoop)
	k.background.Go(k.leavingLoop)
	return nil
}

// Drain implements kernel.Drainer. This daemon steps down as keeper, so that another
// daemon takes the services over before their grants expire. While the store is
// unavailable no other daemon can do so: the grants are then renewed until Stop.
func (k *Keeper) Drain(context.Context) error {
	k.mu.Lock()
	k.draining = true
	k.mu.Unlock()
	if k.follow.StoreReachable() {
		k.stopAll()
	}
	return nil
}

// Stop implements kernel.Service.
func (k *Keeper) Stop(context.Context) error {
	k.background.Stop()
	k.stopAll()
	return nil
}

// grantHold returns the duration of a grant: defaultHold, or the longest that the
// settings let servers accept if that is shorter.
func (k *Keeper) grantHold() time.Duration {
	limit := time.Duration(k.config.Fenced.MaxHoldSeconds * float64(time.Second))
	return min(defaultHold, limit)
}

// stopAll steps down as keeper of all services and prevents taking others.
func (k *Keeper) stopAll() {
	k.mu.Lock()
	k.draining = true
	stopped := slices.Collect(maps.Values(k.serviceKeepers))
	k.mu.Unlock()
	for _, s := range stopped {
		k.stopKeeping(s)
	}
}

// stopKeeping stops a serviceKeeper, and removes it once its calls have ended. Several callers
// may stop the same one: each of them waits.
func (k *Keeper) stopKeeping(s *serviceKeeper) {
	s.stop()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.serviceKeepers[s.service] != s {
		return
	}
	delete(k.serviceKeepers, s.service)
	k.grants.stopped(s.service, time.Now())
}
