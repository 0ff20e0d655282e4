package settings

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/jsonc"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Compiled is an accepted tree in the immutable form that the request path
// reads. Its pools and routes have their defaults filled in.
type Compiled struct {
	Version Version
	Tree    *Tree
	Pools   map[model.PoolName]*Pool
	Routes  []*Route
	// RankIndex maps each rank to its position; 0 is the most urgent.
	RankIndex map[model.Rank]int
}

// Parse decodes a tree from JSON with comments and checks its syntax and
// schema. Validate also checks its meaning. The error is of type jsonc.Problems.
func Parse(text []byte) (*Tree, error) {
	tree := &Tree{}
	if err := jsonc.Decode("settings", text, tree); err != nil {
		return nil, err
	}
	return tree, nil
}

// Compile returns the immutable form of a tree with defaults filled in. It fails
// if two teams define the same pool, or if a route names a pool that its team
// does not have or a rank that the fleet does not have.
func Compile(tree *Tree, version Version) (*Compiled, error) {
	c := &Compiled{
		Version:   version,
		Tree:      tree,
		Pools:     map[model.PoolName]*Pool{},
		RankIndex: map[model.Rank]int{},
	}
	for i, rank := range tree.Fleet.Ranks {
		c.RankIndex[rank.Name] = i
	}
	for name, team := range tree.Teams {
		if err := c.addTeam(name, team); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Compiled) addTeam(name model.TeamName, team *Team) error {
	for poolName, pool := range team.Pools {
		if _, taken := c.Pools[poolName]; taken {
			return errors.Errorf("settings: team %s: pool %s already exists", name, poolName)
		}
		c.Pools[poolName] = poolWithDefaults(pool)
	}
	for _, route := range team.Routes {
		if _, ok := team.Pools[route.Pool]; !ok {
			return errors.Errorf("settings: team %s: route %s: no pool %s", name, route.Name, route.Pool)
		}
		if _, ok := c.RankIndex[route.Rank]; !ok {
			return errors.Errorf("settings: team %s: route %s: no rank %s", name, route.Name, route.Rank)
		}
		c.Routes = append(c.Routes, routeWithDefaults(route))
	}
	return nil
}

func poolWithDefaults(pool *Pool) *Pool {
	p := *pool
	setDefault(&p.Slots, 1)
	setDefault(&p.Connections, p.Slots)
	setDefault(&p.QueuePerRank, DefaultQueuePerRank)
	setDefault(&p.AttemptTimeoutMS, DefaultAttemptTimeoutMS)
	setDefault(&p.RetryPercent, DefaultRetryPercent)
	setDefault(&p.SlowStartMS, DefaultSlowStartMS)
	if p.Keyed {
		setDefault(&p.Shards, DefaultShards)
	}
	return &p
}

func routeWithDefaults(route *Route) *Route {
	r := *route
	setDefault(&r.TimeoutMS, DefaultRouteTimeoutMS)
	if r.MaxBodyBytes == 0 {
		r.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if r.Repeat == "" {
		r.Repeat = defaultRepeat(r.Methods)
	}
	return &r
}

func defaultRepeat(methods []string) Repeat {
	safe := func(m string) bool { return m == "GET" || m == "HEAD" }
	if len(methods) > 0 && !slices.ContainsFunc(methods, func(m string) bool { return !safe(m) }) {
		return Idempotent
	}
	return Once
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// RouteWithDefaults returns a copy of a route with its defaults filled in.
func RouteWithDefaults(route *Route) *Route { return routeWithDefaults(route) }
