package keeper

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// ServiceName is the keeper's name in the kernel.
const ServiceName kernel.Name = "keeper"

// Rates and bounds of looking after the keepers.
const (
	lookPeriod    = 250 * time.Millisecond // time between two looks at the keepers
	askTimeout    = 250 * time.Millisecond // bound of one question to a keeper
	yieldTimeout  = time.Second            // bound of asking a keeper to give up; it waits for its calls to servers
	silentAsks    = 2                      // questions in a row without an answer that make a keeper silent
	reportPeriod  = 400 * time.Millisecond // time between two reports of load to a keeper
	reportTimeout = 400 * time.Millisecond
	storeFresh    = 3000 * time.Millisecond // the store has answered within this time
	cutOffAfter   = 3500 * time.Millisecond // a keeper that has not heard from the store for this time is replaced
	doubtLimit    = 10 * time.Second        // a write of unknown outcome is made again for this time
	doubtPause    = 150 * time.Millisecond
	createWait    = 600 * time.Millisecond // servers of a new service are awaited for this time
)

const (
	methodAsk    rpc.Method = "keeper.ask"
	methodReport rpc.Method = "keeper.report"
	methodYield  rpc.Method = "keeper.yield"
)

// beliefs are what the keeper must know of the store and of the other daemons.
type beliefs interface {
	// Self is this daemon.
	Self() follow.Daemon
	DaemonByName(name model.DaemonID) (follow.Daemon, bool)
	// Candidates are the daemons that may follow the store, the first choice first.
	DesignatedFollowers() []follow.Daemon
	Designated() bool
	// StoreAge is the time since the store last answered this daemon.
	StoreAge() time.Duration
	StoreReachable() bool
	// Registered reads a server's registration from the store.
	ReadRegistration(ctx context.Context, id model.ServerID) (server *catalog.Server, found bool, err error)
	// SharedRecord returns one of the system's own records, Refresh reads them anew
	// and Learn takes one that this daemon wrote.
	SharedRecord(name string) (platform.Record, bool)
	RefreshShared(ctx context.Context)
	ApplyWrite(c platform.Collection, r platform.Record)
}

var _ beliefs = (*follow.Follower)(nil)

// Keeper takes and keeps the services that need one.
type Keeper struct {
	config   *config.Config
	catalog  *catalog.Catalog
	follow   beliefs
	feed     platform.Feed
	client   *rpc.Client
	backends *backends.Backends
	log      *zap.Logger

	// callsTo returns the calls to one life of a server.
	callsTo func(*catalog.Server) calls
	// ask asks another daemon about its keeping of a service.
	ask func(context.Context, follow.Daemon, model.PoolName) (*askAnswer, error)
	// yield asks another daemon to give up its keeping of a service.
	yield func(context.Context, follow.Daemon, *yieldRequest) error

	mu      sync.Mutex
	tenders map[model.PoolName]*tender
	watched map[model.PoolName]*watchedKeeper
	leaving bool

	background kernel.Background
}

// New returns a keeper that is not yet started.
func New(
	c *config.Config,
	network *netx.Network,
	d dialect.Dialect,
	cat *catalog.Catalog,
	f *follow.Follower,
	feed platform.Feed,
	server *rpc.Server,
	client *rpc.Client,
	b *backends.Backends,
	log *zap.Logger,
) *Keeper {
	k := &Keeper{
		config:   c,
		catalog:  cat,
		follow:   f,
		feed:     feed,
		client:   client,
		backends: b,
		log:      log.Named(string(ServiceName)),
		tenders:  map[model.PoolName]*tender{},
		watched:  map[model.PoolName]*watchedKeeper{},
	}
	k.callsTo = func(server *catalog.Server) calls { return newCaller(d, network, server) }
	k.ask = k.askDaemon
	k.yield = k.yieldDaemon
	rpc.Handle(server, methodYield, k.serveYield)
	rpc.Handle(server, methodAsk, k.serveAsk)
	rpc.Handle(server, methodReport, k.serveReport)
	return k
}

// Name implements kernel.Service.
func (k *Keeper) Name() kernel.Name { return ServiceName }

// After implements kernel.Service. The keeper starts last, so that at the end
// it gives its services up first.
func (k *Keeper) After() []kernel.Name { return []kernel.Name{follow.ServiceName, "gateway"} }

// Ready implements kernel.Service.
func (k *Keeper) Ready() error { return nil }

// Start implements kernel.Service.
func (k *Keeper) Start(context.Context) error {
	k.background.Go(k.lookLoop)
	k.background.Go(k.reportLoop)
	return nil
}

// Drain implements kernel.Drainer. The services are given up, so that another
// daemon takes them before their grants run out. While the store is away none
// can: the grants are then renewed up to the end.
func (k *Keeper) Drain(context.Context) error {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	if k.follow.StoreReachable() {
		k.giveUp()
	}
	return nil
}

// Stop implements kernel.Service.
func (k *Keeper) Stop(context.Context) error {
	k.background.Stop()
	k.giveUp()
	return nil
}

// hold is the time for which a grant is given: the usual one, or what servers
// take at most.
func (k *Keeper) hold() time.Duration {
	most := time.Duration(k.config.Fenced.MaxHoldSeconds * float64(time.Second))
	return min(usualHold, most)
}

func (k *Keeper) giveUp() {
	k.mu.Lock()
	k.leaving = true
	tenders := k.tenders
	k.tenders = map[model.PoolName]*tender{}
	k.mu.Unlock()
	for _, t := range tenders {
		t.stop()
	}
}
