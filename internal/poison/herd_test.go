package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/model"
)

// herdModel models a fleet in which each daemon reports the crash of a server for
// every request that it had there, on its own, as the gateway does.
type herdModel struct {
	ledger  *ledger
	now     time.Time
	started int64 // of the server process that started last
	reports int
}

// crash records that one server process ended while the requests were running there.
func (m *herdModel) crash(running ...Fingerprint) {
	m.started++
	for _, f := range running {
		m.reports++
		m.ledger.addCrash(&Crash{
			ID:        CrashID(fmt.Sprint(m.reports)),
			Server:    model.ServerRef{Pool: "p", Server: model.ServerID(fmt.Sprint("s", m.started))},
			StartedMS: m.started,
			At:        m.now,
			Running:   []Fingerprint{f},
		}, m.now)
	}
}

// complete records that a request completed and clears it as Table.Clear does.
func (m *herdModel) complete(f Fingerprint) {
	m.ledger.completed.add(f, m.now)
	for _, crash := range m.ledger.uncleared(f) {
		m.ledger.clear(clearance{crash.ID, f}, m.now)
	}
}

func newHerdModel() *herdModel { return &herdModel{ledger: newLedger(), now: now} }

// A request that completes all the time is never refused, however many of the servers
// that run it crash together, while a request that crashes its servers is refused after
// its second crash, or its third if it came in the middle of a herd.
func TestPopularRequestIsServedThroughHerdsAndCrasherIsStopped(t *testing.T) {
	const popular, crasher, firstOther = 1, 2, 100
	rapid.Check(t, func(t *rapid.T) {
		m := newHerdModel()
		others := Fingerprint(firstOther)
		crashes, herds := 0, 0
		m.complete(popular)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				m.complete(popular)
			case 1: // a herd of servers crashes, each with the popular request and another one
				herds++
				for range rapid.IntRange(1, 8).Draw(t, "herd") {
					others++
					m.crash(popular, others)
				}
			default:
				if m.ledger.decide(crasher, m.now) != Reject {
					crashes++
					m.crash(crasher, popular)
				}
			}
			must.NotEq(t, Reject, m.ledger.decide(popular, m.now))
			m.complete(popular)
		}
		most := crashesToReject
		if herds > 0 {
			most += herdExtraCrashes
		}
		must.LessEq(t, most, crashes)
	})
}

// A request that was sent again after its server had crashed, and whose second server
// crashed in the same herd, is not refused.
func TestRetriedRequestIsNotRefusedAfterTwoCrashesOfHerd(t *testing.T) {
	const retried = 1
	m := newHerdModel()
	for other := range Fingerprint(herdCrashes) {
		m.crash(100 + other)
	}
	m.crash(retried)
	m.now = m.now.Add(time.Second)
	m.crash(retried)
	must.NotEq(t, Reject, m.ledger.decide(retried, m.now))
	m.crash(retried)
	must.Eq(t, Reject, m.ledger.decide(retried, m.now))
}

// Several reports of the end of one process are one crash.
func TestReportsOfOneProcessCountOnce(t *testing.T) {
	const f = 1
	l := newLedger()
	for _, id := range []CrashID{"a", "b", "c"} {
		l.addCrash(&Crash{ID: id, StartedMS: 7, At: now, Running: []Fingerprint{f}}, now)
	}
	must.Eq(t, Isolate, l.decide(f, now))
	l.addCrash(&Crash{ID: "d", StartedMS: 8, At: now, Running: []Fingerprint{f}}, now)
	must.Eq(t, Reject, l.decide(f, now))
}

func TestCompletionsAreBoundedAndExpire(t *testing.T) {
	c := newCompletions()
	for f := range Fingerprint(maxCompletions + 10) {
		c.add(f, now)
	}
	must.MapLen(t, maxCompletions, c.entries)
	must.False(t, c.recent(9, now))
	must.True(t, c.recent(10, now))
	must.False(t, c.recent(10, now.Add(completionsMemory)))
}
