package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
)

// The trace that every strategy is given.
const (
	placementTargets   = 15
	placementHotKeys   = 28
	placementPeriod    = time.Second // between two decisions
	placementSteps     = 3600        // periods of one run
	placementMoves     = 4           // move budget of one period
	placementLag       = 0.2         // weight of a new report in the smoothed load
	placementNoise     = 0.3         // spread of a reported load, as a share of it
	hotKeyPeriod       = 180         // periods after which other keys are hot
	hotKeyLoad         = 40.0        // mean load of a hot key, in requests a second
	shardLoad          = 20.0        // mean load of a shard, in requests a second
	slowStartPeriods   = 30
	lossUnavailable    = 0.8  // seconds for which the shards of a lost server are not served
	moveUnavailable    = 0.05 // seconds for which a moving shard is not served
	lossPeriod         = 600  // periods between two losses
	lossReturn         = 60   // periods after which a lost server is back
	arrivalPeriod      = 900  // periods between two arrivals of one more server
	rollingStart       = 2400 // period at which the rolling replacement begins
	rollingPeriod      = 40   // periods between two replacements
	rollingLeaveBefore = 5    // periods between the notice of leaving and the end
)

// namedStrategy is a strategy with its name in tables.
type namedStrategy struct {
	name   string
	decide placement.Strategy
	budget int
}

func placementStrategies() []namedStrategy {
	return []namedStrategy{
		{"modulo", placement.Modulo, 0},
		{"ring", placement.Ring, 0},
		{"bounded-load rendezvous", placement.BoundedRendezvous, 0},
		{"least loaded, never rebalanced", placement.Decide, 0},
		{"move budget of 1 (chosen rule)", placement.Decide, 1},
		{"move budget of 4 (chosen rule)", placement.Decide, placementMoves},
		{"move budget of 16 (chosen rule)", placement.Decide, 4 * placementMoves},
	}
}

// runPlacement gives every strategy the same trace of arrivals, losses, a
// rolling replacement and moving hot keys. Only the decision runs; no daemons.
func runPlacement(ctx context.Context, o Options, r *Report) error {
	d, err := loadDeployment(o.Deployment)
	if err != nil {
		return err
	}
	weights, err := d.weights()
	if err != nil {
		return err
	}
	pool, err := d.pool()
	if err != nil {
		return err
	}
	t := r.table(fmt.Sprintf("Placement of %d shards and %d hot keys on %d targets, weights %+v", pool.Shards, placementHotKeys, placementTargets, weights),
		"strategy", "imbalance mean", "imbalance p99", "churn moves/min", "of them forced", "unavailable s/shard/h", "worst decision", "cost")
	for _, s := range placementStrategies() {
		o.progress("placement by %s", s.name)
		sim := newPlacementRun(o.Seed, pool.Shards, weights, s)
		for sim.step < placementSteps && ctx.Err() == nil {
			sim.advance()
		}
		sim.report(t)
	}
	r.note("imbalance is the most loaded server's load per weight over the even one, minus 1, by true load; decisions see smoothed, noisy reports")
	r.note("cost = weighted sum of imbalance mean, churn (share of all shards moved a minute) and unavailable time (s per shard and hour)")
	r.note("a shard of a lost server counts %.2f s, a moved one %.2f s of unavailable time", lossUnavailable, moveUnavailable)
	return ctx.Err()
}

// simulatedServer is a target of the trace.
type simulatedServer struct {
	id      model.ServerID
	since   int // period of its start
	leaving bool
	lost    bool
	back    int // period at which a lost server returns
}

// placementRun is one strategy under the trace.
type placementRun struct {
	strategy namedStrategy
	weights  placement.Weights
	events   *rand.Rand // the same for all strategies
	reports  *rand.Rand
	step     int
	next     int

	servers   []*simulatedServer
	shards    []placement.Shard
	load      []float64 // true load of each shard
	imbalance []float64
	moves     int
	forced    int
	down      float64 // seconds, summed over shards
	slowest   time.Duration
}

func newPlacementRun(seed uint64, shards int, weights placement.Weights, s namedStrategy) *placementRun {
	run := &placementRun{
		strategy: s,
		weights:  weights,
		events:   rand.New(rand.NewPCG(seed, 1)),
		reports:  rand.New(rand.NewPCG(seed, 2)),
	}
	for range placementTargets {
		run.addServer(-slowStartPeriods)
	}
	for i := range shards + placementHotKeys {
		run.shards = append(run.shards, placement.Shard{ID: model.ShardID(i)})
		run.load = append(run.load, shardLoad*run.events.ExpFloat64())
	}
	return run
}

