package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// Parameters of the flood experiment.
const (
	floodDaemons   = 28                  // default number of daemons
	floodDuration  = 8 * time.Second     // of one phase
	floodServiceMS = 50.0                // service time of a request, in milliseconds
	floodFactor    = 10.0                // offered load of the flooding rank, as a multiple of the capacity
	floodKeys      = 5000                // number of keys that are requested
	floodTimeout   = 3 * time.Second     // longest deadline of a request
	floodRoute     = "/experiment/flood" // path of the requests, followed by rank and key
)

// floodShares are the offered loads of the ranks outside a flood, as shares of the capacity.
var floodShares = []float64{0.25, 0.25, 0.15}

// floodRun holds what the measurements of both systems have in common.
type floodRun struct {
	options  Options
	fleet    *fleet.Fleet
	ranks    []settings.RankSettings
	capacity float64 // requests per second
	slots    int     // of all servers together
	duration time.Duration
}

// floodPhase is one phase of the load. floodedRank is the rank that exceeds the capacity, or
// -1 for none.
type floodPhase struct {
	name        string
	floodedRank int
}

// rankResult holds the results of one rank in one phase.
type rankResult struct {
	offered   atomic.Int64
	served    atomic.Int64 // answered before the phase ended
	inTarget  atomic.Int64 // answered within the rank's target latency
	latencies *latencies
}

// send sends one request of a rank for a key, waits for the answer and reports whether the
// request was served.
type send func(ctx context.Context, number, rank int, key model.Key) bool

// runFlood measures the service of each rank while one rank's load exceeds the capacity. It
// gives the same load to the dispatchers' queues and to the baseline, in which entries send
// directly under local limits.
func runFlood(ctx context.Context, o Options, r *Report) error {
	d, err := loadDeployment(o.Deployment)
	if err != nil {
		return err
	}
	f, run, err := startFlood(ctx, o, d)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	if err := run.measure(ctx, r, "dispatcher queues", run.routed()); err != nil {
		return err
	}
	direct, err := run.direct(d)
	if err != nil {
		return err
	}
	r.note("capacity %.0f requests a second: %d slots, %.0f ms a request; a flood offers %.0f times that; no delay between zones", run.capacity, run.slots, floodServiceMS, floodFactor)
	r.note("kept is the rank's share of all slots in percent; goodput counts answers within the rank's target and a deadline of at most %s", floodTimeout)
	return run.measure(ctx, r, "baseline: entries send directly, local limit of 1 per server", direct)
}

// startFlood starts the fleet, which the measurements of both systems use, and waits until
// it is ready. It adds one route for each rank.
func startFlood(ctx context.Context, o Options, d *deployment) (*fleet.Fleet, *floodRun, error) {
	for rank, described := range d.tree.Fleet.Ranks {
		d.addRoute(&settings.Route{
			Name: model.RouteName(fmt.Sprintf("experiment-flood-%d", rank)), Methods: []string{"GET"},
			Path: fmt.Sprintf("%s/%d/{key}", floodRoute, rank), Rank: described.Name,
			TimeoutMS: int(deadlineOf(described).Milliseconds()),
		})
	}
	pool, err := d.keyedPool()
	if err != nil {
		return nil, nil, err
	}
	d.keepOnlyKeyedPool(floodServiceMS)
	options, err := d.fleetOptions(o.daemonsOr(floodDaemons))
	if err != nil {
		return nil, nil, err
	}
	options.ZoneDelay = 0
	options.DiscardRuns = true
	o.progress("starting %d daemons", options.Daemons)
	f, err := fleet.Start(options)
	if err != nil {
		return f, nil, err
	}
	slots := d.servers[0].Count * pool.Slots
	run := &floodRun{
		options:  o,
		fleet:    f,
		ranks:    d.tree.Fleet.Ranks,
		slots:    slots,
		capacity: float64(slots) / (floodServiceMS / 1000),
		duration: o.durationOr(floodDuration),
	}
	return f, run, waitReady(ctx, f)
}

// deadlineOf returns the time from its scheduled start in which a request of a rank must be
// answered.
func deadlineOf(rank settings.RankSettings) time.Duration {
	const targets = 5 // deadline as a multiple of the target latency
	return min(floodTimeout, targets*time.Duration(rank.TargetMS)*time.Millisecond)
}

// routed returns a send function that calls the entries of the daemons in turn.
func (f *floodRun) routed() send {
	c := newCaller(2 * floodTimeout)
	return func(_ context.Context, number, rank int, key model.Key) bool {
		node := f.fleet.Nodes[number%len(f.fleet.Nodes)]
		return c.get(node.CallerAddress(), fmt.Sprintf("%s/%d/%s", floodRoute, rank, key)).ok
	}
}

