package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

func server(i, slots int) *catalog.Server {
	return &catalog.Server{ID: model.ServerID(fmt.Sprintf("s%02d", i)), Slots: slots, StartedMS: int64(i)}
}

func anyServer(model.ServerID) bool { return true }

// checkCoverage fails the test unless the sorted ranges contain each key exactly once.
func checkCoverage(t interface {
	Helper()
	Fatalf(string, ...any)
}, ranges []catalog.Range) {
	t.Helper()
	next := 0
	for _, r := range ranges {
		if r.From != next || r.To < r.From {
			t.Fatalf("range %d to %d follows key %d", r.From, r.To, next-1)
		}
		next = r.To + 1
	}
	if next != catalog.LastKey+1 {
		t.Fatalf("the last range ends at %d", next-1)
	}
}

// addStats adds counts as those of a load that has been steady.
func addStats(l *load, stats *backends.KeyedStats) {
	for key, count := range stats.Keys {
		l.keys.Seed(key, float64(count), l.decayedAt)
		l.counted += count
	}
	l.keys.Update(l.decayedAt)
}

func drawLoad(t *rapid.T) *load {
	l := newLoad(time.Now())
	stats := &backends.KeyedStats{Keys: map[int]int{}}
	for range rapid.IntRange(0, 60).Draw(t, "keys") {
		stats.Keys[rapid.IntRange(0, catalog.LastKey).Draw(t, "key")] += rapid.IntRange(1, 200).Draw(t, "count")
	}
	addStats(l, stats)
	return l
}

func drawServers(t *rapid.T) []*catalog.Server {
	servers := make([]*catalog.Server, rapid.IntRange(1, 12).Draw(t, "servers"))
	for i := range servers {
		servers[i] = server(i, rapid.IntRange(1, 8).Draw(t, "slots"))
	}
	return servers
}

func TestDivisionGivesEachKeyOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkCoverage(t, divide(drawLoad(t), drawServers(t)))
	})
}

// withFirstFence sets the fence of the initial assignment on all ranges.
func withFirstFence(ranges []catalog.Range) []catalog.Range {
	for i := range ranges {
		ranges[i].Fence = 1
	}
	return ranges
}

// applyMoves returns the ranges after the moves, under a new fence.
func applyMoves(ranges []catalog.Range, moves []Move) []catalog.Range {
	for _, m := range moves {
		ranges = assign(ranges, m.From, m.To, m.Target, 9)
	}
	return merge(ranges, 9)
}

func TestBalancingLeavesEachKeyOneOwnerAndMovesItAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t)
		ranges := withFirstFence(divide(newLoad(time.Now()), servers))
		p := newPlanner(drawLoad(t), ranges, servers)
		p.balance(anyServer)
		for i, m := range p.moves {
			must.NotEq(t, m.Source, m.Target.ID)
			for _, other := range p.moves[:i] {
				must.True(t, m.To < other.From || other.To < m.From)
			}
			owner := (&catalog.Owners{Ranges: ranges}).Owner(m.From)
			must.Eq(t, m.Source, owner.Server)
		}
		checkCoverage(t, applyMoves(ranges, p.moves))
	})
}

func TestReassignedKeysStayCovered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := drawServers(t)
		if len(servers) == 1 {
			return
		}
		l := drawLoad(t)
		ranges := divide(l, servers)
		p := newPlanner(l, ranges, servers[1:])
		for _, r := range ranges {
			if r.Server == servers[0].ID {
				p.reassign(r, "")
			}
		}
		result := applyMoves(ranges, p.moves)
		checkCoverage(t, result)
		for _, r := range result {
			must.NotEq(t, servers[0].ID, r.Server)
		}
	})
}

// A key with more load than a server can carry must not prevent the rest of the load
// from being balanced over the other servers.
func TestHotKeyDoesNotStopBalancing(t *testing.T) {
	servers := []*catalog.Server{server(0, 3), server(1, 3), server(2, 3), server(3, 3)}
	l := newLoad(time.Now())
	stats := &backends.KeyedStats{Keys: map[int]int{100: 4000}}
	for key := 20000; key < 30000; key += 10 {
		stats.Keys[key] = 3
	}
	addStats(l, stats)
	ranges := withFirstFence(divide(newLoad(time.Now()), servers))
	for range 20 {
		p := newPlanner(l, ranges, servers)
		p.balance(anyServer)
		ranges = applyMoves(ranges, p.moves)
	}
	p := newPlanner(l, ranges, servers)
	busiest := 0.0
	for _, c := range p.candidates {
		if (&catalog.Owners{Ranges: ranges}).Owner(100).Server != c.server.ID {
			busiest = max(busiest, c.load)
		}
	}
	must.Less(t, 1.3*(l.keys.Total()-l.keys.Load(100))/3, busiest)
}

// A key with most of its server's load moves to a faster server, and stays there.
func TestHotKeyMovesToFasterServer(t *testing.T) {
	servers := []*catalog.Server{server(0, 2), server(1, 3), server(2, 6), server(3, 3)}
	l := newLoad(time.Now())
	addStats(l, &backends.KeyedStats{Keys: map[int]int{100: 4000, 30000: 300, 50000: 300}})
	ranges := withFirstFence(divide(newLoad(time.Now()), servers))
	for range 20 {
		p := newPlanner(l, ranges, servers)
		p.balance(anyServer)
		ranges = withFirstFence(applyMoves(ranges, p.moves))
	}
	must.Eq(t, servers[2].ID, (&catalog.Owners{Ranges: ranges}).Owner(100).Server)
	p := newPlanner(l, ranges, servers)
	p.balance(anyServer)
	must.SliceEmpty(t, p.moves)
}

