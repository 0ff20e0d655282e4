package keeper

import (
	"math"
	"slices"
	"sort"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Thresholds of balancing and of reassigning the keys of failed servers.
const (
	toleratedUtilization = 1.1 // utilization, relative to the average, up to which a server keeps its keys
	noiseDeviations      = 1.5 // added to toleratedUtilization for random variation: standard deviations, relative to the server's count of requests
	hotKeyShare          = 0.5 // share of its server's load from which on a key is hot
	minCapacityRatio     = 1.2 // capacity, relative to the owner's, that a server needs to get a hot key
	maxPieces            = 3   // into which a range of a failed or leaving server is divided
	minPieceLoad         = 0.3 // load of a piece, relative to the average load of a server, that justifies another piece

	acceptableUtilization = 0.9 // of a server that takes a key beyond the average, relative to the server that gives it

	movesPerServer = 2 // planned in one round of balancing, on average
)

// Move is the reassignment of a range of keys from one server to another.
type Move struct {
	From, To int // inclusive
	// Source is empty when no server can hold the keys, so that none has to release them.
	Source model.ServerID
	Target *catalog.Server
}

// overlaps reports whether two moves have a key in common.
func (m *Move) overlaps(other *Move) bool { return m.From <= other.To && other.From <= m.To }

// candidate is a server that may get keys.
type candidate struct {
	server   *catalog.Server
	capacity float64 // see load.capacity
	load     float64 // of its keys; valid after planner.sumLoads
}

// tolerance returns the utilization, relative to the average, up to which the server
// keeps its keys.
func (c *candidate) tolerance() float64 {
	return toleratedUtilization + noiseDeviations/math.Sqrt(max(c.load, 1))
}

// utilization returns the load per capacity.
func (c *candidate) utilization() float64 { return c.load / c.capacity }

// planner works out moves on a copy of the ranges, to which it applies them.
type planner struct {
	load        *load
	ranges      []catalog.Range
	candidates  []*candidate
	byID        map[model.ServerID]*candidate
	moves       []Move
	loadsSummed bool                       // the loads of the candidates are computed
	ownedLoads  map[model.ServerID]float64 // of all owners in the original ranges; nil if not computed
	original    []catalog.Range
}

// newPlanner returns a planner that moves keys to the given servers only.
func newPlanner(l *load, ranges []catalog.Range, servers []*catalog.Server) *planner {
	p := &planner{load: l, ranges: append([]catalog.Range(nil), ranges...), original: ranges, byID: map[model.ServerID]*candidate{}}
	for _, server := range servers {
		c := &candidate{server: server, capacity: l.capacity(server)}
		p.candidates = append(p.candidates, c)
		p.byID[server.ID] = c
	}
	sort.Slice(p.candidates, func(i, j int) bool { return p.candidates[i].server.ID < p.candidates[j].server.ID })
	return p
}

// sumLoads computes the loads of the candidates, at the first call only.
func (p *planner) sumLoads() {
	if p.loadsSummed {
		return
	}
	p.loadsSummed = true
	for _, r := range p.ranges {
		if c := p.byID[r.Server]; c != nil {
			c.load += p.load.rangeLoad(r.From, r.To)
		}
	}
}

// ownedLoad returns the load of the keys of an owner before the moves. The loads of all owners
// are computed at the first call only.
func (p *planner) ownedLoad(owner model.ServerID) float64 {
	if p.ownedLoads == nil {
		p.ownedLoads = map[model.ServerID]float64{}
		for _, r := range p.original {
			p.ownedLoads[r.Server] += p.load.rangeLoad(r.From, r.To)
		}
	}
	return p.ownedLoads[owner]
}

// divide assigns all keys to the servers in contiguous ranges, in proportion to their
// capacity by load. It returns nil without servers.
func divide(l *load, servers []*catalog.Server) []catalog.Range {
	if len(servers) == 0 {
		return nil
	}
	sorted := append([]*catalog.Server(nil), servers...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	totalCapacity := 0.0
	for _, s := range sorted {
		totalCapacity += l.capacity(s)
	}
	totalLoad := l.rangeLoad(0, catalog.LastKey)
	var ranges []catalog.Range
	from, assigned, target := 0, 0.0, 0.0
	for i, s := range sorted {
		target += totalLoad * l.capacity(s) / totalCapacity
		to := from
		assigned += l.keyLoad(to)
		last := catalog.LastKey - (len(sorted) - 1 - i) // leaves one key for each of the remaining servers
		for to < last && assigned+l.keyLoad(to+1) <= target {
			to++
			assigned += l.keyLoad(to)
		}
		if i == len(sorted)-1 {
			to = catalog.LastKey
		}
		ranges = append(ranges, catalog.Range{From: from, To: to, Server: s.ID, StartedMS: s.StartedMS})
		from = to + 1
	}
	return ranges
}

// reassign divides the range of a server that can't keep it among a few others. source
// is the server if it still holds the keys, and empty otherwise.
func (p *planner) reassign(r catalog.Range, source model.ServerID) {
	from := r.From
	if len(p.candidates) == 0 {
		return
	}
	p.sumLoads()
	averageLoad := 0.0
	for _, c := range p.candidates {
		averageLoad += c.load / float64(len(p.candidates))
	}
	parts := min(maxPieces, len(p.candidates), 1+int(p.load.rangeLoad(r.From, r.To)/(minPieceLoad*max(averageLoad, 1))))
	for part := parts; part > 0; part-- {
		target := leastUtilized(p.candidates)
		if target == nil {
			return
		}
		to := p.splitKey(from, r.To, p.load.rangeLoad(from, r.To)/float64(part))
		if part == 1 {
			to = r.To
		}
		p.add(Move{From: from, To: to, Source: source, Target: target.server})
		target.load += p.load.rangeLoad(from, to)
		from = to + 1
		if from > r.To {
			return
		}
	}
}

// splitKey returns the last key of a range that begins at from and has about the
// wanted load. The returned key is never above the key to.
func (p *planner) splitKey(from, to int, wanted float64) int {
	sum := p.load.keyLoad(from)
	for key := from; key < to; key++ {
		next := p.load.keyLoad(key + 1)
		if sum+next > wanted {
			return key
		}
		sum += next
	}
	return to
}

// balance plans moves from the most to the least utilized servers while a server's
// utilization is above its tolerance: movesPerServer for each candidate at most, and no
// key twice. Where the next key has too much load for the target to stay at the average,
// it moves all the same if the target then stays clearly less busy than the source: so
// the hot keys of one server come to as many servers. movable says whether keys may
// leave a server now.
func (p *planner) balance(movable func(model.ServerID) bool) {
	p.sumLoads()
	remaining := p.candidates
	for range movesPerServer * len(p.candidates) {
		average := averageUtilization(remaining)
		source := mostUtilized(remaining, movable)
		target := leastUtilized(remaining)
		if source == nil || source == target || source.utilization() < average*source.tolerance() {
			return
		}
		wanted := min(source.load-average*source.capacity, average*target.capacity-target.load)
		if wanted <= 0 {
			return
		}
		if !p.shiftLoad(source, target, wanted) && !p.shiftHotEnd(source, target, wanted) {
			// The load is on a key that can't be divided: the others are balanced without this server.
			faster := p.moveHotKey(source, remaining)
			remaining = slices.DeleteFunc(slices.Clone(remaining), func(c *candidate) bool { return c == source || c == faster })
		}
		if len(remaining) == 0 {
			return
		}
	}
}

// moveHotKey plans to move a server's hot key, one with at least hotKeyShare of the
// server's load, to the server with the highest capacity among those with at least
// minCapacityRatio of the source's capacity and no key with hotKeyShare of the hot key's
// load. It returns that server, or nil if there is no hot key or no such server.
func (p *planner) moveHotKey(source *candidate, remaining []*candidate) *candidate {
	key, load := p.busiestKey(source)
	if load < hotKeyShare*source.load {
		return nil
	}
	var best *candidate
	for _, c := range remaining {
		if c.capacity < minCapacityRatio*source.capacity || (best != nil && c.capacity <= best.capacity) {
			continue
		}
		if _, other := p.busiestKey(c); other < hotKeyShare*load {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	p.transfer(key, key, load, source, best)
	return best
}

// busiestKey returns the key with the highest load among those of a server that have
// not moved in this round.
func (p *planner) busiestKey(c *candidate) (key int, load float64) {
	for _, r := range p.ranges {
		if r.Server != c.server.ID || r.Fence == movedThisRound {
			continue
		}
		for k := r.From; k <= r.To; k++ {
			if l := p.load.keyLoad(k); l > load {
				key, load = k, l
			}
		}
	}
	return key, load
}

func mostUtilized(candidates []*candidate, movable func(model.ServerID) bool) *candidate {
	var worst *candidate
	for _, c := range candidates {
		if movable(c.server.ID) && (worst == nil || c.utilization() > worst.utilization()) {
			worst = c
		}
	}
	return worst
}

func leastUtilized(candidates []*candidate) *candidate {
	var best *candidate
	for _, c := range candidates {
		if best == nil || c.utilization() < best.utilization() {
			best = c
		}
	}
	return best
}

// averageUtilization returns the total load per total capacity.
func averageUtilization(candidates []*candidate) float64 {
	load, capacity := 0.0, 0.0
	for _, c := range candidates {
		load += c.load
		capacity += c.capacity
	}
	return max(load, 1) / capacity
}

// shiftLoad plans to move at most the wanted load from one end of one of the source's
// ranges, preferably of one that borders on a range of the target, so that the two can
// be merged. It reports false if there are no such keys, for example because the key
// at each end has more load.
func (p *planner) shiftLoad(source, target *candidate, wanted float64) bool {
	best, bestFrom, bestTo, bestLoad, borders := -1, 0, 0, 0.0, false
	for i, r := range p.ranges {
		if r.Server != source.server.ID || r.Fence == movedThisRound {
			continue
		}
		for _, upper := range []bool{false, true} {
			from, to := p.rangeEnd(r, wanted, upper)
			if from > to {
				continue
			}
			moved := p.load.rangeLoad(from, to)
			touches := p.borders(i, upper, target.server.ID)
			if best < 0 || (touches && !borders) || (touches == borders && moved > bestLoad) {
				best, bestFrom, bestTo, bestLoad, borders = i, from, to, moved, touches
			}
		}
	}
	if best < 0 {
		return false
	}
	p.transfer(bestFrom, bestTo, bestLoad, source, target)
	return true
}

// shiftHotEnd plans to move the keys at one end of one of the source's ranges up to the
// first that has more than the wanted load, with that key. It reports false if the target
// would then be above acceptableUtilization, or if the key is most of the source's load:
// it would be as much too busy elsewhere, and would go on from server to server.
func (p *planner) shiftHotEnd(source, target *candidate, wanted float64) bool {
	bestFrom, bestTo, bestLoad := 0, -1, source.load
	for _, r := range p.ranges {
		if r.Server != source.server.ID || r.Fence == movedThisRound {
			continue
		}
		for _, upper := range []bool{false, true} {
			from, to := p.rangeEnd(r, wanted, upper)
			if upper {
				from = max(from-1, r.From)
			} else {
				to = min(to+1, r.To)
			}
			if moved := p.load.rangeLoad(from, to); moved < bestLoad {
				bestFrom, bestTo, bestLoad = from, to, moved
			}
		}
	}
	if bestTo < bestFrom || bestLoad >= hotKeyShare*source.load {
		return false // see moveHotKey
	}
	if (target.load+bestLoad)/target.capacity > acceptableUtilization*source.utilization() {
		return false
	}
	p.transfer(bestFrom, bestTo, bestLoad, source, target)
	return true
}

// rangeEnd returns the keys at the upper or lower end of a range with at most the
// wanted load. from is above to if there are none.
func (p *planner) rangeEnd(r catalog.Range, wanted float64, upper bool) (from, to int) {
	sum := 0.0
	if upper {
		from = r.To + 1
		for from > r.From && sum+p.load.keyLoad(from-1) <= wanted {
			from--
			sum += p.load.keyLoad(from)
		}
		return from, r.To
	}
	to = r.From - 1
	for to < r.To && sum+p.load.keyLoad(to+1) <= wanted {
		to++
		sum += p.load.keyLoad(to)
	}
	return r.From, to
}

// borders reports whether the range above or below range i belongs to the server.
func (p *planner) borders(i int, upper bool, id model.ServerID) bool {
	if upper {
		return i+1 < len(p.ranges) && p.ranges[i+1].Server == id
	}
	return i > 0 && p.ranges[i-1].Server == id
}

// movedThisRound is the fence of ranges that were moved in this round in the planner's
// copy: they do not move again.
const movedThisRound catalog.Fence = 0

// applyMove assigns a range to the target in the planner's copy.
func (p *planner) applyMove(from, to int, target *catalog.Server) {
	p.ranges = assign(p.ranges, from, to, target, movedThisRound)
}

// transfer plans to move keys, which have the given load, between two servers, and applies
// the move to the planner's copy.
func (p *planner) transfer(from, to int, load float64, source, target *candidate) {
	p.applyMove(from, to, target.server)
	p.add(Move{From: from, To: to, Source: source.server.ID, Target: target.server})
	source.load -= load
	target.load += load
}

func (p *planner) add(m Move) { p.moves = append(p.moves, m) }
