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
)

// Keeper takes and keeps the services that need one.
type Keeper struct {
	config   *config.Config
	network  *netx.Network
	dialect  dialect.Dialect
	catalog  *catalog.Catalog
	follow   *follow.Follow
	feed     platform.Feed
	client   *rpc.Client
	backends *backends.Backends
	log      *zap.Logger

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
	f *follow.Follow,
	feed platform.Feed,
	server *rpc.Server,
	client *rpc.Client,
	b *backends.Backends,
	log *zap.Logger,
) *Keeper {
	k := &Keeper{
		config:   c,
		network:  network,
		dialect:  d,
		catalog:  cat,
		follow:   f,
		feed:     feed,
		client:   client,
		backends: b,
		log:      log.Named(string(ServiceName)),
		tenders:  map[model.PoolName]*tender{},
		watched:  map[model.PoolName]*watchedKeeper{},
	}
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
	if k.follow.OnStore() {
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
