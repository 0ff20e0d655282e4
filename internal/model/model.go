package model

import "fmt"

// DaemonID identifies a daemon. It stays the same when the instance restarts.
type DaemonID string

// Incarnation is a random ID that a daemon generates at each start. It
// distinguishes the processes of one daemon.
type Incarnation string

// ServerID identifies a backend server.
type ServerID string

// PoolName is the name of a pool, a set of backend servers that serve the same kind
// of requests.
type PoolName string

// RouteName is the name of a route within one team's subtree of the settings.
type RouteName string

// TeamName is the name of a team, which owns a subtree of the settings.
type TeamName string

// Zone is the name of an availability zone.
type Zone string

// Region is the name of a region, a set of availability zones.
type Region string

// Rank is the name of a priority class of requests. The settings list ranks from
// most to least urgent.
type Rank string

// Key identifies the object that a request concerns, such as a draft, order, holding
// or booking, within a pool.
type Key string

// ShardID is the index of a shard in a keyed pool. The number of shards of a pool
// is fixed.
type ShardID int32

// NoShard is the shard of a request to a pool that is not divided by key.
const NoShard ShardID = -1

// Term numbers the control leases of a pool in their order. A message with an older
// term is refused.
type Term uint64

// Epoch numbers the owners of one shard. Each change of owner raises it.
type Epoch uint64

// Seq numbers the accepted versions of a pool's assignment. It rises by one with
// each write and does not restart with a new term.
type Seq uint64

// RequestID identifies one request of a caller in all daemons and servers that
// handle it.
type RequestID string

// ServerRef identifies a backend server inside a pool.
type ServerRef struct {
	Pool   PoolName `json:"pool"`
	Server ServerID `json:"server"`
}

// String returns the reference as pool/server.
func (r ServerRef) String() string {
	return fmt.Sprintf("%s/%s", r.Pool, r.Server)
}
