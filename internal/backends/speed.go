package backends

import (
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/serverspeed"
)

// speedKey returns the key of a server process in the estimates of speeds.
func speedKey(server *catalog.Server) serverspeed.Key {
	return serverspeed.KeyOf(string(server.ID), server.StartedMS)
}

// addSpeedGauges registers gauges of what is known of the servers' speeds.
func (b *Backends) addSpeedGauges(registry *metrics.Registry) {
	registry.Gauge("server_speeds_known", func() float64 {
		known, _ := b.speeds.Spread(time.Now())
		return float64(known)
	})
	registry.Gauge("server_speed_ratio", func() float64 {
		_, ratio := b.speeds.Spread(time.Now())
		return ratio
	})
}

// Speeds returns what this daemon knows of the speeds of servers.
func (b *Backends) Speeds() *serverspeed.Book { return b.speeds }

// candidates returns servers of a service as candidates for a request that a usual server
// needs the given time for.
func (b *Backends) candidates(service model.PoolName, servers []*catalog.Server, usual time.Duration, now time.Time) []candidate {
	candidates := make([]candidate, len(servers))
	for i, server := range servers {
		e := b.endpoint(server)
		candidates[i] = e.state.candidate(server, now)
		candidates[i].key, candidates[i].usual = e.key, usual
	}
	b.speeds.EstimateEach(service, len(candidates), func(i int) (serverspeed.Key, float64, *serverspeed.Estimate) {
		c := &candidates[i]
		return c.key, float64(c.sent) / float64(max(c.server.Slots, 1)), &c.speed
	}, now)
	for i := range candidates {
		if now.Before(candidates[i].server.WarmUpUntil) {
			candidates[i].speed.Moment *= warmUpFactor
		}
	}
	return candidates
}

// slowness returns how long work takes at the server, relative to its service.
func (b *Backends) slowness(e *endpoint, now time.Time) float64 {
	return b.speeds.Estimate(e.server.Service, e.key, 0, now).Factor()
}

// pruneSpeeds forgets the speeds of servers that are gone.
func (b *Backends) pruneSpeeds(known map[model.ServerID]*catalog.Server) {
	keys := make(map[serverspeed.Key]bool, len(known))
	for _, server := range known {
		keys[speedKey(server)] = true
	}
	b.speeds.Retain(keys)
}

// setLoad records the load that a server reported.
func (b *Backends) setLoad(e *endpoint, load dialect.Load, now time.Time) {
	e.state.setLoad(load, now)
	b.speeds.RecordReport(e.server.Service, e.key, reportOf(load, e.server), now)
}

// reportOf returns a load as the estimates of speeds use it.
func reportOf(load dialect.Load, server *catalog.Server) serverspeed.Report {
	return serverspeed.Report{Running: load.Running, Waiting: load.Waiting, Slots: server.Slots, Slowness: load.Slowness}
}

// recordRun adds a run that ended with a response to the estimates, and returns how long it
// would have taken at a usual time, had it been of the service's usual kind. A response that
// reports an error says nothing of how fast the server works: succeeded is false.
func (b *Backends) recordRun(e *endpoint, a *Attempt, r *Result, now time.Time) (even time.Duration, succeeded bool) {
	if r.Response.StatusCode() >= fasthttp.StatusBadRequest {
		return 0, false
	}
	run := &serverspeed.Run{Service: a.Server.Service, Server: e.key, Kind: string(a.Route), Took: r.Took}
	if r.load != nil {
		report := reportOf(*r.load, a.Server)
		run.Report = &report
		if queued(*r.load, a.Server) {
			run.Bound = serverspeed.Queued
		}
	}
	outcome := b.speeds.Record(run, now)
	b.logChange(a, outcome)
	return time.Duration(outcome.Factor * float64(b.stats.averageServiceTime(a.Server.Service))), true
}

// recordNoAnswer adds a run that the server did not end in time.
func (b *Backends) recordNoAnswer(e *endpoint, a *Attempt, r *Result, now time.Time) {
	run := &serverspeed.Run{Service: a.Server.Service, Server: e.key, Kind: string(a.Route), Took: r.Took, Bound: serverspeed.AtLeast}
	b.logChange(a, b.speeds.Record(run, now))
}

// queued reports whether a request has probably waited in the queue of its server, by the
// load that the response reports.
func queued(load dialect.Load, server *catalog.Server) bool {
	return load.Waiting > 0 || load.Running > server.Slots
}

// logChange logs a lasting change of a server's speed.
func (b *Backends) logChange(a *Attempt, o serverspeed.Outcome) {
	if !o.Change {
		return
	}
	b.speedChanges.Inc()
	b.log.Info("server's speed has changed", zap.String("server", string(a.Server.ID)), zap.String("service", string(a.Server.Service)),
		zap.String("request", string(a.ID)), zap.Float64("time_before", o.Before), zap.Float64("time_now", o.After), zap.Float64("samples", o.Samples))
}
