package catalog

import (
	"sort"
	"strings"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Repeat says whether a request may run more than once.
type Repeat int

// Kinds of repetition.
const (
	// Idempotent is for requests without lasting effect.
	Idempotent Repeat = iota
	// AtMostOnce is for requests of which a second run does harm.
	AtMostOnce
)

// Configuration is what operators ask of the system. It is never changed once published.
type Configuration struct {
	Version  uint64
	Hosts    map[string][]*Route // by host, longest prefix first
	Services map[model.PoolName]*Service
	Limits   Limits
}

// Limits bound what a caller may send and how long it may take. Zero means no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route leads requests of one host and path prefix to services.
type Route struct {
	Name   model.RouteName
	Host   string
	Prefix string // begins and ends with a slash
	Repeat Repeat
	// Timeout bounds the time in which a caller gets its answer.
	Timeout time.Duration
	// LatencyObjective is the latency objective.
	LatencyObjective time.Duration
	// MaxServers bounds the servers to which one request may be sent.
	MaxServers int
	// Rank orders the routes by urgency; 0 is the most urgent.
	Rank     int
	Backends []WeightedService
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service model.PoolName
	Weight  int
}

// Service is a set of backend servers that do the same work.
type Service struct {
	Name       model.PoolName
	HealthPath string
	// MaxConnections bounds the connections of one server from all daemons together.
	MaxConnections int
	// Keyed services run a request only at the server that owns its key.
	Keyed bool
	// KeyWarmUp is the time for which a key is slow at a new owner that did not
	// get the state of the last one.
	KeyWarmUp time.Duration
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

// KeyedServices returns the services that are divided by key, in order of their names.
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
