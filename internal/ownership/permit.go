package ownership

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// PermitsOf derives the permits that an assignment gives to one incarnation of
// a daemon. Shards that move are left out, so that they drain.
func PermitsOf(a *Assignment, daemon model.DaemonID, incarnation model.Incarnation, until time.Time) []*Permit {
	var permits []*Permit
	for i := range a.Servers {
		server := &a.Servers[i]
		for _, dispatcher := range server.Dispatchers {
			if dispatcher.Daemon == daemon && dispatcher.Incarnation == incarnation && dispatcher.State == DispatcherActive {
				permits = append(permits, permitFor(a, server, dispatcher.Slots, until))
			}
		}
	}
	return permits
}

func permitFor(a *Assignment, server *Server, slots int, until time.Time) *Permit {
	return &Permit{
		Server:  model.ServerRef{Pool: a.Pool, Server: server.ID},
		Address: server.Address,
		Zone:    server.Zone,
		Term:    a.Term,
		Seq:     a.Seq,
		Keyed:   a.Keyed,
		Shards:  a.sendableShards(server.ID),
		Slots:   slots,
		Until:   until,
	}
}

// sendableShards returns the epochs of the shards that the server owns and that
// do not move.
func (a *Assignment) sendableShards(server model.ServerID) map[model.ShardID]model.Epoch {
	shards := map[model.ShardID]model.Epoch{}
	for id, shard := range a.Shards {
		if shard.Server == server && shard.Next == "" {
			shards[model.ShardID(id)] = shard.Epoch
		}
	}
	return shards
}
