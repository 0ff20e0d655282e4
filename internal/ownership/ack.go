package ownership

import (
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Ack is a dispatcher's acknowledgement of the newest assignment version that
// it has applied, with the work that may still run under earlier versions.
type Ack struct {
	Daemon      model.DaemonID    `json:"daemon"`
	Incarnation model.Incarnation `json:"incarnation"`
	Seq         model.Seq         `json:"seq"`
	// Undrained lists, for each server, the shards on which a request sent by
	// this dispatcher may still run. Its encoded name "unquiet" is kept for
	// daemons of other builds.
	Undrained []ServerShards `json:"unquiet,omitempty"`
}

// ServerShards lists shards of one server.
type ServerShards struct {
	Server model.ServerID  `json:"server"`
	Shards []model.ShardID `json:"shards"`
}

// ShardDrained reports whether no request of the dispatcher on the shard can
// still run at the server.
func (a *Ack) ShardDrained(server model.ServerID, shard model.ShardID) bool {
	for _, undrained := range a.Undrained {
		if undrained.Server == server && slices.Contains(undrained.Shards, shard) {
			return false
		}
	}
	return true
}

// ServerDrained reports whether no request of the dispatcher can still run at
// the server, on any shard.
func (a *Ack) ServerDrained(server model.ServerID) bool {
	return !slices.ContainsFunc(a.Undrained, func(u ServerShards) bool { return u.Server == server })
}
