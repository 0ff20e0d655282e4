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

// Parameters of the simulated trace, which is the same for every strategy. A period is the
// time between two decisions.
const (
	placementTargets    = 15
	placementHotKeys    = 28
	placementPeriod     = time.Second // length of a period
	placementSteps      = 3600        // periods in one run
	placementMoveBudget = 4           // moves allowed in one period
	loadSmoothing       = 0.2         // weight of a new report in the exponentially smoothed load
	reportNoise         = 0.3         // standard deviation of a reported load, as a share of the load
	hotKeyPeriod        = 180         // periods after which the loads of the hot keys change
	hotKeyLoad          = 40.0        // mean load of a hot key, in requests per second
	shardLoad           = 20.0        // mean load of a shard, in requests per second
	slowStartPeriods    = 30          // periods in which a new server's weight rises to 1
	lossUnavailableS    = 0.8         // seconds for which each shard of a lost server is not served
	moveUnavailableS    = 0.05        // seconds for which a moving shard is not served
	lossPeriod          = 600         // periods between two losses of a server
	lossDuration        = 60          // periods after which a lost server returns
	arrivalPeriod       = 900         // periods between two additions of a server
	rollingStart        = 2400        // period in which the rolling replacement of all servers begins
	rollingPeriod       = 40          // periods between the replacements of two servers
	rollingNotice       = 5           // periods between the start of a server's drain and its end
)

// namedStrategy is a placement strategy with its move budget and its name in tables.
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
		{"move budget of 4 (chosen rule)", placement.Decide, placementMoveBudget},
		{"move budget of 16 (chosen rule)", placement.Decide, 4 * placementMoveBudget},
	}
}

// runPlacement simulates every strategy on the same trace of server additions and losses, a
// rolling replacement and changing hot keys. Only the placement decision runs, no daemons.
func runPlacement(ctx context.Context, o Options, r *Report) error {
	d, err := loadDeployment(o.Deployment)
	if err != nil {
		return err
	}
	weights, err := d.placementWeights()
	if err != nil {
		return err
	}
	pool, err := d.keyedPool()
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
	r.note("a shard of a lost server counts %.2f s, a moved one %.2f s of unavailable time", lossUnavailableS, moveUnavailableS)
	return ctx.Err()
}

// simulatedServer is a server of the trace.
type simulatedServer struct {
	id        model.ServerID
	started   int // period in which it started or returned
	draining  bool
	lost      bool
	returnsAt int // period in which a lost server returns
}

// placementRun is the simulation of one strategy.
type placementRun struct {
	strategy   namedStrategy
	weights    placement.Weights
	events     *rand.Rand // trace events; the same for all strategies
	reports    *rand.Rand // noise of the load reports
	step       int        // current period
	lastServer int        // number of the last server added

	servers         []*simulatedServer
	shards          []placement.Shard
	load            []float64 // true load of each shard
	imbalance       []float64
	moves           int     // other than forced ones
	forced          int     // shards that lost their server, and moves off draining servers
	unavailableS    float64 // unavailable time in seconds, summed over shards
	slowestDecision time.Duration
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

func (p *placementRun) addServer(started int) {
	p.lastServer++
	p.servers = append(p.servers, &simulatedServer{id: model.ServerID(fmt.Sprintf("target-%d", p.lastServer)), started: started})
}

// advance simulates one period: events, load reports, the decision and its moves.
func (p *placementRun) advance() {
	p.addArrivals()
	p.applyLosses()
	p.applyReplacements()
	if p.step%hotKeyPeriod == 0 {
		p.changeHotKeys()
	}
	p.updateReportedLoads()
	p.decide()
	p.measure()
	p.step++
}

func (p *placementRun) addArrivals() {
	if p.step > 0 && p.step%arrivalPeriod == 0 {
		p.addServer(p.step)
	}
}

func (p *placementRun) applyLosses() {
	for _, server := range p.servers {
		if server.lost && p.step >= server.returnsAt {
			server.lost = false
			server.started = p.step
		}
	}
	if p.step == 0 || p.step%lossPeriod != 0 {
		return
	}
	victim := p.servers[p.events.IntN(len(p.servers))]
	victim.lost = true
	victim.returnsAt = p.step + lossDuration
	p.unassignShards(victim.id, lossUnavailableS)
}

// applyReplacements replaces the servers of the start one after the other: each drains
// while a new one starts, then ends.
func (p *placementRun) applyReplacements() {
	elapsed := p.step - rollingStart
	if elapsed < 0 || elapsed/rollingPeriod >= placementTargets {
		return
	}
	old := p.servers[elapsed/rollingPeriod]
	switch elapsed % rollingPeriod {
	case 0:
		old.draining = true
		p.addServer(p.step)
	case rollingNotice:
		p.unassignShards(old.id, lossUnavailableS)
	}
}

// unassignShards removes the owner of all shards of a server that is lost or has ended, and
// adds the given unavailable time for each.
func (p *placementRun) unassignShards(id model.ServerID, seconds float64) {
	for i := range p.shards {
		if p.shards[i].Owner == id {
			p.shards[i].Owner = ""
			p.unavailableS += seconds
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

// updateReportedLoads updates the smoothed load of each shard with a noisy report.
func (p *placementRun) updateReportedLoads() {
	for i := range p.shards {
		reported := p.load[i] * (1 + reportNoise*p.reports.NormFloat64())
		p.shards[i].Load += loadSmoothing * (max(0, reported) - p.shards[i].Load)
	}
}

// weightOf returns a server's weight: 0 if it is draining or lost, rising to 1 after its start.
func (p *placementRun) weightOf(server *simulatedServer) float64 {
	if server.draining || server.lost {
		return 0
	}
	return min(1, float64(p.step-server.started+1)/slowStartPeriods)
}

// decide runs the strategy and applies its moves.
func (p *placementRun) decide() {
	in := placement.Input{Pool: "measured", Shards: p.shards, Weights: p.weights, MoveBudget: p.strategy.budget}
	for _, server := range p.servers {
		if !server.lost {
			in.Servers = append(in.Servers, placement.Server{ID: server.id, Weight: p.weightOf(server)})
		}
	}
	start := time.Now()
	moves := p.strategy.decide(in)
	p.slowestDecision = max(p.slowestDecision, time.Since(start))
	draining := map[model.ServerID]bool{}
	for _, server := range p.servers {
		draining[server.id] = server.draining
	}
	for _, move := range moves {
		p.shards[move.Shard].Owner = move.To
		if move.From == "" {
			continue
		}
		p.moves++
		p.unavailableS += moveUnavailableS
		if draining[move.From] {
			p.forced++
			p.moves--
		}
	}
}

// measure records this period's imbalance: how far the highest load per weight of a server
// exceeds the even one, as a share, by true loads.
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
	unavailable := p.unavailableS / float64(len(p.shards)) / (minutes / 60)
	churn := moves / float64(len(p.shards))
	cost := p.weights.Imbalance*mean + p.weights.Churn*churn + p.weights.Unavailable*unavailable
	t.add(p.strategy.name, mean, p99, moves, float64(p.forced)/minutes, unavailable, p.slowestDecision, math.Round(cost*1000)/1000)
}
