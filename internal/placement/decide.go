package placement

import (
	"cmp"
	"slices"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Weights holds the weights of the terms of the placement cost: uneven load, moves
// of shards, and unavailability of shards during their moves. Decide uses the
// ratios of Churn and Unavailable to Imbalance.
type Weights struct {
	Imbalance   float64
	Churn       float64
	Unavailable float64
}

// Shard is one shard of the pool.
type Shard struct {
	ID model.ShardID
	// Owner is empty when the shard has no owner or its owner has failed.
	Owner model.ServerID
	// Load is the smoothed rate of the shard's requests, in requests per second.
	Load float64
	// Moving reports that a move of the shard is in progress; it is not moved again.
	Moving bool
}

// Server is one backend server of the pool.
type Server struct {
	ID   model.ServerID
	Zone model.Zone
	// Weight is the fraction of a full server's load that this server may have,
	// 0 to 1: below 1 while it starts, 0 while it is leaving.
	Weight float64
}

// Input holds everything on which a decision depends.
type Input struct {
	Pool    model.PoolName
	Shards  []Shard
	Servers []Server
	Weights Weights
	// MoveBudget is the maximum number of moves between eligible servers in one
	// decision. Moves off leaving servers are not limited.
	MoveBudget int
}

// Move assigns a shard to the server To. From is the shard's owner, empty when it
// has none.
type Move struct {
	Shard model.ShardID
	From  model.ServerID
	To    model.ServerID
}

const (
	// baseLoad is added to the load of every shard, as a fraction of the mean load
	// of a shard.
	baseLoad = 0.25
	// gapNoise is the difference of relative load that two evenly loaded servers
	// may show by chance because load reports lag.
	gapNoise = 0.3
	// gapPerChurn and gapPerUnavailable convert the weights to the difference of
	// relative load that justifies the move of an average shard.
	gapPerChurn       = 0.2
	gapPerUnavailable = 0.25
)

// Decide returns the moves that lower the placement cost. Shards without an owner
// and shards of leaving servers always get an eligible server if there is one. Any
// other shard moves only if the better balance outweighs the cost of its move.
func Decide(in Input) []Move {
	p := newPlan(in)
	if len(p.servers) == 0 {
		return nil
	}
	p.placeUnassigned()
	for range in.MoveBudget {
		if !p.rebalance() {
			break
		}
	}
	return p.moves
}

// serverState is an eligible server with the load and the shards that it has once
// the moves planned so far are done.
type serverState struct {
	id     model.ServerID
	weight float64
	load   float64
	shards []int // indexes into the input's shards
}

// relativeLoad returns the load per weight with extra load added.
func (s *serverState) relativeLoad(extra float64) float64 { return (s.load + extra) / s.weight }

// plan collects the moves of one decision.
type plan struct {
	in      Input
	loads   []float64 // effective load of each shard of the input
	servers []*serverState
	byID    map[model.ServerID]*serverState
	mean    float64      // load per weight if the load were spread evenly
	moved   map[int]bool // by index into the input's shards
	moves   []Move
}

func newPlan(in Input) *plan {
	p := &plan{in: in, loads: effectiveLoads(in.Shards), byID: map[model.ServerID]*serverState{}, moved: map[int]bool{}}
	totalWeight := 0.0
	for _, server := range in.Servers {
		if server.Weight <= 0 {
			continue
		}
		s := &serverState{id: server.ID, weight: server.Weight}
		p.servers = append(p.servers, s)
		p.byID[server.ID] = s
		totalWeight += server.Weight
	}
	totalLoad := 0.0
	for i, shard := range in.Shards {
		totalLoad += p.loads[i]
		if owner := p.byID[shard.Owner]; owner != nil {
			owner.load += p.loads[i]
			owner.shards = append(owner.shards, i)
		}
	}
	if totalWeight > 0 {
		p.mean = totalLoad / totalWeight
	}
	return p
}

// effectiveLoads returns each shard's load plus a base load that stands for
// requests that no load report has shown yet.
func effectiveLoads(shards []Shard) []float64 {
	total := 0.0
	for _, shard := range shards {
		total += shard.Load
	}
	base := 1.0
	if total > 0 {
		base = baseLoad * total / float64(len(shards))
	}
	loads := make([]float64, len(shards))
	for i, shard := range shards {
		loads[i] = shard.Load + base
	}
	return loads
}

// placeUnassigned assigns each shard without an eligible owner to the server whose
// relative load with the shard is lowest. The shard with the highest load comes first.
func (p *plan) placeUnassigned() {
	var unassigned []int
	for i, shard := range p.in.Shards {
		if !shard.Moving && p.byID[shard.Owner] == nil {
			unassigned = append(unassigned, i)
		}
	}
	slices.SortStableFunc(unassigned, func(a, b int) int { return cmp.Compare(p.loads[b], p.loads[a]) })
	for _, index := range unassigned {
		p.move(index, nil, p.leastLoaded(index))
	}
}

func (p *plan) leastLoaded(index int) *serverState {
	load := p.loads[index]
	subject := shardSubject(p.in.Pool, p.in.Shards[index].ID)
	return slices.MinFunc(p.servers, func(a, b *serverState) int {
		if order := cmp.Compare(a.relativeLoad(load), b.relativeLoad(load)); order != 0 {
			return order
		}
		return byScore(subject, string(a.id), string(b.id))
	})
}

func (p *plan) move(index int, from, to *serverState) {
	shard := p.in.Shards[index]
	p.moves = append(p.moves, Move{Shard: shard.ID, From: shard.Owner, To: to.id})
	p.moved[index] = true
	if from != nil {
		from.load -= p.loads[index]
		from.shards = slices.DeleteFunc(from.shards, func(i int) bool { return i == index })
	}
	to.load += p.loads[index]
	to.shards = append(to.shards, index)
}

// rebalance moves one shard from the server with the highest relative load to the
// one with the lowest if the move has a positive net gain. It reports whether a
// shard moved.
func (p *plan) rebalance() bool {
	order := func(a, b *serverState) int {
		if order := cmp.Compare(a.relativeLoad(0), b.relativeLoad(0)); order != 0 {
			return order
		}
		return cmp.Compare(a.id, b.id)
	}
	from, to := slices.MaxFunc(p.servers, order), slices.MinFunc(p.servers, order)
	best, bestGain := -1, 0.0
	for _, index := range from.shards {
		if p.moved[index] || p.in.Shards[index].Moving {
			continue
		}
		if gain := p.netGain(index, from, to); gain > bestGain {
			best, bestGain = index, gain
		}
	}
	if best < 0 {
		return false
	}
	p.move(best, from, to)
	return true
}

// netGain returns by how much the move of a shard reduces the imbalance, less the
// gain that the move requires. It is negative when the shard should stay. The
// imbalance is the weighted sum of squares of the servers' relative loads, divided
// by the mean relative load.
func (p *plan) netGain(index int, from, to *serverState) float64 {
	load := p.loads[index]
	before := from.load*from.load/from.weight + to.load*to.load/to.weight
	after := (from.load-load)*(from.load-load)/from.weight + (to.load+load)*(to.load+load)/to.weight
	return (before-after)/p.mean - p.requiredGain(load)
}

// requiredGain returns the reduction of imbalance that justifies the move of a shard
// with the given load: a constant part for each move, and a part proportional to the
// load that the move interrupts.
func (p *plan) requiredGain(load float64) float64 {
	w := p.in.Weights
	imbalance := max(w.Imbalance, minImbalanceWeight)
	average := p.averageLoad()
	churn := gapPerChurn * w.Churn / imbalance * average
	interrupted := (gapNoise + gapPerUnavailable*w.Unavailable/imbalance) * load
	return churn + interrupted
}

// minImbalanceWeight keeps the required gain finite when the settings give
// imbalance no weight.
const minImbalanceWeight = 0.01

func (p *plan) averageLoad() float64 {
	total := 0.0
	for _, load := range p.loads {
		total += load
	}
	return total / float64(len(p.loads))
}
