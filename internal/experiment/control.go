package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// Parameters of the control experiment.
const (
	controlDuration    = 8 * time.Second // of the observation at each point
	controlSettleTime  = 4 * time.Second // between the start of the daemons and the observation
	controlDaemons     = 14              // default number of daemons, where a sweep does not vary it
	controlShards      = 128             // shards of the keyed pool unless they are varied
	daemonsToday       = 28              // in one deployment
	serversToday       = 41              // in all pools of one deployment
	previousFleetPause = time.Second     // lets the previous fleet finish before memory is measured
)

// controlSize is one point of the measurement: the size of the fleet and the rate of
// settings changes.
type controlSize struct {
	daemons int
	servers int // of the keyed pool, which is the only pool
	shards  int
	changes float64 // settings changes a second
}

func (s controlSize) String() string {
	return fmt.Sprintf("%d daemons, %d servers, %d shards, %.1f changes/s", s.daemons, s.servers, s.shards, s.changes)
}

// controlCost is the cost of the control plane at one size, without any requests.
type controlCost struct {
	processor float64 // percent of a core per daemon
	memory    float64 // MB per daemon
	bytes     float64 // control bytes per second and daemon, in and out
	busiest   float64 // control bytes per second of the daemon with the most
	messages  float64 // control messages per second and daemon, in and out
	reads     float64 // store reads per second of the whole fleet, reads of the instance list included
	writes    float64 // store writes per second of the whole fleet
}

// sweep is a series of sizes that differ in one quantity. value returns that quantity.
type sweep struct {
	name  string
	sizes []controlSize
	value func(controlSize) float64
}

// scaleDaemons sets the number of daemons and scales the number of servers with it, in
// the ratio of serversToday to daemonsToday.
func scaleDaemons(daemons int) func(*controlSize) {
	return func(s *controlSize) {
		s.daemons = daemons
		s.servers = daemons * serversToday / daemonsToday
	}
}

func controlSweeps(daemons int) []sweep {
	base := controlSize{daemons: daemons, servers: 15, shards: controlShards}
	vary := func(name string, value func(controlSize) float64, changes ...func(*controlSize)) sweep {
		s := sweep{name: name, value: value}
		for _, change := range changes {
			size := base
			change(&size)
			s.sizes = append(s.sizes, size)
		}
		return s
	}
	return []sweep{
		vary("daemon with its servers", func(s controlSize) float64 { return float64(s.daemons) },
			scaleDaemons(7), scaleDaemons(14), scaleDaemons(28), scaleDaemons(56), scaleDaemons(112)),
		vary("daemon", func(s controlSize) float64 { return float64(s.daemons) },
			func(s *controlSize) { s.daemons = daemons / 2 }, func(*controlSize) {},
			func(s *controlSize) { s.daemons = 2 * daemons }, func(s *controlSize) { s.daemons = 4 * daemons }),
		vary("server", func(s controlSize) float64 { return float64(s.servers) },
			func(*controlSize) {}, func(s *controlSize) { s.servers = 30 }, func(s *controlSize) { s.servers = 60 }),
		vary("shard", func(s controlSize) float64 { return float64(s.shards) },
			func(*controlSize) {}, func(s *controlSize) { s.shards = 512 }, func(s *controlSize) { s.shards = 2048 }),
		vary("settings change a second", func(s controlSize) float64 { return s.changes },
			func(*controlSize) {}, func(s *controlSize) { s.changes = 0.5 }, func(s *controlSize) { s.changes = 2 }),
	}
}

// runControl measures the cost of the control plane per daemon as the fleet grows, without
// requests, and fits a line to each cost over each varied quantity.
func runControl(ctx context.Context, o Options, r *Report) error {
	points := r.table("Control without requests", "daemons", "servers", "shards", "changes/s",
		"CPU % of a core/daemon", "MB/daemon", "bytes/s/daemon", "bytes/s busiest", "messages/s/daemon", "store reads/s fleet", "store writes/s fleet")
	slopes := r.table("Fitted slopes", "per", "quantity", "at zero", "slope", "R2")
	measuredCosts := map[controlSize]controlCost{}
	for _, s := range controlSweeps(o.daemonsOr(controlDaemons)) {
		var x []float64
		var costs []controlCost
		for _, size := range s.sizes {
			cost, measured := measuredCosts[size]
			if !measured {
				o.progress("control at %s", size)
				var err error
				if cost, err = measureControl(ctx, o, size); err != nil {
					return err
				}
				measuredCosts[size] = cost
				points.add(size.daemons, size.servers, size.shards, size.changes,
					cost.processor, cost.memory, cost.bytes, cost.busiest, cost.messages, cost.reads, cost.writes)
			}
			x = append(x, s.value(size))
			costs = append(costs, cost)
		}
		addSlopes(r, slopes, s.name, x, costs)
	}
	r.note("processor time is that of the whole process: the daemons, idle stand-in servers and the stand-in platform, divided by the daemons")
	return ctx.Err()
}

