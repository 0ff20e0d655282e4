package experiment

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// Parameters of the path experiment.
const (
	pathDaemons  = 4                   // default number of daemons
	pathDuration = 4 * time.Second     // of one phase
	pathTimeout  = 5 * time.Second     // time limit of one request
	pathKeys     = 10_000              // number of keys that are requested
	pathWarmUp   = time.Second         // load before the measured phases, whose results are dropped
	pathRoute    = "/experiment/path/" // path of the requests, followed by the key
	pathSlots    = 64                  // of each server; enough that bursts don't wait for a slot
)

// pathRates are the offered loads in requests per second.
var pathRates = []float64{500, 1000, 2000, 4000, 6000, 8000, 12000}

// phaseResult holds the results of one load phase: the latencies of the served requests, the
// number of failed ones, and the processor time of the whole process.
type phaseResult struct {
	latencies *latencies
	failed    atomic.Int64
	processor time.Duration
}

// processorPerRequest returns the processor time per served request.
func (p *phaseResult) processorPerRequest() time.Duration {
	return p.processor / time.Duration(max(1, p.latencies.count()))
}

// runPath sends the same load to the simulated servers directly and through one entry and
// the dispatchers. The client and the servers use the same processor time in both cases, so
// the difference is the processor time of the entry and the dispatchers.
func runPath(ctx context.Context, o Options, r *Report) error {
	d, err := loadDeployment(o.Deployment)
	if err != nil {
		return err
	}
	d.addRoute(&settings.Route{
		Name: "experiment-path", Methods: []string{"GET"}, Path: pathRoute + "{key}", Rank: d.tree.Fleet.Ranks[0].Name,
	})
	d.keyedTeam().Pools[d.keyed].Slots = pathSlots
	options, err := d.fleetOptions(0)
	if err != nil {
		return err
	}
	options.ZoneDelay = 0
	options.UnlimitedSlots = true
	options.DiscardRuns = true
	f, err := fleet.Start(options)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	before := memoryInUse()
	count := o.daemonsOr(pathDaemons)
	if err := startDaemons(ctx, f, count); err != nil {
		return err
	}
	perDaemon := (memoryInUse() - before) / float64(count)
	r.note("memory at rest: %s MB of heap and stacks for each of %d daemons, %d servers", formatFloat(perDaemon/megabyte), count, len(f.Servers))
	return measurePath(ctx, o, r, f, d)
}

func microseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Microsecond))
}

// startDaemons adds daemons and waits until all are ready.
func startDaemons(ctx context.Context, f *fleet.Fleet, count int) error {
	for range count {
		if _, err := f.AddDaemon(); err != nil {
			return err
		}
	}
	return waitReady(ctx, f)
}

const readyTimeout = 90 * time.Second // for all daemons of a fleet to become ready

func waitReady(ctx context.Context, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return f.WaitReady(ctx)
}

func measurePath(ctx context.Context, o Options, r *Report, f *fleet.Fleet, d *deployment) error {
	var direct []string
	for _, server := range f.Servers {
		if server.Pool() == d.keyed {
			direct = append(direct, server.Address())
		}
	}
	routed := []string{f.Nodes[0].CallerAddress()}
	duration := o.durationOr(pathDuration)
	_ = runPathPhase(ctx, arrivals{rate: pathRates[0], duration: pathWarmUp, seed: o.Seed}, direct)
	_ = runPathPhase(ctx, arrivals{rate: pathRates[0], duration: pathWarmUp, seed: o.Seed}, routed)
	t := r.table("Direct call against one entry and the dispatchers, answers of 200 bytes at most",
		"offered/s", "direct p50", "direct p99", "routed p50", "routed p99", "added p50", "added p99",
		"direct CPU us/request", "added CPU us/request", "requests/s per core", "failed")
	line := Line{Name: "added p99"}
	for _, rate := range pathRates {
		o.progress("path at %.0f requests a second", rate)
		load := arrivals{rate: rate, duration: duration, seed: o.Seed}
		directResult := runPathPhase(ctx, load, direct)
		routedResult := runPathPhase(ctx, load, routed)
		added := routedResult.processorPerRequest() - directResult.processorPerRequest()
		p50 := routedResult.latencies.quantile(50) - directResult.latencies.quantile(50)
		p99 := routedResult.latencies.quantile(99) - directResult.latencies.quantile(99)
		t.add(rate, directResult.latencies.quantile(50), directResult.latencies.quantile(99),
			routedResult.latencies.quantile(50), routedResult.latencies.quantile(99), p50, p99,
			microseconds(directResult.processorPerRequest()), microseconds(added), float64(time.Second)/float64(max(1, added)),
			directResult.failed.Load()+routedResult.failed.Load())
		line.X = append(line.X, rate)
		line.Y = append(line.Y, float64(p99)/float64(time.Millisecond))
	}
	r.Figure = &Figure{Title: "Added latency of entry and dispatcher", X: "requests a second", Y: "ms", Series: []Line{line}}
	r.note("refusals: %s; retries: %s", counterSums(f, "refusals"), counterSums(f, "retries"))
	r.note("processor time is that of the whole process, routed minus direct: entry plus dispatcher, their part of garbage collection included")
	r.note("servers have %d slots and the direct call no limit, so that queues for slots are no part of the added latency", pathSlots)
	r.note("no delay between zones is emulated; all runs in one process, and other work on the machine adds to the latencies")
	return ctx.Err()
}

// runPathPhase sends the load to the addresses in turn and returns the results.
func runPathPhase(ctx context.Context, load arrivals, addresses []string) *phaseResult {
	p := &phaseResult{latencies: newLatencies()}
	c := newCaller(pathTimeout)
	start := processorTime()
	load.run(ctx, func(number int, intended time.Time) {
		path := fmt.Sprintf("%sk%d", pathRoute, number%pathKeys)
		if !c.get(addresses[number%len(addresses)], path).ok {
			p.failed.Add(1)
			return
		}
		p.latencies.add(time.Since(intended))
	})
	p.processor = processorTime() - start
	c.client.CloseIdleConnections()
	return p
}