// direct returns a send function of the baseline, with as many direct entries as daemons.
func (f *floodRun) direct(d *deployment) (send, error) {
	owners, err := ownersOf(f.fleet, d)
	if err != nil {
		return nil, err
	}
	floors := make([]float64, len(f.ranks))
	for i, rank := range f.ranks {
		floors[i] = float64(rank.FloorPercent) / 100
	}
	pool, err := d.keyedPool()
	if err != nil {
		return nil, err
	}
	entries := make([]*directEntry, len(f.fleet.Nodes))
	for i := range entries {
		entries[i] = newDirectEntry(newCaller(2*floodTimeout), floors, 1, pool.QueuePerRank)
	}
	return func(ctx context.Context, number, rank int, key model.Key) bool {
		path := fmt.Sprintf("%s/%d/%s", floodRoute, rank, key)
		return entries[number%len(entries)].get(ctx, owners.of(key), path, rank).ok
	}, nil
}

// ownersOf returns the owners of the keyed pool's shards by the first daemon's copy of the
// assignment.
func ownersOf(f *fleet.Fleet, d *deployment) (*ownerAddresses, error) {
	owners := &ownerAddresses{}
	err := f.Nodes[0].Daemon.Invoke(func(dir *directory.Directory) {
		assignment := dir.Load().Pools[d.keyed]
		owners.shardOf = assignment.ShardOf
		for _, shard := range assignment.Shards {
			owners.addresses = append(owners.addresses, assignment.Server(shard.Server).Address)
		}
	})
	return owners, errors.Wrap(err, "read assignment")
}

// measure runs all phases with the requests sent by do and adds a table of the results.
func (f *floodRun) measure(ctx context.Context, r *Report, system string, do send) error {
	last := len(f.ranks) - 1
	phases := []floodPhase{
		{"before", -1},
		{"flood of " + string(f.ranks[last].Name), last},
		{"between", -1},
		{"flood of " + string(f.ranks[0].Name), 0},
		{"after", -1},
	}
	defer f.noteServers(r, system)
	t := r.table(system, "phase", "rank", "offered/s", "served/s", "kept %", "floor %", "within target %", "p50", "p99")
	for _, phase := range phases {
		f.options.progress("%s: %s", system, phase.name)
		results := f.run(ctx, phase, do)
		for rank, result := range results {
			f.addRow(t, phase, rank, result)
		}
	}
	return ctx.Err()
}

func (f *floodRun) run(ctx context.Context, phase floodPhase, do send) []*rankResult {
	results := make([]*rankResult, len(f.ranks))
	var all sync.WaitGroup
	for rank := range f.ranks {
		results[rank] = &rankResult{latencies: newLatencies()}
		rate := f.capacity * floodShares[rank]
		if rank == phase.floodedRank {
			rate = f.capacity * floodFactor
		}
		all.Add(1)
		go func() {
			defer all.Done()
			f.runRank(ctx, rank, rate, results[rank], do)
		}()
	}
	all.Wait()
	return results
}

func (f *floodRun) runRank(ctx context.Context, rank int, rate float64, result *rankResult, do send) {
	deadline := deadlineOf(f.ranks[rank])
	target := time.Duration(f.ranks[rank].TargetMS) * time.Millisecond
	load := arrivals{rate: rate, duration: f.duration, seed: f.options.Seed + uint64(rank)}
	end := time.Now().Add(f.duration)
	load.run(ctx, func(number int, intended time.Time) {
		result.offered.Add(1)
		key := model.Key(fmt.Sprintf("k%d", rand.New(rand.NewPCG(load.seed, uint64(number))).IntN(floodKeys)))
		bounded, cancel := context.WithDeadline(ctx, intended.Add(deadline))
		defer cancel()
		if !do(bounded, number, rank, key) {
			return
		}
		latency := time.Since(intended)
		result.latencies.add(latency)
		if time.Now().Before(end) {
			result.served.Add(1)
		}
		if latency <= target {
			result.inTarget.Add(1)
		}
	})
}

func (f *floodRun) addRow(t *Table, phase floodPhase, rank int, result *rankResult) {
	seconds := f.duration.Seconds()
	served := float64(result.served.Load()) / seconds
	offered := float64(result.offered.Load())
	t.add(phase.name, f.ranks[rank].Name, offered/seconds, served,
		100*served/f.capacity, f.ranks[rank].FloorPercent, 100*float64(result.inTarget.Load())/max(1, offered),
		result.latencies.quantile(50), result.latencies.quantile(99))
}

// noteServers adds a note with the counters of the servers and daemons so far.
func (f *floodRun) noteServers(r *Report, system string) {
	inUse, refused := 0, 0
	for _, server := range f.fleet.Servers {
		stats := server.Stats()
		inUse += stats.InUse
		refused += stats.Refused
	}
	r.note("after %s: %d slots still in use, %d requests shed by servers; refusals by daemons: %s; retries: %s",
		system, inUse, refused, counterSums(f.fleet, "refusals"), counterSums(f.fleet, "retries"))
}
