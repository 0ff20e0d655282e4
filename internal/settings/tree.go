package settings

import (
	"slices"
	"strconv"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Version counts accepted trees. It only rises.
type Version uint64

// String renders the number.
func (v Version) String() string { return strconv.FormatUint(uint64(v), 10) }

// Tree is the whole settings tree as operators write it.
type Tree struct {
	Fleet Fleet                    `json:"fleet"`
	Teams map[model.TeamName]*Team `json:"teams"`
}

// Fleet holds what all teams share. Only the fleet's operators change it.
type Fleet struct {
	// Ranks from most to least urgent.
	Ranks []RankSettings `json:"ranks"`
}

// RankSettings describes one rank.
type RankSettings struct {
	Name model.Rank `json:"name"`
	// TargetMS is the latency target for 99 in 100 requests, in milliseconds.
	TargetMS int `json:"target_ms"`
	// FloorPercent is the share of each server's slots that the rank keeps
	// while more urgent ranks flood, in percent.
	FloorPercent int `json:"floor_percent"`
}

// Team is one team's subtree.
type Team struct {
	Pools  map[model.PoolName]*Pool `json:"pools"`
	Routes []*Route                 `json:"routes"`
}

// Pool describes a pool of backend servers that do the same kind of work.
type Pool struct {
	// Keyed pools are divided by key: each key has one owning server.
	Keyed bool `json:"keyed"`
	// Shards is the fixed number of key shards of a keyed pool.
	Shards int `json:"shards,omitempty"`
	// Slots is the number of requests that a server runs at one time.
	Slots int `json:"slots"`
	// Connections is the number of connections that a server accepts.
	Connections int `json:"connections"`
	// ChecksGrants says that the servers refuse requests under an old epoch.
	ChecksGrants bool `json:"checks_grants,omitempty"`
	// QueuePerRank bounds the waiting requests of one rank at one server.
	QueuePerRank int `json:"queue_per_rank,omitempty"`
	// AttemptTimeoutMS bounds one attempt at a server, in milliseconds. In a
	// keyed pool it also bounds how long a move away from a frozen server waits.
	AttemptTimeoutMS int `json:"attempt_timeout_ms,omitempty"`
	// RetryPercent bounds retries as a share of first attempts, in percent.
	RetryPercent int `json:"retry_percent,omitempty"`
	// SlowStartMS is the time over which a new server's share rises to full.
	SlowStartMS int `json:"slow_start_ms,omitempty"`
	// Targets lists servers by address. When empty, the instance list names them.
	Targets []Target `json:"targets,omitempty"`
	// Drain lists servers that operators take out of service: they are treated
	// as leaving.
	Drain []model.ServerID `json:"drain,omitempty"`
	// Weights of the placement cost.
	Placement *PlacementWeights `json:"placement,omitempty"`
}

// Target is a server listed in the settings.
type Target struct {
	Name    model.ServerID `json:"name"`
	Zone    model.Zone     `json:"zone"`
	Address string         `json:"address"`
}

// PlacementWeights weighs the terms of the placement cost against each other.
type PlacementWeights struct {
	Imbalance   float64 `json:"imbalance"`
	Churn       float64 `json:"churn"`
	Unavailable float64 `json:"unavailable"`
}

// Repeat says whether a request may run more than once.
type Repeat string

// Kinds of repetition.
const (
	// Idempotent requests may be retried.
	Idempotent Repeat = "idempotent"
	// Once requests run at most once and carry the caller's idempotency key.
	Once Repeat = "once"
)

// Route maps callers' requests to a pool and a rank.
type Route struct {
	Name    model.RouteName `json:"name"`
	Methods []string        `json:"methods"`
	// Path is a pattern; "{key}" takes one segment, "{key:*}" the rest.
	Path string         `json:"path"`
	Pool model.PoolName `json:"pool"`
	Rank model.Rank     `json:"rank"`
	// Repeat defaults to once, except for GET and HEAD.
	Repeat Repeat `json:"repeat,omitempty"`
	// TimeoutMS is the deadline of a whole request, in milliseconds.
	TimeoutMS int `json:"timeout_ms,omitempty"`
	// MaxBodyBytes bounds a request body, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
}

// Defaults of optional settings.
const (
	DefaultShards           = 64
	DefaultQueuePerRank     = 64
	DefaultAttemptTimeoutMS = 500
	DefaultRouteTimeoutMS   = 10_000
	DefaultRetryPercent     = 10
	DefaultSlowStartMS      = 2_000
	DefaultMaxBodyBytes     = 1 << 30
)

// Drained reports that operators take a server out of service.
func (p *Pool) Drained(server model.ServerID) bool { return slices.Contains(p.Drain, server) }

// Timeout returns the route's deadline.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMS) * time.Millisecond
}

// AttemptTimeout returns the bound of one attempt.
func (p *Pool) AttemptTimeout() time.Duration {
	return time.Duration(p.AttemptTimeoutMS) * time.Millisecond
}
