package backends

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/attemptlimit"
	"github.com/chicorylug/chicorylug/internal/bytebudget"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/coldstart"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/sendgate"
	"github.com/chicorylug/chicorylug/internal/serverspeed"
)

const (
	connectionShare = 0.8 // share of a server's MaxConnections that all daemons together use
	minConnections  = 2   // minimum per server and daemon, even if the daemon's share is smaller
	maxConnections  = 32  // maximum per server and daemon
)

// Backends holds the connections to backend servers and their state as observed by
// this daemon. It is safe for concurrent use.
type Backends struct {
	zone        model.Zone
	zoneRegions map[model.Zone]model.Region
	network     *netx.Network
	dialect     dialect.Dialect
	catalog     *catalog.Catalog
	fleetSize   func() int
	retryBudget *RetryBudget
	stats       *Stats
	speeds      *serverspeed.Book
	// speedChanges counts the lasting changes of servers' speeds.
	speedChanges *metrics.Counter
	limits       *attemptlimit.Limits
	silent       silentServices
	memory       *bytebudget.Budget
	gate         *sendgate.Gate
	gateMeters   gateMeters
	evacuation   time.Duration // after which the servers of an evacuated zone get no requests
	cold         *coldstart.Tracker
	connections  *netx.Quota // to servers
	log          *zap.Logger

	mu        sync.Mutex
	endpoints map[model.ServerID]*endpoint
}

// endpoint is one process of a server, with the connections to it. A restarted server
// gets a new endpoint.
type endpoint struct {
	server *catalog.Server
	pool   *httplink.Pool
	state  state
	key    serverspeed.Key
}

// FleetSize returns the number of daemons.
type FleetSize func() int

// New returns backends without servers.
func New(c *config.Config, network *netx.Network, d dialect.Dialect, cat *catalog.Catalog, fleetSize FleetSize, memory *bytebudget.Budget, registry *metrics.Registry, log *zap.Logger) *Backends {
	b := &Backends{
		zone:         c.Zone,
		zoneRegions:  c.Fenced.ZoneRegions,
		network:      network,
		dialect:      d,
		catalog:      cat,
		fleetSize:    fleetSize,
		retryBudget:  NewRetryBudget(c.Fenced.RepeatShare, c.Fenced.RepeatExtra, fleetSize),
		stats:        newStats(),
		speeds:       serverspeed.NewBook(),
		speedChanges: registry.Counter("server_speed_changes_total"),
		limits:       attemptlimit.New(),
		memory:       memory,
		gate:         sendgate.New(c.Fenced.DrainPeriod()),
		gateMeters:   newGateMeters(registry),
		evacuation:   c.Fenced.EvacuationPeriod(),
		cold:         coldstart.New(c.Name, c.Fenced.WarmUpOverage, c.Fenced.WarmUpSlack),
		log:          log.Named("backends"),
		endpoints:    map[model.ServerID]*endpoint{},
	}
	registry.Gauge(`requests_in_evacuated_zones`, func() float64 { return float64(b.requestsInEvacuatedZones()) })
	b.connections = netx.NewQuota(c.Fenced.ServerConnections(), b.closeOldestIdle)
	registry.Gauge(`server_connections`, func() float64 { return float64(b.connections.Open()) })
	b.addSpeedGauges(registry)
	return b
}

// dial opens a connection to a server, within the share of connections to servers.
func (b *Backends) dial(address string) (net.Conn, error) {
	conn, err := b.network.DialTraffic(b.connections, address)
	if errors.Is(err, netx.ErrQuota) {
		return nil, httplink.ErrPoolFull
	}
	return conn, err
}

// closeOldestIdle closes the connection to a server that has been idle for the longest time.
// It reports false if none is idle.
func (b *Backends) closeOldestIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var oldest *httplink.Pool
	var since time.Time
	for _, e := range b.endpoints {
		if idleSince, ok := e.pool.OldestIdle(); ok && (oldest == nil || idleSince.Before(since)) {
			oldest, since = e.pool, idleSince
		}
	}
	return oldest != nil && oldest.CloseOldestIdle()
}

