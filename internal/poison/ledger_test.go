package poison

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var now = time.Unix(1_700_000_000, 0)

// fleetModel is a fleet whose dispatchers all know the ledger.
type fleetModel struct {
	ledger *ledger
	poison map[Fingerprint]bool
	deaths map[Fingerprint]int // deaths caused by each request
}

// run sends requests to one server, as the verdicts allow.
func (m *fleetModel) run(t *rapid.T, wanted []Fingerprint) {
	var together []Fingerprint
	for _, f := range wanted {
		switch m.ledger.judge(f, now) {
		case Allow:
			together = append(together, f)
		case Isolate:
			m.serve([]Fingerprint{f})
		case Hold, Reject:
			if !m.poison[f] {
				t.Fatalf("request %d is refused but crashes nothing", f)
			}
		}
	}
	m.serve(together)
}

func (m *fleetModel) serve(running []Fingerprint) {
	crashed := false
	for _, f := range running {
		if m.poison[f] {
			m.deaths[f]++
			crashed = true
		}
	}
	if crashed {
		id := CrashID(fmt.Sprint(len(m.ledger.deaths)))
		m.ledger.addDeath(&Crash{ID: id, At: now, Running: running})
		return
	}
	for _, f := range running {
		for _, death := range m.ledger.blamed(f) {
			m.ledger.clear(clearance{death.ID, f}, now)
		}
	}
}

func TestPoisonStopsAfterTwoDeathsAndInnocentsRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{ledger: newLedger(), poison: map[Fingerprint]bool{}, deaths: map[Fingerprint]int{}}
		for _, f := range rapid.SliceOfN(rapid.Uint64Range(0, 9), 0, 3).Draw(t, "poison") {
			m.poison[Fingerprint(f)] = true
		}
		batches := rapid.SliceOfN(rapid.SliceOfNDistinct(rapid.Uint64Range(0, 9), 1, 4, rapid.ID), 1, 40).Draw(t, "batches")
		for _, batch := range batches {
			var wanted []Fingerprint
			for _, f := range batch {
				wanted = append(wanted, Fingerprint(f))
			}
			m.run(t, wanted)
		}
		for f, count := range m.deaths {
			if count > 2 {
				t.Fatalf("request %d crashed %d servers", f, count)
			}
		}
	})
}

// TestUnwarnedDispatcher covers a second death under the same requests before
// the news of the first one arrived.
func TestUnwarnedDispatcher(t *testing.T) {
	const poison, innocent = 1, 2
	l := newLedger()
	l.addDeath(&Crash{ID: "a", At: now, Running: []Fingerprint{poison, innocent}})
	l.addDeath(&Crash{ID: "b", At: now, Running: []Fingerprint{poison, innocent}})
	must.Eq(t, Hold, l.judge(poison, now))
	must.Eq(t, Hold, l.judge(innocent, now))
	must.Eq(t, Isolate, l.judge(innocent, now.Add(HoldPeriod)))
	l.clear(clearance{"a", innocent}, now)
	l.clear(clearance{"b", innocent}, now)
	must.Eq(t, Allow, l.judge(innocent, now))
	must.Eq(t, Reject, l.judge(poison, now))
}

func TestClearanceMayComeBeforeItsDeath(t *testing.T) {
	l := newLedger()
	l.clear(clearance{"a", 1}, now)
	l.addDeath(&Crash{ID: "a", At: now, Running: []Fingerprint{1, 2}})
	must.Eq(t, Allow, l.judge(1, now))
	must.Eq(t, Isolate, l.judge(2, now))
}

func TestSuspicionExpiresAndIsBounded(t *testing.T) {
	l := newLedger()
	for i := range maxDeaths + 10 {
		l.addDeath(&Crash{ID: CrashID(fmt.Sprint(i)), At: now, Running: []Fingerprint{Fingerprint(i)}})
	}
	must.MapLen(t, maxDeaths, l.deaths)
	must.Eq(t, Allow, l.judge(0, now))
	l.expire(now.Add(ExpiryPeriod + time.Second))
	must.MapEmpty(t, l.deaths)
	must.MapEmpty(t, l.by)
	must.Eq(t, Allow, l.judge(20, now))
}
