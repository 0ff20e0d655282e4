package backends

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Criteria are the properties of a request that determine the choice of a server.
type Criteria struct {
	Service model.PoolName
	// Route is the route of the request, whose requests take about the same time.
	Route model.RouteName
	// Tried are the servers that the request has already been sent to.
	Tried []model.ServerID
	// AllowedRegions are the regions whose servers may run the request; all may if it is empty.
	AllowedRegions []model.Region
	// Bytes is the size of the request's body. Choose adds the average size of a response.
	Bytes int
	// LatencyObjective is the time within which the response is wanted; zero if there is none.
	LatencyObjective time.Duration
	// Rank of the request; 0 is the most urgent.
	Rank int
	// WithRoom says that full servers are left out.
	WithRoom bool
}

const (
	largeTransferBytes = 2 << 10 // from this many bytes of bodies on, a request stays in the zone while a server there is in time
	objectiveDivisor   = 2       // share of the latency objective that a server in time may need, see localWithinObjective
	failurePenalty     = 4.0     // added to the cost factor of a server that fails every attempt
	remotePenalty      = 1.15    // cost factor of a server in another zone
	unknownCost        = 1.25    // up to this factor of the least cost, an unknown server is chosen if it is drawn first
	sampleSize         = 3       // servers sampled and compared per request
	maxFailingShare    = 0.5     // share of the servers that are left out because they fail
	maxConsidered      = 32      // servers whose state is read for one request, at most

	speedExponent      = 1.1 // of a server's speed in its weight,
	fewSamplesExponent = 6.0 // and added to it for a server without samples
	fewSamples         = 1.0 // with this many, half of it is added
	minRelativeWeight  = 0.1 // of a slow server, relative to a usual one: it needs samples to be found quick again
)

// choose returns the server with the lowest cost among sampleSize different random
// candidates, sampled by weight: each server gets work according to its speed. The cost is the
// pressure on the server, increased by failures and for other zones. The speed is no part of
// the cost: what all daemons know would draw all of them to the same servers. A server that
// no daemon is known to have tried may cost a little more: it would get nothing while the others have
// less pressure than usual. Ejected servers are used only if all are ejected, failing ones if
// more than maxFailingShare of the others fail.
// Large transfers stay in the zone while a server there is in time.
func choose(candidates []candidate, zone model.Zone, criteria *Criteria) *catalog.Server {
	usable := withoutFailing(withoutEjected(candidates))
	if criteria.WithRoom {
		usable = withRoom(usable)
	}
	if len(usable) == 0 {
		return nil
	}
	if criteria.Bytes >= largeTransferBytes {
		if local := localWithinObjective(usable, zone, criteria.LatencyObjective); len(local) > 0 {
			usable = local
		}
	}
	sampled := sample(usable)
	least := math.Inf(1)
	for _, i := range sampled {
		least = min(least, usable[i].cost(zone))
	}
	for _, i := range sampled {
		if cost := usable[i].cost(zone); cost <= least || (usable[i].unknown() && cost <= unknownCost*least) {
			return usable[i].server
		}
	}
	return usable[sampled[0]].server
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

// withoutFailing returns the candidates that are not failing, or all if more than
// maxFailingShare of them are: the others could not take their load.
func withoutFailing(candidates []candidate) []candidate {
	usable := make([]candidate, 0, len(candidates))
	for _, c := range candidates {
		if !c.failing() {
			usable = append(usable, c)
		}
	}
	if float64(len(usable)) < (1-maxFailingShare)*float64(len(candidates)) {
		return candidates
	}
	return usable
}

// withRoom returns the candidates that are not full.
func withRoom(candidates []candidate) []candidate {
	usable := make([]candidate, 0, len(candidates))
	for _, c := range candidates {
		if c.expectedLoad < float64(c.server.Slots) {
			usable = append(usable, c)
		}
	}
	return usable
}

// consider returns the servers among which one is chosen for a request: all, or in a
// large service two random parts of maxConsidered/2, one of the zone and one of all.
// The cost of a choice so does not grow with the service.
func consider(all, local []*catalog.Server) []*catalog.Server {
	if len(all) <= maxConsidered {
		return all
	}
	considered := randomPart(local, maxConsidered/2)
	for _, server := range randomPart(all, maxConsidered/2) {
		if !slices.Contains(considered, server) {
			considered = append(considered, server)
		}
	}
	return considered
}

// randomPart returns count servers that follow each other in the list from a random
// one on, or all if there are no more.
func randomPart(servers []*catalog.Server, count int) []*catalog.Server {
	if len(servers) <= count {
		return slices.Clone(servers)
	}
	part := make([]*catalog.Server, 0, count)
	start := rand.IntN(len(servers))
	for i := range count {
		part = append(part, servers[(start+i)%len(servers)])
	}
	return part
}

// localWithinObjective returns the servers of the zone that are in time: by their pressure a
// usual server would need less than 1/objectiveDivisor of the latency objective, and they need
// less than the objective.
func localWithinObjective(candidates []candidate, zone model.Zone, objective time.Duration) []candidate {
	var local []candidate
	for _, c := range candidates {
		if c.server.Zone == zone && !c.ejected && c.withinObjective(objective) {
			local = append(local, c)
		}
	}
	return local
}

// withinObjective reports whether the server is in time, see localWithinObjective.
func (c candidate) withinObjective(objective time.Duration) bool {
	if objective == 0 {
		return true
	}
	return c.pressure()*c.usual.Seconds() < objective.Seconds()/objectiveDivisor && c.delay() < objective
}

// sample returns the indices of sampleSize different random candidates, or of all if there
// are no more. The probability of a candidate is proportional to its weight.
func sample(candidates []candidate) []int {
	left := make([]int, len(candidates))
	weights := make([]float64, len(candidates))
	for i := range candidates {
		left[i], weights[i] = i, candidates[i].weight()
	}
	sampled := make([]int, 0, sampleSize)
	for range min(sampleSize, len(candidates)) {
		drawn := draw(weights, left)
		sampled = append(sampled, left[drawn])
		left = slices.Delete(left, drawn, drawn+1)
	}
	return sampled
}

// draw returns the position in left of a random candidate, with a probability
// proportional to its weight. left holds at least one index.
func draw(weights []float64, left []int) int {
	total := 0.0
	for _, i := range left {
		total += weights[i]
	}
	point := rand.Float64() * total
	for position, i := range left {
		point -= weights[i]
		if point <= 0 {
			return position
		}
	}
	return len(left) - 1
}

// unknown reports whether neither this daemon has tried the server nor others' figures are known.
func (c candidate) unknown() bool { return c.untried && c.speed.Samples == 0 }

// weight returns the share of the requests that the server is to get. It rises with the number
// of requests per second that the server can run, and faster than it: a slow server so gets
// less of its throughput, and needs its queue less. An estimate of few samples is drawn to that
// of a usual server, so it counts more.
func (c candidate) weight() float64 {
	exponent := speedExponent + fewSamplesExponent*fewSamples/(c.speed.Samples+fewSamples)
	relative := min(max(math.Pow(c.speed.Lasting, -exponent), minRelativeWeight), 1/minRelativeWeight)
	return float64(c.server.Slots) * relative / c.speed.Moment
}

// cost returns the pressure on the server, increased by failures and for a server in
// another zone.
func (c candidate) cost(zone model.Zone) float64 {
	cost := c.pressure() * (1 + failurePenalty*c.failureRate)
	if c.server.Zone != zone {
		cost *= remotePenalty
	}
	return cost
}
