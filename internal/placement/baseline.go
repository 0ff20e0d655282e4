package placement

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Strategy decides on moves; Decide is the one in use, the others are baselines
// for measurements.
type Strategy func(Input) []Move

// Modulo gives shard i to server i modulo the number of servers.
func Modulo(in Input) []Move {
	ids := staying(in.Servers)
	return follow(in, func(shard Shard) model.ServerID { return ids[int(shard.ID)%len(ids)] })
}

// ringPoints is the number of points of one server on the ring.
const ringPoints = 64

type ringPoint struct {
	hash   uint64
	server model.ServerID
}

// Ring gives each shard to the next server on a hash ring.
func Ring(in Input) []Move {
	var ring []ringPoint
	for _, id := range staying(in.Servers) {
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
	return follow(in, func(shard Shard) model.ServerID {
		hash := xxhash.Sum64String(subject(in.Pool, shard.ID))
		next := slices.IndexFunc(ring, func(p ringPoint) bool { return p.hash >= hash })
		return ring[max(0, next)].server
	})
}

// boundedLoad is the load that a server may have in BoundedRendezvous, as a
// multiple of an even share.
const boundedLoad = 1.25

// BoundedRendezvous gives each shard to the server with the highest rendezvous
// score that has room for its load.
func BoundedRendezvous(in Input) []Move {
	p := newPlan(in)
	loads := map[model.ServerID]float64{}
	return follow(in, func(shard Shard) model.ServerID {
		load := p.loads[slices.IndexFunc(in.Shards, func(s Shard) bool { return s.ID == shard.ID })]
		order := slices.Clone(p.servers)
		name := subject(in.Pool, shard.ID)
		slices.SortFunc(order, func(a, b *carrier) int { return byScore(name, string(a.id), string(b.id)) })
		chosen := order[0]
		for _, server := range order {
			if loads[server.id]+load <= boundedLoad*p.mean*server.weight {
				chosen = server
				break
			}
		}
		loads[chosen.id] += load
		return chosen.id
	})
}

func staying(servers []Server) []model.ServerID {
	var ids []model.ServerID
	for _, server := range servers {
		if server.Weight > 0 {
			ids = append(ids, server.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// follow returns the moves that bring every shard to where a rule wants it.
func follow(in Input, rule func(Shard) model.ServerID) []Move {
	if len(staying(in.Servers)) == 0 {
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
