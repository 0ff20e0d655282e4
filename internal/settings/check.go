package settings

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/chicorylug/chicorylug/internal/jsonc"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Limits of a tree.
const (
	MaxTreeBytes   = 1 << 20 // size of a tree's text, in bytes
	maxNameLength  = 64      // characters of a name
	maxSlots       = 10_000
	maxConnections = 100_000
	maxShards      = 65_536
	maxQueue       = 100_000
	maxTimeoutMS   = 3_600_000 // milliseconds
	maxBodyBytes   = 1 << 40   // bytes
	maxWeight      = 1_000
	fullPercent    = 100
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]*$`)

// Environment is what a tree is checked against besides itself.
type Environment struct {
	// Previous is the tree in force; nil when there is none.
	Previous *Compiled
	// Servers counts the live servers of each pool on the instance list; nil
	// when the list is not known, and targets are then not checked.
	Servers map[model.PoolName]int
	// changed is the team whose subtree is new. Names that stand twice are
	// reported there.
	changed model.TeamName
}

// Validate reads a tree and checks schema and meaning. The error is of type
// jsonc.Problems and lists everything that is wrong.
func Validate(file string, text []byte, env Environment) (*Tree, error) {
	if len(text) > MaxTreeBytes {
		return nil, jsonc.Problems{{File: file, Line: 1, Column: 1,
			Message: fmt.Sprintf("found a tree of %d bytes, want %d or fewer", len(text), MaxTreeBytes)}}
	}
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return nil, err
	}
	tree := &Tree{}
	if err := doc.Decode(tree); err != nil {
		return nil, err
	}
	c := &check{doc: doc, tree: tree, env: env}
	c.run()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return tree, nil
}

// check collects what is wrong with the meaning of a tree.
type check struct {
	doc      *jsonc.Document
	tree     *Tree
	env      Environment
	problems jsonc.Problems

	poolTeams map[model.PoolName]model.TeamName
	routes    routeIndex
}

// path names a place in the tree.
type path []string

func (p path) at(names ...string) path { return append(slices.Clone(p), names...) }

func (c *check) report(where path, format string, args ...any) {
	c.problems = append(c.problems, c.doc.Problem(where, format, args...))
}

func (c *check) run() {
	c.poolTeams = map[model.PoolName]model.TeamName{}
	c.routes = routeIndex{}
	c.ranks()
	for _, name := range c.teamNames() {
		c.team(name, c.tree.Teams[name])
	}
}

// teamNames returns the teams in the order of the text, the changed one last.
func (c *check) teamNames() []model.TeamName {
	var names []model.TeamName
	for _, name := range c.doc.Names(path{"teams"}) {
		if model.TeamName(name) != c.env.changed {
			names = append(names, model.TeamName(name))
		}
	}
	if _, ok := c.tree.Teams[c.env.changed]; ok {
		names = append(names, c.env.changed)
	}
	return names
}

func (c *check) name(where path, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		c.report(where, "found the name %q, want 1 to %d letters, digits, - and _, starting with a letter or digit", name, maxNameLength)
	}
}

// within checks a whole number. A setting that is not given takes its default.
func (c *check) within(where path, value, least, most int64) {
	if value == 0 && !c.doc.Has(where) {
		return
	}
	if value < least || value > most {
		c.report(where, "found %d, want %d to %d", value, least, most)
	}
}

func (c *check) ranks() {
	where := path{"fleet", "ranks"}
	if len(c.tree.Fleet.Ranks) == 0 {
		c.report(where, "found no ranks, want one or more, from most to least urgent")
	}
	seen := map[model.Rank]bool{}
	floors, target := 0, 0
	for i, rank := range c.tree.Fleet.Ranks {
		place := where.at(strconv.Itoa(i))
		c.name(place.at("name"), string(rank.Name))
		if seen[rank.Name] {
			c.report(place.at("name"), "found rank %q a second time, want each rank once", rank.Name)
		}
		seen[rank.Name] = true
		if rank.TargetMS < 1 || rank.TargetMS > maxTimeoutMS {
			c.report(place.at("target_ms"), "found %d, want 1 to %d", rank.TargetMS, maxTimeoutMS)
		}
		if rank.TargetMS < target {
			c.report(place.at("target_ms"), "found %d after %d, want ranks from most to least urgent: targets that do not fall", rank.TargetMS, target)
		}
		target = max(target, rank.TargetMS)
		if rank.FloorPercent < 0 || rank.FloorPercent > fullPercent {
			c.report(place.at("floor_percent"), "found %d, want 0 to %d", rank.FloorPercent, fullPercent)
		}
		floors += rank.FloorPercent
	}
	if floors > fullPercent {
		c.report(where, "found floors that sum up to %d percent, want %d or less", floors, fullPercent)
	}
}

func (c *check) team(name model.TeamName, team *Team) {
	where := path{"teams", string(name)}
	c.name(where, string(name))
	for _, poolName := range c.doc.Names(where.at("pools")) {
		c.pool(where.at("pools", poolName), name, model.PoolName(poolName), team.Pools[model.PoolName(poolName)])
	}
	names := map[model.RouteName]bool{}
	for i, route := range team.Routes {
		place := where.at("routes", strconv.Itoa(i))
		c.name(place.at("name"), string(route.Name))
		if names[route.Name] {
			c.report(place.at("name"), "found route %q a second time in team %s, want each name once", route.Name, name)
		}
		names[route.Name] = true
		c.route(place, team, route)
	}
}

func (c *check) pool(where path, team model.TeamName, name model.PoolName, pool *Pool) {
	c.name(where, string(name))
	if other, taken := c.poolTeams[name]; taken {
		c.report(where, "found pool %q in team %s, want another name: team %s owns it", name, team, other)
	}
	c.poolTeams[name] = team
	c.within(where.at("slots"), int64(pool.Slots), 1, maxSlots)
	c.within(where.at("connections"), int64(pool.Connections), 1, maxConnections)
	c.within(where.at("queue_per_rank"), int64(pool.QueuePerRank), 1, maxQueue)
	c.within(where.at("attempt_timeout_ms"), int64(pool.AttemptTimeoutMS), 1, maxTimeoutMS)
	c.within(where.at("retry_percent"), int64(pool.RetryPercent), 1, fullPercent)
	c.within(where.at("slow_start_ms"), int64(pool.SlowStartMS), 1, maxTimeoutMS)
	full := poolWithDefaults(pool)
	if full.Connections < full.Slots {
		c.report(where.at("connections"), "found %d connections for %d slots, want at least as many connections as slots", full.Connections, full.Slots)
	}
	c.shards(where.at("shards"), name, pool)
	c.weights(where.at("placement"), pool.Placement)
	c.targets(where.at("targets"), pool.Targets)
	c.drain(where.at("drain"), pool)
	c.hasTargets(where, name, pool)
}

func (c *check) shards(where path, name model.PoolName, pool *Pool) {
	if !pool.Keyed && c.doc.Has(where) {
		c.report(where, "found shards in a pool that is not keyed, want none")
		return
	}
	c.within(where, int64(pool.Shards), 1, maxShards)
	previous := c.previous(name)
	if previous == nil {
		return
	}
	if previous.Keyed != pool.Keyed {
		c.report(where[:len(where)-1].at("keyed"), "found %t, want %t: it is fixed for the life of a pool", pool.Keyed, previous.Keyed)
		return
	}
	if full := poolWithDefaults(pool); previous.Shards != full.Shards {
		c.report(where, "found %d, want %d: the number is fixed for the life of a pool", full.Shards, previous.Shards)
	}
}

// previous returns the pool as it is in force, or nil.
func (c *check) previous(name model.PoolName) *Pool {
	if c.env.Previous == nil {
		return nil
	}
	return c.env.Previous.Pools[name]
}

func (c *check) weights(where path, weights *PlacementWeights) {
	if weights == nil {
		return
	}
	for name, value := range map[string]float64{
		"imbalance":   weights.Imbalance,
		"churn":       weights.Churn,
		"unavailable": weights.Unavailable,
	} {
		if value < 0 || value > maxWeight {
			c.report(where.at(name), "found %g, want 0 to %d", value, maxWeight)
		}
	}
}

func (c *check) targets(where path, targets []Target) {
	names := map[model.ServerID]bool{}
	addresses := map[string]bool{}
	for i, target := range targets {
		place := where.at(strconv.Itoa(i))
		c.name(place.at("name"), string(target.Name))
		if names[target.Name] {
			c.report(place.at("name"), "found target %q a second time, want each target once", target.Name)
		}
		if !validAddress(target.Address) {
			c.report(place.at("address"), "found %q, want ip:port", target.Address)
		}
		if addresses[target.Address] {
			c.report(place.at("address"), "found address %s a second time, want each address once", target.Address)
		}
		names[target.Name] = true
		addresses[target.Address] = true
	}
}

func (c *check) drain(where path, pool *Pool) {
	seen := map[model.ServerID]bool{}
	for i, server := range pool.Drain {
		if seen[server] {
			c.report(where.at(strconv.Itoa(i)), "found server %q a second time, want each server once", server)
		}
		seen[server] = true
	}
	if len(pool.Targets) == 0 {
		return
	}
	for _, target := range pool.Targets {
		if !seen[target.Name] {
			return
		}
	}
	c.report(where, "found all %d targets in the list, want at least one that is not drained", len(pool.Targets))
}

// hasTargets checks only what the change touches: a pool whose servers are all
// down must not keep other teams from changing their subtrees.
func (c *check) hasTargets(where path, name model.PoolName, pool *Pool) {
	if len(pool.Targets) > 0 || c.env.Servers == nil {
		return
	}
	previous := c.previous(name)
	if previous != nil && len(previous.Targets) == 0 && slices.Equal(previous.Drain, pool.Drain) {
		return
	}
	if c.env.Servers[name] == 0 {
		c.report(where, "found no targets, want targets in the settings or a live server on the instance list for pool %s", name)
		return
	}
	if drained := len(pool.Drain); drained > 0 && c.env.Servers[name] <= drained {
		c.report(where.at("drain"), "found %d drained of %d listed servers, want at least one that is not drained", drained, c.env.Servers[name])
	}
}

// allowedNames renders names for a message.
func allowedNames[T ~string](names []T) string {
	if len(names) == 0 {
		return "none are defined"
	}
	sorted := make([]string, 0, len(names))
	for _, name := range names {
		sorted = append(sorted, string(name))
	}
	slices.Sort(sorted)
	return "allowed are " + strings.Join(sorted, ", ")
}
