package placement

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Strategy returns the moves for an input. Daemons use Decide; the other
// strategies are baselines for the placement experiment.
type Strategy func(Input) []Move

// Modulo assigns shard i to eligible server i modulo the number of eligible
// servers, in the order of their IDs.
func Modulo(in Input) []Move {
	ids := eligibleServers(in.Servers)
	return movesByRule(in, func(shard Shard) model.ServerID { return ids[int(shard.ID)%len(ids)] })
}

// ringPoints is the number of points of each server on the hash ring.
const ringPoints = 64

type ringPoint struct {
	hash   uint64
	server model.ServerID
}

// Ring assigns each shard to the next eligible server on a consistent hash ring.
func Ring(in Input) []Move {
	var ring []ringPoint
	for _, id := range eligibleServers(in.Servers) {
		for point := range ringPoints {
			ring = append(ring, ringPoint{xxhash.Sum64String(string(id) + "/" + strconv.Itoa(point)), id})
		}
	}
	slices.SortFunc(ring, func(a, b ringPoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	return movesByRule(in, func(shard Shard) model.ServerID {
		hash := xxhash.Sum64String(shardSubject(in.Pool, shard.ID))
		next := slices.IndexFunc(ring, func(p ringPoint) bool { return p.hash >= hash })
		return ring[max(0, next)].server
	})
}

// maxLoadFactor bounds the load of a server in BoundedRendezvous, as a multiple
// of the server's even share.
const maxLoadFactor = 1.25

// BoundedRendezvous assigns each shard to the eligible server with the highest
// rendezvous score among those whose load stays within maxLoadFactor, or to the
// one with the highest score when no server has room.
func BoundedRendezvous(in Input) []Move {
	p := newPlan(in)
	loads := map[model.ServerID]float64{}
	return movesByRule(in, func(shard Shard) model.ServerID {
		load := p.loads[slices.IndexFunc(in.Shards, func(s Shard) bool { return s.ID == shard.ID })]
		order := slices.Clone(p.servers)
		name := shardSubject(in.Pool, shard.ID)
		slices.SortFunc(order, func(a, b *serverState) int { return byScore(name, string(a.id), string(b.id)) })
		chosen := order[0]
		for _, server := range order {
			if loads[server.id]+load <= maxLoadFactor*p.mean*server.weight {
				chosen = server
				break
			}
		}
		loads[chosen.id] += load
		return chosen.id
	})
}

// eligibleServers returns the IDs of the eligible servers in ascending order.
func eligibleServers(servers []Server) []model.ServerID {
	var ids []model.ServerID
	for _, server := range servers {
		if server.Weight > 0 {
			ids = append(ids, server.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// movesByRule returns the moves that bring every shard to the server that the rule
// returns for it, except for shards that are moving already.
func movesByRule(in Input, rule func(Shard) model.ServerID) []Move {
	if len(eligibleServers(in.Servers)) == 0 {
		return nil
	}
	var moves []Move
	for _, shard := range in.Shards {
		if to := rule(shard); to != shard.Owner && !shard.Moving {
			moves = append(moves, Move{Shard: shard.ID, From: shard.Owner, To: to})
		}
	}
	return moves
}
