package placement

import (
	"github.com/chicorylug/chicorylug/internal/model"
)

// Weights of the cost: a higher one makes its term matter more.
type Weights struct {
	Imbalance   float64
	Churn       float64
	Unavailable float64
}

// Shard is one shard as placement sees it.
type Shard struct {
	ID model.ShardID
	// Owner is empty when the shard has none or its owner is lost.
	Owner model.ServerID
	// Load is the shard's smoothed share of work, in requests a second.
	Load float64
	// Moving shards are not moved again.
	Moving bool
}

// Server is one server as placement sees it.
type Server struct {
	ID   model.ServerID
	Zone model.Zone
	// Weight is the share of a full server that it may carry, 0 to 1: below 1
	// while it starts, 0 while it leaves.
	Weight float64
}

// Input is everything that a decision depends on.
type Input struct {
	Pool    model.PoolName
	Shards  []Shard
	Servers []Server
	Weights Weights
	// MoveBudget bounds the moves of shards that have a living owner.
	MoveBudget int
}

// Move gives a shard to a server. From is empty when the shard has no living owner.
type Move struct {
	Shard model.ShardID
	From  model.ServerID
	To    model.ServerID
}

// Decide returns the moves that lower the cost. Shards without an owner always
// get one while a server can take them.
func Decide(in Input) []Move {
	var names []string
	for _, server := range in.Servers {
		if server.Weight > 0 {
			names = append(names, string(server.ID))
		}
	}
	if len(names) == 0 {
		return nil
	}
	var moves []Move
	for _, shard := range in.Shards {
		if shard.Owner == "" && !shard.Moving {
			moves = append(moves, Move{Shard: shard.ID, To: model.ServerID(First(subject(in.Pool, shard.ID), names))})
		}
	}
	return moves
}

func subject(pool model.PoolName, shard model.ShardID) string {
	return string(pool) + "/" + string(rune(shard))
}
