package catalog

import (
	"sort"
	"strings"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Repeat says whether a request may be executed more than once.
type Repeat int

// Values of Repeat.
const (
	// Idempotent requests may be executed any number of times.
	Idempotent Repeat = iota
	// AtMostOnce requests do harm when they are executed a second time.
	AtMostOnce
)

// Configuration holds the operators' routes, services and limits. It must not be
// modified after it is published.
type Configuration struct {
	Version  uint64
	Hosts    map[string][]*Route // by host, longest prefix first
	Services map[model.PoolName]*Service
	Limits   Limits
}

// Limits bound the size of a caller's request and the time that it may take to
// send it. Zero means no limit. The gateway applies BodyBytes, and tells callers if it
// closes idle connections before IdleTimeout; the others are not used.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   model.RouteName
	Host   string
	Prefix string // begins and ends with a slash
	Repeat Repeat
	// Timeout bounds the time from the arrival of a request to its response.
	Timeout time.Duration
	// LatencyObjective is the response time that the route should meet; 0 means none.
	LatencyObjective time.Duration
	// MaxServers bounds the number of servers to which one request may be sent.
	MaxServers int
	// Rank orders the routes by urgency; 0 is the most urgent.
	Rank int
	// LargeResponses says that responses are usually large.
	LargeResponses bool
	// AllowedRegions are the regions whose servers may run the route's requests, and
	// whose daemons may get their bodies. All may if it is empty.
	AllowedRegions []model.Region
	Backends       []WeightedService
}

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service model.PoolName
	Weight  int
}

// Service is a set of backend servers that serve the same kind of requests. Its name is
// a model.PoolName: "pool" is the name of such a set in other packages.
type Service struct {
	Name       model.PoolName
	HealthPath string
	// MaxConnections bounds the connections to one server, summed over all daemons.
	MaxConnections int
	// Keyed says that a request may run only on the server that owns its key.
	Keyed bool
	// KeyWarmUp is the time for which requests of a key are slow on a new owner
	// that did not receive the state of the previous one. It is decoded and not used.
	KeyWarmUp time.Duration
	// WarmUp is the time for which a server is cold after its start.
	WarmUp time.Duration
	// ColdRate is the number of requests per second that a cold server tolerates, from
	// all daemons together; zero if there is no bound.
	ColdRate float64
}

// SortRoutes sorts the routes of each host so that Match finds the longest prefix first.
func (c *Configuration) SortRoutes() {
	for _, routes := range c.Hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// Match returns the route of a request, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, route := range c.Hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// KeyedServices returns the services whose keys have owners, sorted by name.
func (c *Configuration) KeyedServices() []*Service {
	var keyed []*Service
	for _, service := range c.Services {
		if service.Keyed {
			keyed = append(keyed, service)
		}
	}
	sort.Slice(keyed, func(i, j int) bool { return keyed[i].Name < keyed[j].Name })
	return keyed
}
