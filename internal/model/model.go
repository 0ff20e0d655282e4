package model

import "fmt"

// DaemonID names one daemon. It is stable over restarts of the same instance.
type DaemonID string

// Incarnation is a random identity that a daemon draws at each start.
type Incarnation string

// ServerID names one backend server.
type ServerID string

// PoolName names a pool of backend servers that serve the same kind of work.
type PoolName string

// RouteName names a route inside one team's subtree.
type RouteName string

// TeamName names the team that owns a subtree of the settings.
type TeamName string

// Zone names an availability zone.
type Zone string

// Rank names a class of work. The settings list ranks from most to least urgent.
type Rank string

// Key identifies a draft, order, holding or booking within a pool.
type Key string

// ShardID is an index into the fixed shard table of a keyed pool.
type ShardID int32

// NoShard marks a request to a pool that is not divided by key.
const NoShard ShardID = -1

// Term counts the control leases of a pool. A message with an older term is refused.
type Term uint64

// Epoch counts the owners of one shard. Each change of owner raises it.
type Epoch uint64

// Seq counts the accepted versions of a pool's assignment. It rises by one with
// each write and continues across terms.
type Seq uint64

// RequestID identifies one caller request across daemons and servers.
type RequestID string

// ServerRef identifies a backend server inside a pool.
type ServerRef struct {
	Pool   PoolName `json:"pool"`
	Server ServerID `json:"server"`
}

// String renders the reference as pool/server.
func (r ServerRef) String() string {
	return fmt.Sprintf("%s/%s", r.Pool, r.Server)
}
