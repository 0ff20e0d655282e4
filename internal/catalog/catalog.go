package catalog

import (
	"maps"
	"sync/atomic"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Snapshot is what traffic sees. It is never changed once published.
type Snapshot struct {
	// Configuration is nil until one is known.
	Configuration *Configuration
	Servers       map[model.ServerID]*Server
	ByService     map[model.PoolName][]*Server
	Owners        map[model.PoolName]*Owners
}

// Catalog holds the current snapshot. Only the control goroutine publishes.
type Catalog struct {
	current atomic.Pointer[Snapshot]
}

// New returns a catalog with an empty snapshot.
func New() *Catalog {
	c := &Catalog{}
	c.current.Store(&Snapshot{})
	return c
}

// Load returns the current snapshot.
func (c *Catalog) Load() *Snapshot { return c.current.Load() }

// PublishConfiguration puts a configuration in force unless a newer one is. It
// reports whether it did.
func (c *Catalog) PublishConfiguration(configuration *Configuration) bool {
	next := *c.Load()
	if next.Configuration != nil && next.Configuration.Version >= configuration.Version {
		return false
	}
	next.Configuration = configuration
	c.current.Store(&next)
	return true
}

// PublishServers replaces the known servers.
func (c *Catalog) PublishServers(servers map[model.ServerID]*Server) {
	next := *c.Load()
	next.Servers = servers
	next.ByService = map[model.PoolName][]*Server{}
	for _, server := range servers {
		next.ByService[server.Service] = append(next.ByService[server.Service], server)
	}
	c.current.Store(&next)
}

// PublishOwners replaces the owners of one service unless newer ones are known.
func (c *Catalog) PublishOwners(owners *Owners) bool {
	next := *c.Load()
	if held := next.Owners[owners.Service]; held != nil && held.Revision >= owners.Revision {
		return false
	}
	next.Owners = maps.Clone(next.Owners)
	if next.Owners == nil {
		next.Owners = map[model.PoolName]*Owners{}
	}
	next.Owners[owners.Service] = owners
	c.current.Store(&next)
	return true
}
