package ownership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Assignment is one version of a pool's row in the table: which server owns
// which shard, and which daemons dispatch to which server. Seq numbers the
// versions; Term numbers the control leases under which they were written. An
// Assignment is immutable once published.
type Assignment struct {
	Pool  model.PoolName `json:"pool"`
	Term  model.Term     `json:"term"`
	Seq   model.Seq      `json:"seq"`
	Keyed bool           `json:"keyed"`
	// Coordinator is the holder of the control lease that wrote this version.
	Coordinator Coordinator `json:"coordinator"`
	// Shards is indexed by shard ID. A key is hashed to one of the first
	// FixedShards shards; each of the others holds a single hot key.
	Shards      []Shard `json:"shards,omitempty"`
	FixedShards int     `json:"fixed_shards,omitempty"`
	// HotKeys lists the keys that have a shard of their own, or will get one.
	HotKeys []HotKey `json:"hot_keys,omitempty"`
	Servers []Server `json:"servers"`
	// Unsettled reports that dispatchers that the assignment does not list may still
	// send under versions that the table has lost. Nobody may send under it, and no
	// version without the mark may follow before all earlier permits have expired.
	Unsettled bool `json:"unsettled,omitempty"`
	// EndedMoves is the number of moves that WithDrained ended in this copy; zero
	// in the version that the table has.
	EndedMoves int `json:"-"`
}

// Coordinator identifies the daemon that controls a pool.
type Coordinator struct {
	Daemon      model.DaemonID    `json:"daemon"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Control is host:port for control calls.
	Control string `json:"control"`
}

// Shard is the ownership of one shard: its server, and the move in progress, if
// any.
type Shard struct {
	Server model.ServerID `json:"server"`
	Epoch  model.Epoch    `json:"epoch"`
	// Next is the server that the shard moves to, empty when no move is in
	// progress. Next equal to Server means that the shard drains in place so
	// that a hot key can be split out of it.
	Next model.ServerID `json:"next,omitempty"`
	// MoveSeq is the sequence number of the version in which the move began,
	// zero when no move is in progress. Its encoded name "since" is kept for
	// daemons of other builds.
	MoveSeq model.Seq `json:"since,omitempty"`
}

// HotKey assigns a hot key, one with a large part of a server's load, to a shard
// of its own, so that it can move apart from the other keys of its shard. This is
// called splitting the key out of its parent shard.
type HotKey struct {
	Hash  uint64        `json:"hash"`
	Shard model.ShardID `json:"shard"`
	// Parent is the shard to which the key is hashed and out of which it is
	// split.
	Parent model.ShardID `json:"parent"`
	// Pending reports that the parent shard still drains; until then the key
	// belongs to the parent.
	Pending bool `json:"pending,omitempty"`
}

// ServerState is the coordinator's decision about a server.
type ServerState string

// States of a server. A leaving server finishes its requests and its shards move
// away; a lost one is judged unreachable or was replaced at another address.
const (
	ServerActive  ServerState = "active"
	ServerLeaving ServerState = "leaving"
	ServerLost    ServerState = "lost"
)

// Server is a backend server with the daemons that may send requests to it.
type Server struct {
	ID          model.ServerID `json:"id"`
	Zone        model.Zone     `json:"zone"`
	Address     string         `json:"address"`
	State       ServerState    `json:"state"`
	Dispatchers []Dispatcher   `json:"dispatchers"`
}

// DispatcherState is what a daemon may do as a dispatcher of a server.
type DispatcherState string

// States of a dispatcher. A server has at most one active dispatcher. A retiring
// one must stop sending; it stays listed until its requests are known to be over.
const (
	DispatcherActive   DispatcherState = "active"
	DispatcherRetiring DispatcherState = "retiring"
)

// Dispatcher is a daemon that may send requests to a server.
type Dispatcher struct {
	Daemon      model.DaemonID    `json:"daemon"`
	Incarnation model.Incarnation `json:"incarnation"`
	Zone        model.Zone        `json:"zone"`
	State       DispatcherState   `json:"state"`
	// StateSeq is the sequence number of the version in which the dispatcher
	// got its state. Its encoded name "since" is kept for daemons of other
	// builds.
	StateSeq model.Seq `json:"since"`
	// Slots is the number of requests that the dispatcher may have in flight at
	// the server.
	Slots int `json:"slots"`
	// Dispatch is the host:port for requests, Control that for control calls.
	Dispatch string `json:"dispatch"`
	Control  string `json:"control"`
}

// HashKey returns the hash that maps a key to its shard.
func HashKey(key model.Key) uint64 { return xxhash.Sum64String(string(key)) }

// ShardOf returns the shard of a key, or NoShard when the pool is not keyed or
// has no shards yet.
func (a *Assignment) ShardOf(key model.Key) model.ShardID {
	if !a.Keyed || a.FixedShards == 0 {
		return model.NoShard
	}
	hash := HashKey(key)
	for _, hot := range a.HotKeys {
		if hot.Hash == hash && !hot.Pending {
			return hot.Shard
		}
	}
	return model.ShardID(hash % uint64(a.FixedShards))
}

// Shard returns the ownership of a shard; ok is false when the ID is out of
// range.
func (a *Assignment) Shard(id model.ShardID) (Shard, bool) {
	if id < 0 || int(id) >= len(a.Shards) {
		return Shard{}, false
	}
	return a.Shards[id], true
}

// Server returns the server with the ID, or nil.
func (a *Assignment) Server(id model.ServerID) *Server {
	for i := range a.Servers {
		if a.Servers[i].ID == id {
			return &a.Servers[i]
		}
	}
	return nil
}

// ActiveDispatcher returns the dispatcher that receives new requests for the
// server, or nil.
func (s *Server) ActiveDispatcher() *Dispatcher {
	for i := range s.Dispatchers {
		if s.Dispatchers[i].State == DispatcherActive {
			return &s.Dispatchers[i]
		}
	}
	return nil
}
