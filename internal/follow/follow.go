package follow

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// ServiceName is the service's name in the kernel.
const ServiceName kernel.Name = "follow"

// collections are the collections of the store that every daemon replicates.
var collections = []platform.Collection{platform.Configurations, platform.Servers, platform.Shared}

// Follower keeps the copies of the collections current and publishes them to the catalog.
type Follower struct {
	config      *config.Config
	incarnation model.Incarnation
	loop        *control.Loop
	store       platform.RecordStore
	dialect     dialect.Dialect
	catalog     *catalog.Catalog
	client      *rpc.Client
	storeCalls  *metrics.Counter
	log         *zap.Logger

	// callPeer asks the daemon at a control address (ip:port) for changes.
	callPeer func(ctx context.Context, address string, r *pollRequest) (*pollResponse, error)

	// applyMu is held while an update is applied to a copy and its changes are queued for
	// the control goroutine, so that they reach the catalog in the order of the copy.
	applyMu  sync.Mutex
	replicas map[platform.Collection]*replica
	packers  map[platform.Collection]*packer        // the keys are fixed
	turn     storeTurn                              // used by run only
	rereads  map[platform.Collection]*rereadLimiter // each used by the goroutine that polls the store for the collection

	// followsStore says that this daemon polls the store, as one that is designated or in place
	// of those.
	followsStore atomic.Bool
	// refreshInFull says that the store does not have the changes that the next refresh of a
	// copy needs. Used by refreshCopies only.
	refreshInFull map[platform.Collection]bool
	loggedGone    map[model.DaemonID]bool // used by watchEarlierDaemons only

	mu      sync.Mutex
	daemons map[model.DaemonID]daemonRecord // as registered
	// suspectedUntil is the time until which a daemon is not asked, as it did not answer or had
	// outdated data.
	suspectedUntil map[model.DaemonID]time.Time
	silences       map[string]silence                 // by control address, of daemons that did not answer the last poll
	changed        chan struct{}                      // closed at the next change of any copy
	servers        map[model.ServerID]*catalog.Server // used on the control goroutine only

	departed map[model.ServerID]*departedServer // used on the control goroutine only

	evacuations *evacuations // used on the control goroutine only

	serversMu     sync.Mutex
	serversReadAt time.Time // when the last successful read of all servers began

	// currentAsOf is when the store last answered this daemon or, if later, one of
	// the daemons that this daemon polls. storeAnsweredAt is when the store last answered
	// this daemon itself, and sharedAnsweredAt when it last did so about platform.Shared. All
	// are nil before the first answer.
	currentAsOf      atomic.Pointer[time.Time]
	storeAnsweredAt  atomic.Pointer[time.Time]
	sharedAnsweredAt atomic.Pointer[time.Time]
	// registeredAt is when this process was first registered in the store. Nil before.
	registeredAt atomic.Pointer[time.Time]
	// peerAnsweredAt is when another daemon last answered this one. Nil before the first answer.
	peerAnsweredAt atomic.Pointer[time.Time]
	// completeAsOf is the time up to which each copy has all changes that were made to its
	// collection in the store. Nil before the first answer. The keys are fixed.
	completeAsOf       map[platform.Collection]*atomic.Pointer[time.Time]
	failingCollections atomic.Int32 // number of collections whose last poll of the store failed
	// registrationsSettleAt is the time from which on the registrations that the store
	// has are those that servers wrote, see registrationSettleTime. Nil if it always was so.
	registrationsSettleAt atomic.Pointer[time.Time]

	speeds speedExchange

	background kernel.Background
}

// New returns a service that is not yet started.
func New(
	c *config.Config,
	loop *control.Loop,
	store platform.RecordStore,
	d dialect.Dialect,
	cat *catalog.Catalog,
	server *rpc.Server,
	client *rpc.Client,
	registry *metrics.Registry,
	log *zap.Logger,
) *Follower {
	f := &Follower{
		config:         c,
		incarnation:    model.Incarnation(uuid.NewString()[:8]),
		loop:           loop,
		store:          store,
		dialect:        d,
		catalog:        cat,
		client:         client,
		storeCalls:     registry.Counter(`store_calls_total`),
		log:            log.Named(string(ServiceName)),
		replicas:       map[platform.Collection]*replica{},
		packers:        map[platform.Collection]*packer{},
		rereads:        map[platform.Collection]*rereadLimiter{},
		refreshInFull:  map[platform.Collection]bool{},
		completeAsOf:   map[platform.Collection]*atomic.Pointer[time.Time]{},
		daemons:        map[model.DaemonID]daemonRecord{},
		suspectedUntil: map[model.DaemonID]time.Time{},
		silences:       map[string]silence{},
		changed:        make(chan struct{}),
		servers:        map[model.ServerID]*catalog.Server{},
		departed:       map[model.ServerID]*departedServer{},
		evacuations:    newEvacuations(registry, cat),
	}
	for _, c := range collections {
		f.replicas[c] = newReplica(c == platform.Shared)
		f.packers[c] = &packer{}
		f.rereads[c] = &rereadLimiter{}
		f.completeAsOf[c] = &atomic.Pointer[time.Time]{}
		registry.Gauge(fmt.Sprintf(`copy_age_seconds{collection=%q}`, c), func() float64 { return f.collectionAge(c).Seconds() })
	}
	f.callPeer = func(ctx context.Context, address string, r *pollRequest) (*pollResponse, error) {
		return rpc.Call[pollResponse](ctx, f.client, address, methodPoll, r)
	}
	rpc.Handle(server, methodPoll, f.servePoll)
	return f
}

// Name implements kernel.Service.
func (f *Follower) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (f *Follower) After() []kernel.Name { return []kernel.Name{control.ServiceName} }

// Ready implements kernel.Service.
func (f *Follower) Ready() error {
	if f.catalog.Load().Configuration == nil {
		return errors.New("no valid configuration received yet")
	}
	return nil
}

// Start implements kernel.Service.
func (f *Follower) Start(context.Context) error {
	f.background.Go(f.run)
	f.background.Go(f.watchAges)
	return nil
}

// Stop implements kernel.Service.
func (f *Follower) Stop(context.Context) error {
	f.background.Stop()
	return nil
}

// SharedRecord returns a record of platform.Shared from the copy, or false when there is none.
func (f *Follower) SharedRecord(name string) (platform.Record, bool) {
	return f.replicas[platform.Shared].get(name)
}

// RefreshShared reads platform.Shared from the store. An error is only logged: the copy
// then stays as it is.
func (f *Follower) RefreshShared(ctx context.Context) {
	if err := f.readCollection(ctx, platform.Shared); err != nil {
		f.log.Warn("shared records could not be read from the store", zap.String("peer", "store"), zap.Error(err))
	}
}
