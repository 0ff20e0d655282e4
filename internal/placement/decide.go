package placement

import (
	"cmp"
	"slices"

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
	// MoveBudget bounds the moves between servers that both stay. Moves off a
	// leaving server are not bounded.
	MoveBudget int
}

// Move gives a shard to a server. From is empty when the shard has no living owner.
type Move struct {
	Shard model.ShardID
	From  model.ServerID
	To    model.ServerID
}

const (
	// baseLoad is the load that every shard counts for besides its own, as a
	// share of the mean load of a shard.
	baseLoad = 0.25
	// gapNoise is the difference of relative load between two servers that
	// lagging reports may show by chance.
	gapNoise = 0.3
	// gapPerChurn and gapPerUnavailable turn weights into the difference of
	// relative load that is worth the move of an average shard.
	gapPerChurn       = 0.2
	gapPerUnavailable = 0.25
)

// Decide returns the moves that lower the cost. Shards without an owner and
// shards of leaving servers always get a server while one can take them. Others
// move only while the gain in balance outweighs the price of the move.
func Decide(in Input) []Move {
	p := newPlan(in)
	if len(p.servers) == 0 {
		return nil
	}
	p.placeHomeless()
	for range in.MoveBudget {
		if !p.rebalance() {
			break
		}
	}
	return p.moves
}

// carrier is a server that takes shards, with the load that it would have.
type carrier struct {
	id     model.ServerID
	weight float64
	load   float64
	shards []int // indexes into the input's shards
}

// relative returns the load per weight.
func (c *carrier) relative(more float64) float64 { return (c.load + more) / c.weight }

type plan struct {
	in      Input
	loads   []float64 // effective load of each shard of the input
	servers []*carrier
	byID    map[model.ServerID]*carrier
	mean    float64 // load per weight when all servers are even
	moved   map[int]bool
	moves   []Move
}

func newPlan(in Input) *plan {
	p := &plan{in: in, loads: effectiveLoads(in.Shards), byID: map[model.ServerID]*carrier{}, moved: map[int]bool{}}
	weight := 0.0
	for _, server := range in.Servers {
		if server.Weight <= 0 {
			continue
		}
		c := &carrier{id: server.ID, weight: server.Weight}
		p.servers = append(p.servers, c)
		p.byID[server.ID] = c
		weight += server.Weight
	}
	total := 0.0
	for i, shard := range in.Shards {
		total += p.loads[i]
		if owner := p.byID[shard.Owner]; owner != nil {
			owner.load += p.loads[i]
			owner.shards = append(owner.shards, i)
		}
	}
	if weight > 0 {
		p.mean = total / weight
	}
	return p
}

// effectiveLoads adds to each shard's own load a base that stands for the work
// that no report has shown yet.
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

// placeHomeless gives shards without a staying owner to the server that is
// least loaded with them, the heaviest shard first.
func (p *plan) placeHomeless() {
	var homeless []int
	for i, shard := range p.in.Shards {
		if !shard.Moving && p.byID[shard.Owner] == nil {
			homeless = append(homeless, i)
		}
	}
	slices.SortStableFunc(homeless, func(a, b int) int { return cmp.Compare(p.loads[b], p.loads[a]) })
	for _, index := range homeless {
		p.move(index, nil, p.leastLoaded(index))
	}
}

func (p *plan) leastLoaded(index int) *carrier {
	load := p.loads[index]
	subject := subject(p.in.Pool, p.in.Shards[index].ID)
	return slices.MinFunc(p.servers, func(a, b *carrier) int {
		if order := cmp.Compare(a.relative(load), b.relative(load)); order != 0 {
			return order
		}
		return byScore(subject, string(a.id), string(b.id))
	})
}

func (p *plan) move(index int, from, to *carrier) {
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

// rebalance moves one shard from the relatively most to the least loaded
// server if that is worth its price. It reports whether a shard moved.
func (p *plan) rebalance() bool {
	order := func(a, b *carrier) int {
		if order := cmp.Compare(a.relative(0), b.relative(0)); order != 0 {
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
		if gain := p.gain(index, from, to); gain > bestGain {
			best, bestGain = index, gain
		}
	}
	if best < 0 {
		return false
	}
	p.move(best, from, to)
	return true
}

// gain returns by how much the move of a shard lowers the cost; negative when
// it is not worth it. Imbalance is the weighted sum of squares of the servers'
// relative loads, in units of the even load.
func (p *plan) gain(index int, from, to *carrier) float64 {
	load := p.loads[index]
	before := from.load*from.load/from.weight + to.load*to.load/to.weight
	after := (from.load-load)*(from.load-load)/from.weight + (to.load+load)*(to.load+load)/to.weight
	return (before-after)/p.mean - p.price(load)
}

// price returns the gain that a move needs: a part for each move, and a part
// that grows with the load that is interrupted.
func (p *plan) price(load float64) float64 {
	w := p.in.Weights
	imbalance := max(w.Imbalance, minImbalanceWeight)
	average := p.averageLoad()
	churn := gapPerChurn * w.Churn / imbalance * average
	interrupted := (gapNoise + gapPerUnavailable*w.Unavailable/imbalance) * load
	return churn + interrupted
}

// minImbalanceWeight keeps the price finite when a deployment gives imbalance no weight.
const minImbalanceWeight = 0.01

func (p *plan) averageLoad() float64 {
	total := 0.0
	for _, load := range p.loads {
		total += load
	}
	return total / float64(len(p.loads))
}
