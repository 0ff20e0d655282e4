package backends

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
)

const (
	connectionMargin = 0.8 // share of a server's connections that the fleet uses
	leastConnections = 2   // connections to one server from one daemon, whatever the share
	mostConnections  = 32
)

// Backends holds the servers as this daemon has seen them.
type Backends struct {
	zone    model.Zone
	network *netx.Network
	dialect dialect.Dialect
	catalog *catalog.Catalog
	fleet   func() int
	budget  *RetryBudget
	stats   *Stats
	log     *zap.Logger

	mu    sync.Mutex
	links map[model.ServerID]*link
}

// link is one life of a server with its connections.
type link struct {
	server *catalog.Server
	pool   *httplink.Pool
	state  state
}

// FleetSize returns the number of daemons.
type FleetSize func() int

// New returns backends without servers.
func New(c *config.Config, network *netx.Network, d dialect.Dialect, cat *catalog.Catalog, size FleetSize, log *zap.Logger) *Backends {
	return &Backends{
		zone:    c.Zone,
		network: network,
		dialect: d,
		catalog: cat,
		fleet:   size,
		budget:  NewBudget(c.Fenced.RepeatShare, float64(c.Fenced.RepeatExtra), size),
		stats:   newStats(),
		log:     log.Named("backends"),
		links:   map[model.ServerID]*link{},
	}
}

// Stats returns what the keeper of keys is told.
func (b *Backends) Stats() *Stats { return b.stats }

// Budget returns the budget of repeated sends.
func (b *Backends) Budget() *RetryBudget { return b.budget }

// link returns the link of a server. Another life starts with a new one.
func (b *Backends) link(server *catalog.Server) *link {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.links[server.ID]
	if held != nil && held.server.SameProcess(server) {
		held.server = server
		return held
	}
	if held != nil {
		held.pool.Close()
	}
	created := &link{server: server, pool: httplink.NewPool(server.Address, b.connectionLimit(server.Service), b.network.Dial)}
	created.pool.AcceptUnframed()
	b.links[server.ID] = created
	return created
}

func (b *Backends) connectionLimit(service model.PoolName) int {
	configuration := b.catalog.Load().Configuration
	if configuration == nil || configuration.Services[service] == nil || configuration.Services[service].MaxConnections == 0 {
		return mostConnections
	}
	share := connectionMargin * float64(configuration.Services[service].MaxConnections) / float64(max(b.fleet(), 1))
	return min(max(int(share), leastConnections), mostConnections)
}

// Tidy drops the links to servers that are not known any more.
func (b *Backends) Tidy() {
	known := b.catalog.Load().Servers
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, held := range b.links {
		if known[id] == nil {
			held.pool.Close()
			delete(b.links, id)
		}
	}
}

// Close closes the idle connections.
func (b *Backends) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, held := range b.links {
		held.pool.Close()
	}
}

// Choose returns the server of a service without keys to send to, or nil when
// there is none left that was not tried.
func (b *Backends) Choose(snapshot *catalog.Snapshot, w *Wanted) *catalog.Server {
	now := time.Now()
	usual := b.stats.usual(w.Service)
	var views []view
	for _, server := range snapshot.ByService[w.Service] {
		if server.Leaving || slices.Contains(w.Tried, server.ID) {
			continue
		}
		views = append(views, b.link(server).state.view(server, usual, now))
	}
	w.Bytes += b.stats.usualBytes(w.Service)
	return choose(views, b.zone, w)
}