func (p *placementRun) addServer(since int) {
	p.next++
	p.servers = append(p.servers, &simulatedServer{id: model.ServerID(fmt.Sprintf("target-%d", p.next)), since: since})
}

// advance runs one period: events, reports, the decision and its moves.
func (p *placementRun) advance() {
	p.arrive()
	p.lose()
	p.replace()
	if p.step%hotKeyPeriod == 0 {
		p.changeHotKeys()
	}
	p.observe()
	p.decide()
	p.measure()
	p.step++
}

func (p *placementRun) arrive() {
	if p.step > 0 && p.step%arrivalPeriod == 0 {
		p.addServer(p.step)
	}
}

func (p *placementRun) lose() {
	for _, server := range p.servers {
		if server.lost && p.step >= server.back {
			server.lost = false
			server.since = p.step
		}
	}
	if p.step == 0 || p.step%lossPeriod != 0 {
		return
	}
	victim := p.servers[p.events.IntN(len(p.servers))]
	victim.lost = true
	victim.back = p.step + lossReturn
	p.orphan(victim.id, lossUnavailable)
}

// replace exchanges the first servers one after the other.
func (p *placementRun) replace() {
	since := p.step - rollingStart
	if since < 0 || since/rollingPeriod >= placementTargets {
		return
	}
	old := p.servers[since/rollingPeriod]
	switch since % rollingPeriod {
	case 0:
		old.leaving = true
		p.addServer(p.step)
	case rollingLeaveBefore:
		p.orphan(old.id, lossUnavailable)
	}
}

// orphan takes the shards of a server that is gone.
func (p *placementRun) orphan(id model.ServerID, seconds float64) {
	for i := range p.shards {
		if p.shards[i].Owner == id {
			p.shards[i].Owner = ""
			p.down += seconds
			p.forced++
		}
	}
}

func (p *placementRun) changeHotKeys() {
	first := len(p.load) - placementHotKeys
	for i := first; i < len(p.load); i++ {
		p.load[i] = hotKeyLoad * p.events.ExpFloat64()
	}
}

// observe updates the smoothed loads by noisy reports.
func (p *placementRun) observe() {
	for i := range p.shards {
		reported := p.load[i] * (1 + placementNoise*p.reports.NormFloat64())
		p.shards[i].Load += placementLag * (max(0, reported) - p.shards[i].Load)
	}
}

func (p *placementRun) weightOf(server *simulatedServer) float64 {
	if server.leaving || server.lost {
		return 0
	}
	return min(1, float64(p.step-server.since+1)/slowStartPeriods)
}

func (p *placementRun) decide() {
	in := placement.Input{Pool: "measured", Shards: p.shards, Weights: p.weights, MoveBudget: p.strategy.budget}
	for _, server := range p.servers {
		if !server.lost {
			in.Servers = append(in.Servers, placement.Server{ID: server.id, Weight: p.weightOf(server)})
		}
	}
	start := time.Now()
	moves := p.strategy.decide(in)
	p.slowest = max(p.slowest, time.Since(start))
	leaving := map[model.ServerID]bool{}
	for _, server := range p.servers {
		leaving[server.id] = server.leaving
	}
	for _, move := range moves {
		p.shards[move.Shard].Owner = move.To
		if move.From == "" {
			continue
		}
		p.moves++
		p.down += moveUnavailable
		if leaving[move.From] {
			p.forced++
			p.moves--
		}
	}
}

// measure adds this period's imbalance of the true load.
func (p *placementRun) measure() {
	loads := map[model.ServerID]float64{}
	total := 0.0
	for i, shard := range p.shards {
		loads[shard.Owner] += p.load[i]
		total += p.load[i]
	}
	weight := 0.0
	for _, server := range p.servers {
		weight += p.weightOf(server)
	}
	worst := 0.0
	for _, server := range p.servers {
		if w := p.weightOf(server); w > 0 {
			worst = max(worst, loads[server.id]/w/(total/weight)-1)
		}
	}
	p.imbalance = append(p.imbalance, worst)
}

func (p *placementRun) report(t *Table) {
	minutes := float64(p.step) * placementPeriod.Minutes()
	moves := float64(p.moves+p.forced) / minutes
	mean, p99 := meanAndQuantile(p.imbalance, 0.99)
	down := p.down / float64(len(p.shards)) / (minutes / 60)
	churn := moves / float64(len(p.shards))
	cost := p.weights.Imbalance*mean + p.weights.Churn*churn + p.weights.Unavailable*down
	t.add(p.strategy.name, mean, p99, moves, float64(p.forced)/minutes, down, p.slowest, math.Round(cost*1000)/1000)
}
