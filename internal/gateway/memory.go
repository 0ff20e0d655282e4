package gateway

import (
	"fmt"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/bytebudget"
	"github.com/chicorylug/chicorylug/internal/connlimit"
	"github.com/chicorylug/chicorylug/internal/metrics"
)

// closeConnection closes the caller's connection that is needed least, when the process has
// no descriptor left.
func (g *Gateway) closeConnection() { g.connections.CloseOne() }

// pressure is what a lack of memory or descriptors has ended so far.
type pressure struct {
	headless, idle, stalled, new, gaveWay int64
}

func (g *Gateway) pressure() pressure {
	closed := g.connections.Closed()
	return pressure{
		headless: closed.Headless.Load(), idle: closed.Idle.Load(), stalled: closed.Stalled.Load(), new: closed.New.Load(),
		gaveWay: g.memory.GaveWay(),
	}
}

// logPressure logs what has ended since an earlier time, if anything, and returns the
// current state.
func (g *Gateway) logPressure(before pressure) pressure {
	now := g.pressure()
	if now == before {
		return now
	}
	g.log.Warn("memory or descriptors are short, callers gave way",
		zap.Int64("closed_without_head", now.headless-before.headless), zap.Int64("closed_idle", now.idle-before.idle),
		zap.Int64("closed_stalled", now.stalled-before.stalled), zap.Int64("closed_new", now.new-before.new),
		zap.Int64("gave_way", now.gaveWay-before.gaveWay), zap.Int("connections", g.connections.Open()),
		zap.Int64("held", g.memory.Used()), zap.Int64("limit", g.memory.Limit()))
	return now
}

// registerHeld registers the gauges of what is held for callers.
func registerHeld(registry *metrics.Registry, memory *bytebudget.Budget, connections *connlimit.Limiter) {
	for _, kind := range bytebudget.Kinds() {
		registry.Gauge(fmt.Sprintf(`held_bytes{kind=%q}`, kind), func() float64 { return float64(memory.UsedBy(kind)) })
	}
	registry.Gauge(`held_bytes_limit`, func() float64 { return float64(memory.Limit()) })
	registry.Gauge(`held_gave_way_total`, func() float64 { return float64(memory.GaveWay()) })
	registry.Gauge(`caller_connections`, func() float64 { return float64(connections.Open()) })
	registry.Gauge(`caller_connections_limit`, func() float64 { return float64(connections.Limit()) })
	closed := connections.Closed()
	for _, c := range []struct {
		reason string
		count  *atomic.Int64
	}{{"no_head", &closed.Headless}, {"idle", &closed.Idle}, {"stalled", &closed.Stalled}, {"no_room", &closed.New}} {
		registry.Gauge(fmt.Sprintf(`caller_connections_closed_total{reason=%q}`, c.reason), func() float64 { return float64(c.count.Load()) })
	}
}
