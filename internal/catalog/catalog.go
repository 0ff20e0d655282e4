package catalog

import (
	"maps"
	"sync/atomic"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Snapshot is the immutable state that requests are routed by. It must not be
// modified after it is published.
type Snapshot struct {
	// Configuration is nil until the first one is published.
	Configuration *Configuration
	Servers       map[model.ServerID]*Server
	ByService     map[model.PoolName][]*Server
	ByZone        map[ServiceZone][]*Server
	Owners        map[model.PoolName]*Owners
	// Evacuations are those in force, and for some time those that have ended.
	Evacuations map[model.Zone]Evacuation
}

// ServiceZone identifies the servers of a service in one zone.
type ServiceZone struct {
	Service model.PoolName
	Zone    model.Zone
}

// Catalog holds the current snapshot. Load may be called from any goroutine; the
// Publish methods only from one at a time, since they read, copy and replace the
// snapshot without a lock.
type Catalog struct {
	current atomic.Pointer[Snapshot]
	changed atomic.Pointer[chan struct{}] // closed and replaced at each change
}

// New returns a catalog with an empty snapshot.
func New() *Catalog {
	c := &Catalog{}
	c.current.Store(&Snapshot{})
	changed := make(chan struct{})
	c.changed.Store(&changed)
	return c
}

// Changed returns a channel that is closed at the next change of the snapshot. A caller
// that waits for a change must call it before it loads the snapshot.
func (c *Catalog) Changed() <-chan struct{} { return *c.changed.Load() }

// publish replaces the snapshot and wakes those who wait for a change.
func (c *Catalog) publish(next *Snapshot) {
	c.current.Store(next)
	changed := make(chan struct{})
	close(*c.changed.Swap(&changed))
}

// Load returns the current snapshot.
func (c *Catalog) Load() *Snapshot { return c.current.Load() }

// PublishConfiguration replaces the configuration if the given one has a higher
// version. It reports whether it did.
func (c *Catalog) PublishConfiguration(configuration *Configuration) bool {
	next := *c.Load()
	if next.Configuration != nil && next.Configuration.Version >= configuration.Version {
		return false
	}
	next.Configuration = configuration
	c.publish(&next)
	return true
}

// PublishServers replaces the backend servers and their indexes by service and zone.
func (c *Catalog) PublishServers(servers map[model.ServerID]*Server) {
	next := *c.Load()
	next.Servers = servers
	next.ByService = map[model.PoolName][]*Server{}
	next.ByZone = map[ServiceZone][]*Server{}
	for _, server := range servers {
		next.ByService[server.Service] = append(next.ByService[server.Service], server)
		zone := ServiceZone{Service: server.Service, Zone: server.Zone}
		next.ByZone[zone] = append(next.ByZone[zone], server)
	}
	c.publish(&next)
}

// PublishEvacuations replaces the evacuations. The map must not be modified afterwards.
func (c *Catalog) PublishEvacuations(evacuations map[model.Zone]Evacuation) {
	next := *c.Load()
	next.Evacuations = evacuations
	c.publish(&next)
}

// PublishOwners replaces the owners of one service if the given ones have a later
// position. It reports whether it did.
func (c *Catalog) PublishOwners(owners *Owners) bool {
	next := *c.Load()
	if held := next.Owners[owners.Service]; held != nil && !owners.After(held.Position) {
		return false
	}
	next.Owners = maps.Clone(next.Owners)
	if next.Owners == nil {
		next.Owners = map[model.PoolName]*Owners{}
	}
	next.Owners[owners.Service] = owners
	c.publish(&next)
	return true
}
