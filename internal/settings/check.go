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

// Upper bounds of the values in a tree.
const (
	MaxTreeBytes   = 1 << 20 // size of a tree's text, in bytes
	maxNameLength  = 64      // length of a name, in characters
	maxSlots       = 10_000
	maxConnections = 100_000
	maxShards      = 65_536
	maxQueue       = 100_000
	maxTimeoutMS   = 3_600_000 // milliseconds
	maxBodyBytes   = 1 << 40   // bytes
	maxWeight      = 1_000
	maxPercent     = 100
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]*$`)

// Environment is the state outside of a tree that the tree is validated against.
type Environment struct {
	// Previous is the tree in force, or nil if there is none.
	Previous *Compiled
	// Servers is the number of live servers of each pool on the instance list. It
	// is nil if the list is not available; whether pools have servers is then not
	// checked.
	Servers map[model.PoolName]int
	// changedTeam is the team whose subtree is replaced, if any. It is checked last,
	// so that a pool or route that two teams define is reported in its subtree.
	changedTeam model.TeamName
}

// Validate decodes a tree and checks its schema and meaning. The error is of type
// jsonc.Problems. It lists all problems of the first stage that fails: size,
// syntax, schema or meaning.
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
	c := &checker{doc: doc, tree: tree, env: env}
	c.run()
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return tree, nil
}

// checker collects the problems in the meaning of a tree that matches the schema.
type checker struct {
	doc      *jsonc.Document
	tree     *Tree
	env      Environment
	problems jsonc.Problems

	poolTeams map[model.PoolName]model.TeamName
	routes    routeIndex
}

// path is the position of a value in the tree: member names and list indexes.
type path []string

func (p path) child(names ...string) path { return append(slices.Clone(p), names...) }

func (c *checker) report(where path, format string, args ...any) {
	c.problems = append(c.problems, c.doc.Problem(where, format, args...))
}

func (c *checker) run() {
	c.poolTeams = map[model.PoolName]model.TeamName{}
	c.routes = routeIndex{}
	c.checkRanks()
	for _, name := range c.teamNames() {
		c.checkTeam(name, c.tree.Teams[name])
	}
}

// teamNames returns the teams in the order of the text, with changedTeam last.
func (c *checker) teamNames() []model.TeamName {
	var names []model.TeamName
	for _, name := range c.doc.Names(path{"teams"}) {
		if model.TeamName(name) != c.env.changedTeam {
			names = append(names, model.TeamName(name))
		}
	}
	if _, ok := c.tree.Teams[c.env.changedTeam]; ok {
		names = append(names, c.env.changedTeam)
	}
	return names
}

func (c *checker) checkName(where path, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		c.report(where, "found the name %q, want 1 to %d letters, digits, - and _, starting with a letter or digit", name, maxNameLength)
	}
}

// checkRange reports a value outside lower to upper, both inclusive. A setting that
// is absent from the text is not checked, because it takes its default.
func (c *checker) checkRange(where path, value, lower, upper int64) {
	if value == 0 && !c.doc.Has(where) {
		return
	}
	if value < lower || value > upper {
		c.report(where, "found %d, want %d to %d", value, lower, upper)
	}
}

func (c *checker) checkRanks() {
	where := path{"fleet", "ranks"}
	if len(c.tree.Fleet.Ranks) == 0 {
		c.report(where, "found no ranks, want one or more, from most to least urgent")
	}
	seen := map[model.Rank]bool{}
	floorSum, highestTarget := 0, 0
	for i, rank := range c.tree.Fleet.Ranks {
		place := where.child(strconv.Itoa(i))
		c.checkName(place.child("name"), string(rank.Name))
		if seen[rank.Name] {
			c.report(place.child("name"), "found rank %q a second time, want each rank once", rank.Name)
		}
		seen[rank.Name] = true
		if rank.TargetMS < 1 || rank.TargetMS > maxTimeoutMS {
			c.report(place.child("target_ms"), "found %d, want 1 to %d", rank.TargetMS, maxTimeoutMS)
		}
		if rank.TargetMS < highestTarget {
			c.report(place.child("target_ms"), "found %d after %d, want ranks from most to least urgent: targets that do not fall", rank.TargetMS, highestTarget)
		}
		highestTarget = max(highestTarget, rank.TargetMS)
		if rank.FloorPercent < 0 || rank.FloorPercent > maxPercent {
			c.report(place.child("floor_percent"), "found %d, want 0 to %d", rank.FloorPercent, maxPercent)
		}
		floorSum += rank.FloorPercent
	}
	if floorSum > maxPercent {
		c.report(where, "found floors that sum up to %d percent, want %d or less", floorSum, maxPercent)
	}
}

func (c *checker) checkTeam(name model.TeamName, team *Team) {
	where := path{"teams", string(name)}
	c.checkName(where, string(name))
	for _, poolName := range c.doc.Names(where.child("pools")) {
		c.checkPool(where.child("pools", poolName), name, model.PoolName(poolName), team.Pools[model.PoolName(poolName)])
	}
	names := map[model.RouteName]bool{}
	for i, route := range team.Routes {
		place := where.child("routes", strconv.Itoa(i))
		c.checkName(place.child("name"), string(route.Name))
		if names[route.Name] {
			c.report(place.child("name"), "found route %q a second time in team %s, want each name once", route.Name, name)
		}
		names[route.Name] = true
		c.checkRoute(place, team, route)
	}
}

func (c *checker) checkPool(where path, team model.TeamName, name model.PoolName, pool *Pool) {
	c.checkName(where, string(name))
	if other, taken := c.poolTeams[name]; taken {
		c.report(where, "found pool %q in team %s, want another name: team %s owns it", name, team, other)
	}
	c.poolTeams[name] = team
	c.checkRange(where.child("slots"), int64(pool.Slots), 1, maxSlots)
	c.checkRange(where.child("connections"), int64(pool.Connections), 1, maxConnections)
	c.checkRange(where.child("queue_per_rank"), int64(pool.QueuePerRank), 1, maxQueue)
	c.checkRange(where.child("attempt_timeout_ms"), int64(pool.AttemptTimeoutMS), 1, maxTimeoutMS)
	c.checkRange(where.child("retry_percent"), int64(pool.RetryPercent), 1, maxPercent)
	c.checkRange(where.child("slow_start_ms"), int64(pool.SlowStartMS), 1, maxTimeoutMS)
	effective := poolWithDefaults(pool)
	if effective.Connections < effective.Slots {
		c.report(where.child("connections"), "found %d connections for %d slots, want at least as many connections as slots", effective.Connections, effective.Slots)
	}
	c.checkShards(where.child("shards"), name, pool)
	c.checkWeights(where.child("placement"), pool.Placement)
	c.checkTargets(where.child("targets"), pool.Targets)
	c.checkDrain(where.child("drain"), pool)
	c.checkServersAvailable(where, name, pool)
}

func (c *checker) checkShards(where path, name model.PoolName, pool *Pool) {
	if !pool.Keyed && c.doc.Has(where) {
		c.report(where, "found shards in a pool that is not keyed, want none")
		return
	}
	c.checkRange(where, int64(pool.Shards), 1, maxShards)
	previous := c.previousPool(name)
	if previous == nil {
		return
	}
	if previous.Keyed != pool.Keyed {
		c.report(where[:len(where)-1].child("keyed"), "found %t, want %t: it is fixed for the life of a pool", pool.Keyed, previous.Keyed)
		return
	}
	if effective := poolWithDefaults(pool); previous.Shards != effective.Shards {
		c.report(where, "found %d, want %d: the number is fixed for the life of a pool", effective.Shards, previous.Shards)
	}
}

// previousPool returns the pool of the tree in force, or nil if it has none.
func (c *checker) previousPool(name model.PoolName) *Pool {
	if c.env.Previous == nil {
		return nil
	}
	return c.env.Previous.Pools[name]
}

func (c *checker) checkWeights(where path, weights *PlacementWeights) {
	if weights == nil {
		return
	}
	for name, value := range map[string]float64{
		"imbalance":   weights.Imbalance,
		"churn":       weights.Churn,
		"unavailable": weights.Unavailable,
	} {
		if value < 0 || value > maxWeight {
			c.report(where.child(name), "found %g, want 0 to %d", value, maxWeight)
		}
	}
}

func (c *checker) checkTargets(where path, targets []Target) {
	names := map[model.ServerID]bool{}
	addresses := map[string]bool{}
	for i, target := range targets {
		place := where.child(strconv.Itoa(i))
		c.checkName(place.child("name"), string(target.Name))
		if names[target.Name] {
			c.report(place.child("name"), "found target %q a second time, want each target once", target.Name)
		}
		if !validAddress(target.Address) {
			c.report(place.child("address"), "found %q, want ip:port", target.Address)
		}
		if addresses[target.Address] {
			c.report(place.child("address"), "found address %s a second time, want each address once", target.Address)
		}
		names[target.Name] = true
		addresses[target.Address] = true
	}
}

func (c *checker) checkDrain(where path, pool *Pool) {
	seen := map[model.ServerID]bool{}
	for i, server := range pool.Drain {
		if seen[server] {
			c.report(where.child(strconv.Itoa(i)), "found server %q a second time, want each server once", server)
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

// checkServersAvailable reports a pool without targets that has no live server, or
// none that is not drained. It skips a pool whose targets and drain list are
// unchanged: a pool whose servers are all down must not prevent other teams from
// changing their subtrees.
func (c *checker) checkServersAvailable(where path, name model.PoolName, pool *Pool) {
	if len(pool.Targets) > 0 || c.env.Servers == nil {
		return
	}
	previous := c.previousPool(name)
	if previous != nil && len(previous.Targets) == 0 && slices.Equal(previous.Drain, pool.Drain) {
		return
	}
	if c.env.Servers[name] == 0 {
		c.report(where, "found no targets, want targets in the settings or a live server on the instance list for pool %s", name)
		return
	}
	if drained := len(pool.Drain); drained > 0 && c.env.Servers[name] <= drained {
		c.report(where.child("drain"), "found %d drained of %d listed servers, want at least one that is not drained", drained, c.env.Servers[name])
	}
}

// allowedNames formats names as the end of a message, sorted.
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
