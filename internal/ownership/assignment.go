package ownership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Assignment is one pool's row in the table: who owns which shard, and which
// daemons dispatch to which server. Values of it are never changed once published.
type Assignment struct {
	Pool  model.PoolName `json:"pool"`
	Term  model.Term     `json:"term"`
	Seq   model.Seq      `json:"seq"`
	Keyed bool           `json:"keyed"`
	// Coordinator is the holder of the control lease that wrote the assignment.
	Coordinator Coordinator `json:"coordinator"`
	// Shards is indexed by shard id. The first FixedShards are reached by hash,
	// the rest hold one hot key each.
	Shards      []Shard `json:"shards,omitempty"`
	FixedShards int     `json:"fixed_shards,omitempty"`
	// HotKeys maps single keys to shards of their own.
	HotKeys []HotKey `json:"hot_keys,omitempty"`
	Servers []Server `json:"servers"`
}

// Coordinator is the daemon that controls a pool.
type Coordinator struct {
	Daemon      model.DaemonID    `json:"daemon"`
	Incarnation model.Incarnation `json:"incarnation"`
	// Control is host:port for control calls.
	Control string `json:"control"`
}

// Shard is the ownership of one shard.
type Shard struct {
	Server model.ServerID `json:"server"`
	Epoch  model.Epoch    `json:"epoch"`
	// Next is the server that the shard moves to; empty when it does not move.
	Next model.ServerID `json:"next,omitempty"`
	// MoveSeq is the sequence number under which the move began; zero when it does not move.
	MoveSeq model.Seq `json:"since,omitempty"`
}

// HotKey gives one key a shard of its own.
type HotKey struct {
	Hash  uint64        `json:"hash"`
	Shard model.ShardID `json:"shard"`
	// Parent is the shard that the key was split out of.
	Parent model.ShardID `json:"parent"`
	// Pending says that the parent still drains and the key is still reached by hash.
	Pending bool `json:"pending,omitempty"`
}

// ServerState is the coordinator's decision on a server.
type ServerState string

// States of servers.
const (
	ServerActive  ServerState = "active"
	ServerLeaving ServerState = "leaving"
	ServerLost    ServerState = "lost"
)

// Server is one backend server with the daemons that may send to it.
type Server struct {
	ID          model.ServerID `json:"id"`
	Zone        model.Zone     `json:"zone"`
	Address     string         `json:"address"`
	State       ServerState    `json:"state"`
	Dispatchers []Dispatcher   `json:"dispatchers"`
}

// DispatcherState says what a daemon may do for a server.
type DispatcherState string

// States of dispatchers. A retiring one may still send until it is known to have stopped.
const (
	DispatcherActive   DispatcherState = "active"
	DispatcherRetiring DispatcherState = "retiring"
)

// Dispatcher is a daemon that may send to a server.
type Dispatcher struct {
	Daemon      model.DaemonID    `json:"daemon"`
	Incarnation model.Incarnation `json:"incarnation"`
	Zone        model.Zone        `json:"zone"`
	State       DispatcherState   `json:"state"`
	// StateSeq is the sequence number under which the dispatcher got its state.
	StateSeq model.Seq `json:"since"`
	// Slots is the number of requests that this dispatcher may have at the server at one time.
	Slots int `json:"slots"`
	// Dispatch is host:port for requests; Control is host:port for control calls.
	Dispatch string `json:"dispatch"`
	Control  string `json:"control"`
}

// HashKey returns the hash by which a key finds its shard.
func HashKey(key model.Key) uint64 { return xxhash.Sum64String(string(key)) }

// ShardOf returns the shard of a key, or NoShard when the pool is not divided by key.
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

// Shard returns the ownership of a shard; ok is false when there is none.
func (a *Assignment) Shard(id model.ShardID) (Shard, bool) {
	if id < 0 || int(id) >= len(a.Shards) {
		return Shard{}, false
	}
	return a.Shards[id], true
}

// Server returns the server with the id, or nil.
func (a *Assignment) Server(id model.ServerID) *Server {
	for i := range a.Servers {
		if a.Servers[i].ID == id {
			return &a.Servers[i]
		}
	}
	return nil
}

// ActiveDispatcher returns the dispatcher to which new requests for the server go, or nil.
func (s *Server) ActiveDispatcher() *Dispatcher {
	for i := range s.Dispatchers {
		if s.Dispatchers[i].State == DispatcherActive {
			return &s.Dispatchers[i]
		}
	}
	return nil
}
