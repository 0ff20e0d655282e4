package backends

import (
	"math/rand/v2"
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Wanted is what matters for the choice of a server.
type Wanted struct {
	Service model.PoolName
	// Tried are the servers that the request was sent to already.
	Tried []model.ServerID
	// Bytes is the size of the request's body and of a usual answer.
	Bytes int
	// Goal is the time within which the answer is wanted.
	Goal time.Duration
}

const (
	largeBody      = 2 << 10 // bytes; from this size on bodies stay in their zone while a server there is in time
	goalShare      = 2       // in time means within one part in so many of the goal
	failurePenalty = 4.0     // factor by which a server that fails every attempt looks slower
	remotePenalty  = 1.15    // factor by which a server of another zone looks slower
	choices        = 3       // servers that are compared for one request
)

// choose takes the server with the least expected delay among a few random ones,
// drawn by speed. Servers that were passed over come last; a server of the own
// zone is preferred while that costs little.
func choose(views []view, zone model.Zone, w *Wanted) *catalog.Server {
	usable := withoutAvoided(views)
	if len(usable) == 0 {
		return nil
	}
	if near := inTime(usable, zone, w.Goal); w.Bytes >= largeBody && len(near) > 0 {
		usable = near
	}
	var best *catalog.Server
	var least float64
	for _, i := range draw(usable) {
		cost := usable[i].cost(zone)
		if best == nil || cost < least {
			best, least = usable[i].server, cost
		}
	}
	return best
}

func withoutAvoided(views []view) []view {
	usable := make([]view, 0, len(views))
	for _, v := range views {
		if !v.avoided {
			usable = append(usable, v)
		}
	}
	if len(usable) == 0 {
		return views
	}
	return usable
}

// inTime returns the servers of the zone that are expected to answer in good time.
func inTime(views []view, zone model.Zone, goal time.Duration) []view {
	var near []view
	for _, v := range views {
		if v.server.Zone == zone && !v.avoided && (goal == 0 || v.delay() < goal/goalShare) {
			near = append(near, v)
		}
	}
	return near
}

// draw returns the positions of a few servers; faster ones are drawn more often.
func draw(views []view) []int {
	total := 0.0
	for _, v := range views {
		total += v.speed()
	}
	drawn := make([]int, 0, choices)
	for range min(choices, len(views)) {
		at := rand.Float64() * total
		last := len(views) - 1
		for i, v := range views {
			at -= v.speed()
			if at <= 0 {
				last = i
				break
			}
		}
		drawn = append(drawn, last)
	}
	return drawn
}

// speed is the number of requests that the server can run in a second.
func (v view) speed() float64 {
	return float64(v.server.Slots) / max(v.service, time.Millisecond).Seconds()
}

func (v view) cost(zone model.Zone) float64 {
	cost := v.delay().Seconds() * (1 + failurePenalty*v.failures)
	if v.server.Zone != zone {
		cost *= remotePenalty
	}
	return cost
}
