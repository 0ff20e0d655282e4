package poison

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/model"
)

// TestMain sets a fixed seed for the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var now = time.Unix(1_700_000_000, 0)

// fleetModel models a fleet whose dispatchers all share one ledger without delay.
type fleetModel struct {
	ledger  *ledger
	poison  map[Fingerprint]bool
	crashes map[Fingerprint]int // number of crashes caused by each request
}

// run sends requests to a server, together or alone as the decisions on them allow.
func (m *fleetModel) run(t *rapid.T, requests []Fingerprint) {
	var shared []Fingerprint
	for _, f := range requests {
		switch m.ledger.decide(f, now) {
		case Allow:
			shared = append(shared, f)
		case Isolate:
			m.serve([]Fingerprint{f})
		case Hold, Reject:
			if !m.poison[f] {
				t.Fatalf("request %d is held or rejected, but it never crashes a server", f)
			}
		}
	}
	m.serve(shared)
}

// serve runs requests together on one server, which crashes if one of them is poison.
func (m *fleetModel) serve(running []Fingerprint) {
	crashed := false
	for _, f := range running {
		if m.poison[f] {
			m.crashes[f]++
			crashed = true
		}
	}
	if crashed {
		id := CrashID(fmt.Sprint(len(m.ledger.crashes)))
		m.ledger.addCrash(&Crash{ID: id, At: now, Running: running}, now)
		return
	}
	for _, f := range running {
		for _, crash := range m.ledger.uncleared(f) {
			m.ledger.clear(clearance{crash.ID, f}, now)
		}
	}
}

func TestPoisonRequestStopsAfterTwoCrashesAndOthersRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{ledger: newLedger(), poison: map[Fingerprint]bool{}, crashes: map[Fingerprint]int{}}
		for _, f := range rapid.SliceOfN(rapid.Uint64Range(0, 9), 0, 3).Draw(t, "poison") {
			m.poison[Fingerprint(f)] = true
		}
		batches := rapid.SliceOfN(rapid.SliceOfNDistinct(rapid.Uint64Range(0, 9), 1, 4, rapid.ID), 1, 40).Draw(t, "batches")
		for _, batch := range batches {
			var requests []Fingerprint
			for _, f := range batch {
				requests = append(requests, Fingerprint(f))
			}
			m.run(t, requests)
		}
		for f, count := range m.crashes {
			if count > 2 {
				t.Fatalf("request %d crashed %d servers, want at most 2", f, count)
			}
		}
	})
}

// TestRequestsAtTheSameTwoCrashesAreHeldFirst covers two requests that crash a second server
// together because its dispatcher had not yet received the first crash.
func TestRequestsAtTheSameTwoCrashesAreHeldFirst(t *testing.T) {
	const poison, other = 1, 2
	l := newLedger()
	l.addCrash(&Crash{ID: "a", At: now, Running: []Fingerprint{poison, other}}, now)
	l.addCrash(&Crash{ID: "b", At: now, Running: []Fingerprint{poison, other}}, now)
	must.Eq(t, Hold, l.decide(poison, now))
	must.Eq(t, Hold, l.decide(other, now))
	must.Eq(t, Isolate, l.decide(other, now.Add(HoldPeriod)))
	l.clear(clearance{"a", other}, now)
	l.clear(clearance{"b", other}, now)
	must.Eq(t, Allow, l.decide(other, now))
	must.Eq(t, Reject, l.decide(poison, now))
}

func TestClearanceMayArriveBeforeItsCrash(t *testing.T) {
	l := newLedger()
	l.clear(clearance{"a", 1}, now)
	l.addCrash(&Crash{ID: "a", At: now, Running: []Fingerprint{1, 2}}, now)
	must.Eq(t, Allow, l.decide(1, now))
	must.Eq(t, Isolate, l.decide(2, now))
}

func TestCrashesExpireAndAreBounded(t *testing.T) {
	l := newLedger()
	for i := range maxCrashes + 10 {
		l.addCrash(&Crash{ID: CrashID(fmt.Sprint(i)), At: now, Running: []Fingerprint{Fingerprint(i)}}, now)
	}
	must.MapLen(t, maxCrashes, l.crashes)
	must.Eq(t, Allow, l.decide(0, now))
	l.expire(now.Add(ExpiryPeriod + time.Second))
	must.MapEmpty(t, l.crashes)
	must.MapEmpty(t, l.byFingerprint)
	must.Eq(t, Allow, l.decide(20, now))
}

// A completion that is announced says nothing about crashes after it.
func TestAnnouncedCompletionClearsEarlierCrashesOnly(t *testing.T) {
	const f Fingerprint = 1
	l := newLedger()
	for i, at := range []time.Time{now, now.Add(time.Second), now.Add(time.Minute), now.Add(time.Minute + time.Second)} {
		id := CrashID(fmt.Sprint(i))
		l.addCrash(&Crash{ID: id, Server: model.ServerRef{Server: model.ServerID(id)}, StartedMS: int64(i + 1), At: at, Running: []Fingerprint{f}}, at)
	}
	later := now.Add(2 * time.Minute)
	must.Eq(t, Reject, l.decide(f, later))
	l.completedElsewhere(f, now.Add(2*time.Second), now.Add(2*time.Second))
	must.Eq(t, Reject, l.decide(f, later))
	l.completedElsewhere(f, later, later)
	must.Eq(t, Allow, l.decide(f, later.Add(time.Hour)))
}
