package ownership

import (
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Ack is a dispatcher's statement of the assignment that it applied and of the
// work that may still run under earlier ones.
type Ack struct {
	Daemon      model.DaemonID    `json:"daemon"`
	Incarnation model.Incarnation `json:"incarnation"`
	Seq         model.Seq         `json:"seq"`
	// Undrained lists the shards of each server on which a request of this
	// dispatcher may still run.
	Undrained []ServerShards `json:"unquiet,omitempty"`
}

// ServerShards names shards at one server.
type ServerShards struct {
	Server model.ServerID  `json:"server"`
	Shards []model.ShardID `json:"shards"`
}

// ShardDrained reports that no request on the shard may still run at the server.
func (a *Ack) ShardDrained(server model.ServerID, shard model.ShardID) bool {
	for _, unquiet := range a.Undrained {
		if unquiet.Server == server && slices.Contains(unquiet.Shards, shard) {
			return false
		}
	}
	return true
}

// ServerDrained reports that no request at all may still run at the server.
func (a *Ack) ServerDrained(server model.ServerID) bool {
	return !slices.ContainsFunc(a.Undrained, func(u ServerShards) bool { return u.Server == server })
}
