package backends

import (
	"math/rand/v2"
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Criteria is what matters for the choice of a server.
type Criteria struct {
	Service model.PoolName
	// Tried are the servers that the request was sent to already.
	Tried []model.ServerID
	// Bytes is the size of the request's body and of a usual answer.
	Bytes int
	// LatencyObjective is the time within which the answer is wanted.
	LatencyObjective time.Duration
}

const (
	largeTransferBytes = 2 << 10 // bytes; from this size on bodies stay in their zone while a server there is in time
	goalDivisor        = 2       // in time means within one part in so many of the goal
	failurePenalty     = 4.0     // factor by which a server that fails every attempt looks slower
	remotePenalty      = 1.15    // factor by which a server of another zone looks slower
	sampleSize         = 3       // servers that are compared for one request
)

// choose takes the server with the least expected delay among a few random ones,
// drawn by speed. Servers that were passed over come last; a server of the own
// zone is preferred while that costs little.
func choose(candidates []candidate, zone model.Zone, criteria *Criteria) *catalog.Server {
	usable := withoutEjected(candidates)
	if len(usable) == 0 {
		return nil
	}
	if local := localWithinGoal(usable, zone, criteria.LatencyObjective); criteria.Bytes >= largeTransferBytes && len(local) > 0 {
		usable = local
	}
	var best *catalog.Server
	var leastCost float64
	for _, i := range sample(usable) {
		cost := usable[i].cost(zone)
		if best == nil || cost < leastCost {
			best, leastCost = usable[i].server, cost
		}
	}
	return best
}

func withoutEjected(candidates []candidate) []candidate {
	usable := make([]candidate, 0, len(candidates))
	for _, c := range candidates {
		if !c.ejected {
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return candidates
	}
	return usable
}

// localWithinGoal returns the servers of the zone that are expected to answer in good time.
func localWithinGoal(candidates []candidate, zone model.Zone, goal time.Duration) []candidate {
	var local []candidate
	for _, c := range candidates {
		if c.server.Zone == zone && !c.ejected && (goal == 0 || c.delay() < goal/goalDivisor) {
			local = append(local, c)
		}
	}
	return local
}

// sample returns the positions of a few servers; faster ones are drawn more often.
func sample(candidates []candidate) []int {
	total := 0.0
	for _, c := range candidates {
		total += c.throughput()
	}
	sampled := make([]int, 0, sampleSize)
	for range min(sampleSize, len(candidates)) {
		point := rand.Float64() * total
		last := len(candidates) - 1
		for i, c := range candidates {
			point -= c.throughput()
			if point <= 0 {
				last = i
				break
			}
		}
		sampled = append(sampled, last)
	}
	return sampled
}

// throughput is the number of requests that the server can run in a second.
func (c candidate) throughput() float64 {
	return float64(c.server.Slots) / max(c.serviceTime, time.Millisecond).Seconds()
}

func (c candidate) cost(zone model.Zone) float64 {
	cost := c.delay().Seconds() * (1 + failurePenalty*c.failureRate)
	if c.server.Zone != zone {
		cost *= remotePenalty
	}
	return cost
}