// Stats returns the statistics that are reported to the keepers, the daemons that
// assign keys to servers.
func (b *Backends) Stats() *Stats { return b.stats }

// RetryBudget returns the budget that limits retries.
func (b *Backends) RetryBudget() *RetryBudget { return b.retryBudget }

// endpoint returns the endpoint of a server process. It replaces the endpoint of an
// earlier process of the same server.
func (b *Backends) endpoint(server *catalog.Server) *endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	existing := b.endpoints[server.ID]
	if existing != nil && existing.server.SameProcess(server) {
		existing.server = server
		return existing
	}
	if existing != nil {
		existing.pool.Close()
	}
	created := &endpoint{
		server: server,
		pool:   httplink.NewPool(server.Address, b.connectionLimit(server.Service), b.dial),
		key:    speedKey(server),
	}
	created.pool.AcceptUnframed()
	b.endpoints[server.ID] = created
	return created
}

// connectionLimit returns the maximum number of connections from this daemon to one
// server of the service.
func (b *Backends) connectionLimit(service model.PoolName) int {
	configuration := b.catalog.Load().Configuration
	if configuration == nil || configuration.Services[service] == nil || configuration.Services[service].MaxConnections == 0 {
		return maxConnections
	}
	share := connectionShare * float64(configuration.Services[service].MaxConnections) / float64(max(b.fleetSize(), 1))
	return min(max(int(share), minConnections), maxConnections)
}

// Prune removes the endpoints of servers that are no longer in the catalog, and what
// processes that are gone said.
func (b *Backends) Prune() {
	known := b.catalog.Load().Servers
	b.gate.Prune(known, time.Now())
	b.pruneSpeeds(known)
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.endpoints {
		if known[id] == nil {
			e.pool.Close()
			delete(b.endpoints, id)
		}
	}
}

// Close closes the idle connections to all servers.
func (b *Backends) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.endpoints {
		e.pool.Close()
	}
}

// Choose returns a server for a request that any server of the service may run, or
// nil if all servers that take requests have been tried.
func (b *Backends) Choose(snapshot *catalog.Snapshot, c *Criteria) *catalog.Server {
	return b.chooseAt(snapshot, c, time.Now())
}

// chooseAt is Choose at a given time.
func (b *Backends) chooseAt(snapshot *catalog.Snapshot, c *Criteria, now time.Time) *catalog.Server {
	if server := b.chooseCold(c, coldstart.Cold, now); server != nil {
		return server
	}
	if server := b.chooseWarm(snapshot, c, now); server != nil {
		return server
	}
	return b.chooseCold(c, coldstart.Unconfirmed, now)
}

// chooseWarm is chooseAt among the servers that are taken for warm.
func (b *Backends) chooseWarm(snapshot *catalog.Snapshot, c *Criteria, now time.Time) *catalog.Server {
	all := snapshot.ByService[c.Service]
	considered := consider(all, snapshot.ByZone[catalog.ServiceZone{Service: c.Service, Zone: b.zone}])
	eligible := b.eligible(considered, c, now)
	if len(eligible) == 0 && len(considered) < len(all) {
		eligible = b.eligible(all, c, now)
	}
	usual := b.speeds.Usual(c.Service, string(c.Route), b.stats.averageServiceTime(c.Service))
	candidates := b.candidates(c.Service, eligible, usual, now)
	c.Bytes += b.stats.averageResponseBytes(c.Service)
	return choose(candidates, b.zone, c)
}

// eligible returns the warm servers in allowed regions that may be chosen now and have not
// been tried.
func (b *Backends) eligible(servers []*catalog.Server, c *Criteria, now time.Time) []*catalog.Server {
	eligible := make([]*catalog.Server, 0, len(servers))
	isWarm := b.warmCheck(servers, now)
	for _, server := range servers {
		if b.isOpen(server, now) && isWarm(server) && !slices.Contains(c.Tried, server.ID) && b.InAllowedRegion(server, c.AllowedRegions) {
			eligible = append(eligible, server)
		}
	}
	return eligible
}