// addSlopes fits a line to each cost over the varied quantity x and adds the lines to a table.
func addSlopes(r *Report, t *Table, name string, x []float64, costs []controlCost) {
	quantities := []struct {
		name string
		of   func(controlCost) float64
	}{
		{"CPU % of a core/daemon", func(c controlCost) float64 { return c.processor }},
		{"MB/daemon", func(c controlCost) float64 { return c.memory }},
		{"bytes/s/daemon", func(c controlCost) float64 { return c.bytes }},
		{"bytes/s busiest daemon", func(c controlCost) float64 { return c.busiest }},
		{"messages/s/daemon", func(c controlCost) float64 { return c.messages }},
		{"store reads/s fleet", func(c controlCost) float64 { return c.reads }},
		{"store writes/s fleet", func(c controlCost) float64 { return c.writes }},
	}
	for _, quantity := range quantities {
		y := make([]float64, len(costs))
		for i, cost := range costs {
			y[i] = quantity.of(cost)
		}
		line := fit(x, y)
		t.add(name, quantity.name, line.intercept, line.perUnit, line.r2)
		if r.Figure == nil && quantity.name == "bytes/s/daemon" {
			r.Figure = &Figure{Title: "Control bytes of one daemon", X: "daemons, each with its servers", Y: "bytes/s", Series: []Line{{Name: "measured", X: x, Y: y}}}
		}
	}
}

// measureControl starts a fleet of one size, measures its cost and stops it.
func measureControl(ctx context.Context, o Options, size controlSize) (controlCost, error) {
	d, err := loadDeployment(o.Deployment)
	if err != nil {
		return controlCost{}, err
	}
	d.keepOnlyKeyedPool(0)
	d.servers[0].Count = size.servers
	d.keyedTeam().Pools[d.keyed].Shards = size.shards
	options, err := d.fleetOptions(0)
	if err != nil {
		return controlCost{}, err
	}
	f, err := fleet.Start(options)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return controlCost{}, err
	}
	sleep(ctx, previousFleetPause)
	before := memoryInUse()
	if err := startDaemons(ctx, f, size.daemons); err != nil {
		return controlCost{}, err
	}
	sleep(ctx, controlSettleTime)
	cost, err := observeControl(ctx, f, d, size, o.durationOr(controlDuration))
	cost.memory = (memoryInUse() - before) / megabyte / float64(size.daemons)
	return cost, err
}

// observeControl measures all costs but memory over a duration, in which it makes the
// settings changes of the size.
func observeControl(ctx context.Context, f *fleet.Fleet, d *deployment, size controlSize, duration time.Duration) (controlCost, error) {
	traffic := controlTraffic(f)
	counts, processor, start := f.Platform.Counts(), processorTime(), time.Now()
	if err := changeAtRate(ctx, f, d, size.changes, duration); err != nil {
		return controlCost{}, err
	}
	seconds := time.Since(start).Seconds()
	daemons := float64(size.daemons)
	after := f.Platform.Counts()
	used := (processorTime() - processor).Seconds()
	bytes, busiest, messages := 0.0, 0.0, 0.0
	for i, now := range controlTraffic(f) {
		delta := float64(now.bytes - traffic[i].bytes)
		bytes += delta
		busiest = max(busiest, delta)
		messages += float64(now.messages - traffic[i].messages)
	}
	return controlCost{
		processor: 100 * used / seconds / daemons,
		bytes:     bytes / seconds / daemons,
		busiest:   busiest / seconds,
		messages:  messages / seconds / daemons,
		reads:     float64(after.Reads+after.ListReads-counts.Reads-counts.ListReads) / seconds,
		writes:    float64(after.Writes-counts.Writes) / seconds,
	}, nil
}

// daemonTraffic holds one daemon's counters of control traffic, in and out.
type daemonTraffic struct {
	bytes, messages int64
}

// controlTraffic reads the traffic counters of each daemon.
func controlTraffic(f *fleet.Fleet) []daemonTraffic {
	traffic := make([]daemonTraffic, len(f.Nodes))
	for i, node := range f.Nodes {
		_ = node.Daemon.Invoke(func(m *metrics.Registry) {
			traffic[i].bytes = m.Int("control_bytes_in").Value() + m.Int("control_bytes_out").Value()
			traffic[i].messages = m.Int("control_messages_in").Value() + m.Int("control_messages_out").Value()
		})
	}
	return traffic
}

// changeAtRate makes settings changes at a rate, in changes per second, for the given
// duration. With a rate of zero it only waits.
func changeAtRate(ctx context.Context, f *fleet.Fleet, d *deployment, rate float64, duration time.Duration) error {
	end := time.Now().Add(duration)
	if rate == 0 {
		sleep(ctx, duration)
		return nil
	}
	period := time.Duration(float64(time.Second) / rate)
	team, name := d.keyedTeam(), d.keyedTeamName()
	pool := team.Pools[d.keyed]
	for change := 0; time.Now().Before(end) && ctx.Err() == nil; change++ {
		next := time.Now().Add(period)
		pool.QueuePerRank = settings.DefaultQueuePerRank + change + 1
		if _, err := acceptSettings(ctx, f.Nodes[0], name, team); err != nil {
			return err
		}
		sleep(ctx, time.Until(next))
	}
	return nil
}
