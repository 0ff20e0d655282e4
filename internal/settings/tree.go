package settings

import (
	"slices"
	"strconv"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Version numbers the accepted trees in ascending order.
type Version uint64

// String returns the version in decimal.
func (v Version) String() string { return strconv.FormatUint(uint64(v), 10) }

// Tree is the whole settings tree as operators write it, without defaults.
type Tree struct {
	Fleet Fleet                    `json:"fleet"`
	Teams map[model.TeamName]*Team `json:"teams"`
}

// Fleet holds the settings that all teams share. Only the operators of the
// fleet may change it.
type Fleet struct {
	// Ranks lists the ranks from most to least urgent.
	Ranks []RankSettings `json:"ranks"`
}

// RankSettings describes one rank, a priority class of requests.
type RankSettings struct {
	Name model.Rank `json:"name"`
	// TargetMS is the latency that 99 of 100 requests of the rank should stay
	// within, in milliseconds.
	TargetMS int `json:"target_ms"`
	// FloorPercent is the share of each server's slots that is guaranteed to the
	// rank while more urgent ranks are overloaded, in percent.
	FloorPercent int `json:"floor_percent"`
}

// Team is one team's subtree.
type Team struct {
	Pools  map[model.PoolName]*Pool `json:"pools"`
	Routes []*Route                 `json:"routes"`
}

// Pool describes a group of backend servers that do the same kind of work.
type Pool struct {
	// Keyed says that the pool is sharded by key: each key is owned by one server.
	Keyed bool `json:"keyed"`
	// Shards is the fixed number of key shards of a keyed pool.
	Shards int `json:"shards,omitempty"`
	// Slots is the number of requests that a server runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of concurrent connections that a server accepts.
	Connections int `json:"connections"`
	// ChecksGrants says that a server of this keyed pool runs a request only while it
	// holds a grant for the request's shard and epoch. A grant permits a server to run
	// the requests of a shard for a limited time; the epoch is a number that each change
	// of the shard's owner raises. The server's dispatchers send it grants and forward
	// only requests for shards whose grants it has accepted.
	ChecksGrants bool `json:"checks_grants,omitempty"`
	// QueuePerRank bounds the requests of one rank that are queued for one server.
	QueuePerRank int `json:"queue_per_rank,omitempty"`
	// AttemptTimeoutMS bounds one attempt at a server, in milliseconds. In a
	// keyed pool it also bounds the wait for an unresponsive server when a shard
	// is moved away from it.
	AttemptTimeoutMS int `json:"attempt_timeout_ms,omitempty"`
	// RetryPercent bounds the number of retries, in percent of first attempts.
	RetryPercent int `json:"retry_percent,omitempty"`
	// SlowStartMS is the time over which a new server's share of the traffic
	// rises to its full value, in milliseconds.
	SlowStartMS int `json:"slow_start_ms,omitempty"`
	// Targets lists the servers by address. When it is empty, the servers come
	// from the platform's instance list.
	Targets []Target `json:"targets,omitempty"`
	// Drain lists servers that operators take out of service. They are treated
	// as leaving the pool.
	Drain []model.ServerID `json:"drain,omitempty"`
	// Placement overrides the weights of the placement cost; nil means defaults.
	Placement *PlacementWeights `json:"placement,omitempty"`
}

// Target is a backend server that is listed in the settings.
type Target struct {
	Name    model.ServerID `json:"name"`
	Zone    model.Zone     `json:"zone"`
	Address string         `json:"address"`
}

// PlacementWeights holds the relative weights of the terms of the placement cost:
// uneven load of the servers, moves of shards, and the time for which shards are not
// served during their moves.
type PlacementWeights struct {
	Imbalance   float64 `json:"imbalance"`
	Churn       float64 `json:"churn"`
	Unavailable float64 `json:"unavailable"`
}

// Repeat says whether a request may run more than once.
type Repeat string

// Values of Repeat.
const (
	// Idempotent means that the request may run more than once and may be retried.
	Idempotent Repeat = "idempotent"
	// Once means that the request runs at most once and carries an idempotency
	// key set by the caller.
	Once Repeat = "once"
)

// Route maps callers' requests to a pool and a rank.
type Route struct {
	Name    model.RouteName `json:"name"`
	Methods []string        `json:"methods"`
	// Path is a pattern in which "{key}" matches one segment and "{key:*}" the
	// rest of the path.
	Path string         `json:"path"`
	Pool model.PoolName `json:"pool"`
	Rank model.Rank     `json:"rank"`
	// Repeat defaults to Idempotent if all methods are GET or HEAD, otherwise to Once.
	Repeat Repeat `json:"repeat,omitempty"`
	// TimeoutMS is the deadline of a whole request, in milliseconds.
	TimeoutMS int `json:"timeout_ms,omitempty"`
	// MaxBodyBytes bounds the size of a request body, in bytes.
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

// Drained reports whether operators are taking the server out of service.
func (p *Pool) Drained(server model.ServerID) bool { return slices.Contains(p.Drain, server) }

// Timeout returns the time limit of a whole request.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMS) * time.Millisecond
}

// AttemptTimeout returns the time limit of one attempt at a server.
func (p *Pool) AttemptTimeout() time.Duration {
	return time.Duration(p.AttemptTimeoutMS) * time.Millisecond
}
