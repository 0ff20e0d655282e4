package backends

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/model"
)

func viewOf(id string, zone model.Zone, service time.Duration, busy float64) view {
	return view{server: &catalog.Server{ID: model.ServerID(id), Zone: zone, Slots: 3}, service: service, busy: busy}
}

func picks(views []view, w *Wanted) map[model.ServerID]int {
	counts := map[model.ServerID]int{}
	for range 2000 {
		counts[choose(views, "near", w).ID]++
	}
	return counts
}

func TestFasterServersGetMore(t *testing.T) {
	counts := picks([]view{viewOf("slow", "near", 200*time.Millisecond, 0), viewOf("fast", "near", 50*time.Millisecond, 0)}, &Wanted{})
	must.Greater(t, 3*counts["slow"], counts["fast"])
}

func TestLargeBodiesStayInTheZone(t *testing.T) {
	views := []view{viewOf("near", "near", 100*time.Millisecond, 2), viewOf("far", "far", 20*time.Millisecond, 0)}
	must.Eq(t, 2000, picks(views, &Wanted{Bytes: largeBody, Goal: time.Second})["near"])
	views[0].busy = 60
	must.Positive(t, picks(views, &Wanted{Bytes: largeBody, Goal: time.Second})["far"])
}

func TestServersThatWerePassedOverComeLast(t *testing.T) {
	views := []view{viewOf("bad", "near", time.Millisecond, 0), viewOf("good", "near", time.Second, 10)}
	views[0].avoided = true
	must.Eq(t, 2000, picks(views, &Wanted{})["good"])
	views[1].avoided = true
	must.Positive(t, picks(views, &Wanted{})["bad"])
}

func TestFailuresMakeAServerLookSlower(t *testing.T) {
	views := []view{viewOf("failing", "near", 100*time.Millisecond, 0), viewOf("good", "near", 100*time.Millisecond, 0)}
	views[0].failures = 0.5
	// Of two servers the failing one is taken only when both draws are it: one time in four.
	must.Between(t, 400, picks(views, &Wanted{})["failing"], 600)
}

func TestReportedLoadFades(t *testing.T) {
	now := time.Now()
	var s state
	s.reported(dialect.Load{Running: 3, Waiting: 6, Slots: 3}, now)
	server := &catalog.Server{Slots: 3}
	must.Between(t, 8, s.view(server, time.Second, now).busy, 9.1)
	must.Less(t, 0.1, s.view(server, time.Second, now.Add(10*loadFades)).busy)
	s.began()
	must.Between(t, 0.9, s.view(server, time.Second, now.Add(10*loadFades)).busy, 1.1)
}

// In no sequence of sends are there more repeats than the budget allows.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, extra = 0.2, 100.0
		fleet := rapid.IntRange(1, 200).Draw(t, "fleet")
		b := NewBudget(ratio, extra, func() int { return fleet })
		first, repeats := 0, 0
		for _, repeat := range rapid.SliceOf(rapid.Bool()).Draw(t, "repeats") {
			if !repeat {
				b.First("s")
				first++
			} else if b.Take("s") {
				repeats++
			}
		}
		must.LessEq(t, ratio*float64(first)+max(budgetMargin*extra/float64(fleet), 1), float64(repeats))
	})
}
