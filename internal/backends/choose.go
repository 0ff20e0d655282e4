package backends

import (
	"math/rand/v2"
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Criteria are the properties of a request that determine the choice of a server.
type Criteria struct {
	Service model.PoolName
	// Tried are the servers that the request has already been sent to.
	Tried []model.ServerID
	// Bytes is the size of the request's body. Choose adds the average size of a response.
	Bytes int
	// LatencyObjective is the time within which the response is wanted; zero if there is none.
	LatencyObjective time.Duration
}

const (
	largeTransferBytes = 2 << 10 // from this many bytes of bodies on, a request stays in the zone while a server there is in time
	objectiveDivisor   = 2       // a server is in time if its expected delay is below 1/objectiveDivisor of the latency objective
	failurePenalty     = 4.0     // added to the cost factor of a server that fails every attempt
	remotePenalty      = 1.15    // cost factor of a server in another zone
	sampleSize         = 3       // servers sampled and compared per request
)

// choose returns the server with the lowest cost among sampleSize random candidates,
// sampled in proportion to throughput. The cost is the expected delay, increased by
// failures and for other zones. Ejected servers are used only if all are ejected.
// Large transfers stay in the zone while a server there is in time.
func choose(candidates []candidate, zone model.Zone, criteria *Criteria) *catalog.Server {
	usable := withoutEjected(candidates)
	if len(usable) == 0 {
		return nil
	}
	if local := localWithinObjective(usable, zone, criteria.LatencyObjective); criteria.Bytes >= largeTransferBytes && len(local) > 0 {
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

// withoutEjected returns the candidates that are not ejected, or all if all are.
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

// localWithinObjective returns the servers of the zone whose expected delay is below
// 1/objectiveDivisor of the latency objective.
func localWithinObjective(candidates []candidate, zone model.Zone, objective time.Duration) []candidate {
	var local []candidate
	for _, c := range candidates {
		if c.server.Zone == zone && !c.ejected && (objective == 0 || c.delay() < objective/objectiveDivisor) {
			local = append(local, c)
		}
	}
	return local
}

// sample returns the indices of sampleSize random candidates, with replacement. The
// probability of a candidate is proportional to its throughput.
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

// throughput returns the number of requests per second that the server can run.
func (c candidate) throughput() float64 {
	return float64(c.server.Slots) / max(c.serviceTime, time.Millisecond).Seconds()
}

// cost returns the expected delay in seconds, increased by failures and for a server
// in another zone.
func (c candidate) cost(zone model.Zone) float64 {
	cost := c.delay().Seconds() * (1 + failurePenalty*c.failureRate)
	if c.server.Zone != zone {
		cost *= remotePenalty
	}
	return cost
}
