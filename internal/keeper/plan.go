package keeper

import (
	"math"
	"slices"
	"sort"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Bounds of the balance.
const (
	tolerated  = 1.1 // load by capacity, relative to the average, up to which a server is left alone
	noise      = 1.5 // what is tolerated beside, in standard deviations of the server's count of requests
	soloShare  = 0.5 // share of a server's load from which on one key is its burden
	fasterBy   = 1.2 // capacity, relative to its owner's, of a server to which such a key moves
	pieces     = 3   // servers, at most, among which a range of a lost server is divided
	pieceShare = 0.3 // load of a server, relative to the average, that is worth a piece of its own
)

// Move takes a run of keys from one server to another.
type Move struct {
	From, To int // inclusive
	// Source is empty when nobody can hold the keys.
	Source model.ServerID
	Target *catalog.Server
}

// carrier is a server that can own keys.
type carrier struct {
	server   *catalog.Server
	capacity float64
	load     float64
}

// tolerance is the load, relative to the average, up to which the server is left alone.
func (c *carrier) tolerance() float64 { return tolerated + noise/math.Sqrt(max(c.load, 1)) }

func (c *carrier) used() float64 { return c.load / c.capacity }

// planner works out moves on a copy of the ranges.
type planner struct {
	load     *load
	ranges   []catalog.Range
	carriers []*carrier
	byID     map[model.ServerID]*carrier
	moves    []Move
	weighed  bool
}

// newPlanner returns a planner for the servers that may get keys.
func newPlanner(l *load, ranges []catalog.Range, servers []*catalog.Server) *planner {
	p := &planner{load: l, ranges: append([]catalog.Range(nil), ranges...), byID: map[model.ServerID]*carrier{}}
	for _, server := range servers {
		c := &carrier{server: server, capacity: l.capacity(server)}
		p.carriers = append(p.carriers, c)
		p.byID[server.ID] = c
	}
	sort.Slice(p.carriers, func(i, j int) bool { return p.carriers[i].server.ID < p.carriers[j].server.ID })
	return p
}

// weigh adds the carriers' loads up, before the first of them is looked at.
func (p *planner) weigh() {
	if p.weighed {
		return
	}
	p.weighed = true
	for _, r := range p.ranges {
		if c := p.byID[r.Server]; c != nil {
			c.load += p.load.of(r.From, r.To)
		}
	}
}

// divide returns ranges for a service that has none, equal by load and capacity.
func divide(l *load, servers []*catalog.Server) []catalog.Range {
	if len(servers) == 0 {
		return nil
	}
	sorted := append([]*catalog.Server(nil), servers...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	total := 0.0
	for _, s := range sorted {
		total += l.capacity(s)
	}
	all := l.of(0, catalog.LastKey)
	var ranges []catalog.Range
	from, passed, due := 0, 0.0, 0.0
	for i, s := range sorted {
		due += all * l.capacity(s) / total
		to := from
		passed += l.key(to)
		last := catalog.LastKey - (len(sorted) - 1 - i) // each of the others gets a key
		for to < last && passed+l.key(to+1) <= due {
			to++
			passed += l.key(to)
		}
		if i == len(sorted)-1 {
			to = catalog.LastKey
		}
		ranges = append(ranges, catalog.Range{From: from, To: to, Server: s.ID, StartedMS: s.StartedMS})
		from = to + 1
	}
	return ranges
}

// rehome gives the keys of a server that may not keep them to a few others.
// Source names the server when it still holds them.
func (p *planner) rehome(r catalog.Range, source model.ServerID) {
	from := r.From
	if len(p.carriers) == 0 {
		return
	}
	p.weigh()
	usual := 0.0
	for _, c := range p.carriers {
		usual += c.load / float64(len(p.carriers))
	}
	parts := min(pieces, len(p.carriers), 1+int(p.load.of(r.From, r.To)/(pieceShare*max(usual, 1))))
	for part := parts; part > 0; part-- {
		target := leastUsed(p.carriers)
		if target == nil {
			return
		}
		to := p.cut(from, r.To, p.load.of(from, r.To)/float64(part))
		if part == 1 {
			to = r.To
		}
		p.add(Move{From: from, To: to, Source: source, Target: target.server})
		target.load += p.load.of(from, to)
		from = to + 1
		if from > r.To {
			return
		}
	}
}

// cut returns the last key of a run that begins at from and has about the wanted load.
func (p *planner) cut(from, to int, wanted float64) int {
	passed := p.load.key(from)
	for key := from; key < to; key++ {
		next := p.load.key(key + 1)
		if passed+next > wanted {
			return key
		}
		passed += next
	}
	return to
}

// balance moves keys from the servers that have too many requests for their
// speed, one move a server at most in one round. movable says whether keys may leave a server now.
func (p *planner) balance(movable func(model.ServerID) bool) {
	p.weigh()
	open := p.carriers
	for range p.carriers {
		average := averageUse(open)
		source := mostUsed(open, movable)
		target := leastUsed(open)
		if source == nil || source == target || source.used() < average*source.tolerance() {
			return
		}
		wanted := min(source.load-average*source.capacity, average*target.capacity-target.load)
		if wanted <= 0 {
			return
		}
		if !p.shift(source, target, wanted) {
			// It is busy with a key that can't be divided: the others are balanced without it.
			faster := p.relocate(source, open)
			open = slices.DeleteFunc(slices.Clone(open), func(c *carrier) bool { return c == source || c == faster })
		}
		if len(open) == 0 {
			return
		}
	}
}

// relocate moves the busiest key of a server to one that is clearly faster and
// has no such key itself. It returns that server, or nil.
func (p *planner) relocate(source *carrier, open []*carrier) *carrier {
	key, load := p.busiestKey(source)
	if load < soloShare*source.load {
		return nil
	}
	var best *carrier
	for _, c := range open {
		if c.capacity < fasterBy*source.capacity || (best != nil && c.capacity <= best.capacity) {
			continue
		}
		if _, other := p.busiestKey(c); other < soloShare*load {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	p.take(key, key, best.server)
	p.add(Move{From: key, To: key, Source: source.server.ID, Target: best.server})
	source.load -= load
	best.load += load
	return best
}

// busiestKey returns the busiest key of a server that may move in this round.
func (p *planner) busiestKey(c *carrier) (key int, load float64) {
	for _, r := range p.ranges {
		if r.Server != c.server.ID || r.Fence == movedNow {
			continue
		}
		for k := r.From; k <= r.To; k++ {
			if l := p.load.key(k); l > load {
				key, load = k, l
			}
		}
	}
	return key, load
}

func mostUsed(carriers []*carrier, movable func(model.ServerID) bool) *carrier {
	var worst *carrier
	for _, c := range carriers {
		if movable(c.server.ID) && (worst == nil || c.used() > worst.used()) {
			worst = c
		}
	}
	return worst
}

func leastUsed(carriers []*carrier) *carrier {
	var best *carrier
	for _, c := range carriers {
		if best == nil || c.used() < best.used() {
			best = c
		}
	}
	return best
}

// averageUse is the load by capacity over servers.
func averageUse(carriers []*carrier) float64 {
	load, capacity := 0.0, 0.0
	for _, c := range carriers {
		load += c.load
		capacity += c.capacity
	}
	return max(load, 1) / capacity
}

// shift moves about the wanted load from the end of one of the source's ranges,
// where possible of one that borders on the target's.
func (p *planner) shift(source, target *carrier, wanted float64) bool {
	best, bestFrom, bestTo, bestLoad, borders := -1, 0, 0, 0.0, false
	for i, r := range p.ranges {
		if r.Server != source.server.ID || r.Fence == movedNow {
			continue
		}
		for _, upper := range []bool{false, true} {
			from, to := p.end(r, wanted, upper)
			if from > to {
				continue
			}
			moved := p.load.of(from, to)
			touches := p.borders(i, upper, target.server.ID)
			if best < 0 || (touches && !borders) || (touches == borders && moved > bestLoad) {
				best, bestFrom, bestTo, bestLoad, borders = i, from, to, moved, touches
			}
		}
	}
	if best < 0 {
		return false
	}
	p.take(bestFrom, bestTo, target.server)
	p.add(Move{From: bestFrom, To: bestTo, Source: source.server.ID, Target: target.server})
	source.load -= bestLoad
	target.load += bestLoad
	return true
}

// end returns the run of keys at one end of a range with at most the wanted load.
func (p *planner) end(r catalog.Range, wanted float64, upper bool) (from, to int) {
	passed := 0.0
	if upper {
		from = r.To + 1
		for from > r.From && passed+p.load.key(from-1) <= wanted {
			from--
			passed += p.load.key(from)
		}
		return from, r.To
	}
	to = r.From - 1
	for to < r.To && passed+p.load.key(to+1) <= wanted {
		to++
		passed += p.load.key(to)
	}
	return r.From, to
}

func (p *planner) borders(i int, upper bool, id model.ServerID) bool {
	if upper {
		return i+1 < len(p.ranges) && p.ranges[i+1].Server == id
	}
	return i > 0 && p.ranges[i-1].Server == id
}

// movedNow marks a range that moves in this round: it does not move again.
const movedNow catalog.Fence = 0

// take changes the planner's copy of the ranges.
func (p *planner) take(from, to int, target *catalog.Server) {
	p.ranges = assign(p.ranges, from, to, target, movedNow)
}

func (p *planner) add(m Move) { p.moves = append(p.moves, m) }

// assign returns ranges in which a run of keys belongs to a server.
func assign(ranges []catalog.Range, from, to int, target *catalog.Server, fence catalog.Fence) []catalog.Range {
	var next []catalog.Range
	added := catalog.Range{From: from, To: to, Server: target.ID, StartedMS: target.StartedMS, Fence: fence}
	for _, r := range ranges {
		if r.From < from {
			left := r
			left.To = min(r.To, from-1)
			next = append(next, left)
		}
		if r.To > to {
			right := r
			right.From = max(r.From, to+1)
			next = append(next, right)
		}
	}
	next = append(next, added)
	sort.Slice(next, func(i, j int) bool { return next[i].From < next[j].From })
	return next
}

// merge joins neighbours of one life of a server. A joined range gets the fence,
// which is above those of its parts.
func merge(ranges []catalog.Range, fence catalog.Fence) []catalog.Range {
	var merged []catalog.Range
	for _, r := range ranges {
		last := len(merged) - 1
		if last >= 0 && merged[last].To+1 == r.From && merged[last].Server == r.Server && merged[last].StartedMS == r.StartedMS {
			merged[last].To = r.To
			merged[last].Fence = fence
			continue
		}
		merged = append(merged, r)
	}
	return merged
}