func TestLoadIsRestoredFromQuantiles(t *testing.T) {
	l := newLoad(time.Now())
	addStats(l, &backends.KeyedStats{Keys: map[int]int{10: 500, 40000: 500}})
	restored := newLoad(time.Now())
	restored.restore(l.points(), time.Now())
	must.Between(t, 0.4, restored.rangeLoad(0, 100)/restored.rangeLoad(0, catalog.LastKey), 0.6)
}

func TestRangeWithoutExcludedRanges(t *testing.T) {
	whole := catalog.Range{From: 0, To: 99, Server: "a"}
	left := without(whole, []Move{{From: 10, To: 19}, {From: 90, To: 120}})
	must.Eq(t, []catalog.Range{{From: 0, To: 9, Server: "a"}, {From: 20, To: 89, Server: "a"}}, left)
	must.SliceEmpty(t, without(whole, []Move{{From: 0, To: 200}}))
}

// busiest returns the highest utilization of a server relative to the average.
func busiest(l *load, ranges []catalog.Range, servers []*catalog.Server) float64 {
	p := newPlanner(l, ranges, servers)
	p.sumLoads()
	worst := 0.0
	for _, c := range p.candidates {
		worst = max(worst, c.utilization()/averageUtilization(p.candidates))
	}
	return worst
}

// Neighbouring keys become hot: of 255 servers, one or two own them all. One round of
// balancing brings the busiest server within 1.3 of the average or, where a single key
// is more than that, to that key alone.
func TestNeighbouringHotKeysAreSpreadInOneRound(t *testing.T) {
	const (
		serverCount = 255
		perSecond   = 1459.0
		firstHot    = 30_000
		bound       = 1.3
	)
	for _, c := range []struct {
		hotKeys  int
		hotShare float64
	}{{200, 0.39}, {60, 0.35}, {1, 0.16}} {
		t.Run(fmt.Sprint(c.hotKeys), func(t *testing.T) {
			var servers []*catalog.Server
			for i := range serverCount {
				servers = append(servers, &catalog.Server{ID: model.ServerID(fmt.Sprintf("s%03d", i)), Slots: 3, StartedMS: 1})
			}
			l := newLoad(time.Now())
			ranges := withFirstFence(divide(l, servers))
			total := perSecond * loadDecay.Seconds()
			for key := range catalog.LastKey + 1 {
				l.keys.Seed(key, total*(1-c.hotShare)/(catalog.LastKey+1), l.decayedAt)
			}
			hottest := total * c.hotShare / float64(c.hotKeys)
			for i := range c.hotKeys {
				l.keys.Seed(firstHot+i, hottest, l.decayedAt)
			}
			l.keys.Update(l.decayedAt)
			must.Greater(t, 10, busiest(l, ranges, servers))

			p := newPlanner(l, ranges, servers)
			p.balance(anyServer)
			ranges = applyMoves(ranges, p.moves)
			checkCoverage(t, ranges)
			single := l.keyLoad(firstHot) / (l.rangeLoad(0, catalog.LastKey) / serverCount)
			must.LessEq(t, max(bound, single*1.1), busiest(l, ranges, servers))
			keysMoved := 0
			for _, m := range p.moves {
				keysMoved += m.To - m.From + 1
			}
			t.Logf("busiest %.2f of the average, a single key %.2f, %d moves of %.1f%% of the keys, %d ranges",
				busiest(l, ranges, servers), single, len(p.moves), 100*float64(keysMoved)/(catalog.LastKey+1), len(ranges))

			again := newPlanner(l, withFirstFence(ranges), servers)
			again.balance(anyServer)
			must.LessEq(t, serverCount/50, len(again.moves))
		})
	}
}

// Moves of neighbouring keys from one server are released by few calls, each of a
// contiguous range; a few moves are released one by one.
func TestMovesFromOneServerAreReleasedInFewCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var moves []Move
		sources := map[model.ServerID]int{}
		from := 0
		for range rapid.IntRange(1, 200).Draw(t, "moves") {
			from += rapid.SampledFrom([]int{0, 0, 0, 5}).Draw(t, "gap")
			to := from + rapid.IntRange(0, 3).Draw(t, "keys")
			source := model.ServerID(rapid.SampledFrom([]string{"a", "a", "a", "b", ""}).Draw(t, "source"))
			moves = append(moves, Move{From: from, To: to, Source: source})
			sources[source]++
			from = to + 1
		}
		groups := adjacentMoves(moves)
		count := 0
		for _, group := range groups {
			count += len(group)
			for i, m := range group {
				must.True(t, len(group) == 1 || m.Source != "")
				must.Eq(t, group[0].Source, m.Source)
				must.True(t, i == 0 || m.From == group[i-1].To+1)
			}
			must.True(t, len(group) == 1 || sources[group[0].Source] > maxConcurrentReleases)
		}
		must.Eq(t, len(moves), count)
	})
}
