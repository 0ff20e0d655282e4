package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

// startedMonitor returns a monitor of a run that began a minute ago.
func startedMonitor() *Monitor {
	m := NewMonitor()
	m.started = time.Now().Add(-time.Minute)
	return m
}

func (m *Monitor) promises() []string {
	var promises []string
	for _, b := range m.broken {
		promises = append(promises, b.Promise)
	}
	return promises
}

func served(daemon, server string, sent time.Time) Outcome {
	return Outcome{ID: "r1", Daemon: daemon, Server: server, Result: Served, Status: 200, Sent: sent, Ended: sent}
}

func TestRequestsToDrainedServersAreReported(t *testing.T) {
	m := startedMonitor()
	left := time.Now().Add(-10 * time.Second)
	m.Drained("s0", left)
	m.Observe(served("d0", "s0", left.Add(drainBound)))
	must.SliceEmpty(t, m.promises())
	m.Observe(served("d0", "s0", left.Add(drainBound+time.Millisecond)))
	must.Eq(t, []string{"drained server"}, m.promises())
}

func TestDaemonsOutOfTouchAreExcused(t *testing.T) {
	for _, kind := range []Kind{"pause", "store-down", "store-restore"} {
		m := startedMonitor()
		m.Drained("s0", time.Now().Add(-time.Second))
		m.Begin(Event{Kind: kind, Target: "d0"})()
		m.Observe(served("d0", "s0", time.Now().Add(drainBound)))
		m.Observe(served("d0", "s0", time.Now().Add(contact-100*time.Millisecond)))
		must.SliceEmpty(t, m.promises())
		m.Observe(served("d0", "s0", time.Now().Add(contact+100*time.Millisecond)))
		must.Eq(t, []string{"drained server"}, m.promises())
	}
}

// A daemon that heard of a departure before the store failed must not forget it.
func TestDaemonsThatHeardOfADepartureAreNotExcusedByTheStore(t *testing.T) {
	for kind, want := range map[Kind][]string{
		"store-down": {"drained server"}, "store-restore": {"drained server"}, "pause": nil, "kill": nil, "store-link-silence": nil,
	} {
		m := startedMonitor()
		m.Drained("s0", time.Now().Add(-10*time.Second))
		m.Begin(Event{Kind: kind, Target: "d0"})()
		m.Observe(served("d0", "s0", time.Now()))
		must.Eq(t, want, m.promises(), must.Sprint(kind))
	}
}

// A request over a link that was impaired a moment ago may have been held up.
func TestRequestsToDrainedServersOverImpairedLinksAreExcused(t *testing.T) {
	m := startedMonitor()
	m.Drained("s0-1", time.Now().Add(-10*time.Second))
	m.Begin(Event{Kind: "server-link-delay", Target: "s0"})()
	m.Observe(served("d0", "s0-1", time.Now().Add(contact-100*time.Millisecond)))
	must.SliceEmpty(t, m.promises())
	m.Observe(served("d0", "s0-1", time.Now().Add(contact+100*time.Millisecond)))
	must.Eq(t, []string{"drained server"}, m.promises())
}

func TestStaleSettingsAreReported(t *testing.T) {
	m := startedMonitor()
	now := time.Now()
	m.Configured(7, now.Add(-configApply))
	m.checkVersion(Outcome{ID: "r1", Daemon: "d0", Sent: now.Add(-time.Millisecond), Ended: now}, 7, false, true)
	m.checkVersion(Outcome{ID: "r2", Daemon: "d0", Sent: now.Add(time.Second), Ended: now.Add(time.Second)}, 7, true, false)
	must.SliceEmpty(t, m.promises())
	m.checkVersion(Outcome{ID: "r3", Daemon: "d0", Sent: now.Add(time.Second), Ended: now.Add(time.Second)}, 7, false, true)
	m.checkVersion(Outcome{ID: "r4", Daemon: "d0", Sent: now.Add(time.Second), Ended: now.Add(time.Second)}, 6, true, false)
	must.Eq(t, []string{"stale settings", "stale settings"}, m.promises())
}

// In a series of configurations the newest one is never old, and no daemon that was late was
// reported, however old the version that it used.
func TestStaleSettingsAreReportedInASeriesOfConfigurations(t *testing.T) {
	m := startedMonitor()
	now := time.Now()
	for version := 2; version <= 20; version++ {
		m.Configured(version, now.Add(time.Duration(version-20)*stormPause))
	}
	probe := func(id string, version int) {
		m.checkVersion(Outcome{ID: id, Daemon: "d0", Sent: now, Ended: now}, version, true, false)
	}
	probe("r1", 20)
	probe("r2", 11) // 12 was written 2 s ago
	must.SliceEmpty(t, m.promises())
	probe("r3", 10) // 11 was written 2.25 s ago
	must.Eq(t, []string{"stale settings"}, m.promises())
}

// What the store has lost was in force until it was written again.
func TestSettingsThatWereLostCountFromWhenTheyAreWrittenAgain(t *testing.T) {
	m := startedMonitor()
	now := time.Now()
	m.Configured(7, now.Add(-20*time.Second))
	m.Configured(8, now.Add(-10*time.Second))
	m.Configured(8, now)
	for version := range 8 {
		sent := now.Add(configApply)
		m.checkVersion(Outcome{ID: fmt.Sprint(version), Daemon: "d0", Sent: sent, Ended: sent}, version, true, false)
	}
	must.SliceEmpty(t, m.promises())
}

// The rule binds a daemon that other daemons don't reach, as it reaches the store.
func TestOnlyDaemonsThatReachTheStoreAreCalm(t *testing.T) {
	for kind, calm := range map[Kind]bool{"peer-link-cut-up": true, "peer-link-cut-down": true, "peer-link-delay": false, "store-link-cut-up": false} {
		m := startedMonitor()
		m.Begin(Event{Kind: kind, Target: "d0"})
		must.Eq(t, calm, m.daemonCalm("d0", time.Now(), time.Now()), must.Sprint(kind))
	}
}

func TestSettingsThatGoBackAreReportedWithinOneIncarnation(t *testing.T) {
	m := startedMonitor()
	m.Configured(7, time.Now())
	p := &prober{daemon: &daemonProc{name: "d0"}, monitor: m}
	answer := func(id string, incarnation, status, version int, at time.Duration) {
		sent := time.Now().Add(at)
		p.check(Outcome{ID: id, Daemon: "d0", Incarnation: incarnation, Status: status, Sent: sent, Ended: sent}, version)
	}
	answer("r1", 1, 200, 7, 0)
	answer("r2", 1, 200, 6, rollbackSlack/2)
	answer("r3", 2, 200, 6, 2*rollbackSlack)
	must.SliceEmpty(t, m.promises())
	answer("r4", 2, 200, 7, 3*rollbackSlack)
	answer("r5", 2, 200, 6, 5*rollbackSlack)
	answer("r6", 2, 404, 7, 5*rollbackSlack)
	must.Eq(t, []string{"settings went back", "settings went back"}, m.promises())
}

func TestOwnershipViolationsAreExcusedOnlyWhileGrantsMayBeLate(t *testing.T) {
	m := startedMonitor()
	m.Begin(Event{Kind: "pause", Target: "d0"})()
	m.OwnershipViolated("late grant")
	must.SliceEmpty(t, m.promises())
	must.Eq(t, 1, m.excused)
	m.faults[0].to = time.Now().Add(-2 * thawSlack)
	m.OwnershipViolated("second owner")
	must.Eq(t, []string{"one owner"}, m.promises())
}

func TestAbortedRequestsAreReportedDuringMaintenanceOnly(t *testing.T) {
	m := startedMonitor()
	m.Begin(Event{Kind: "term", Target: "d0"})()
	now := time.Now()
	m.checkClosed(Outcome{ID: "r1", Sent: now, Ended: now.Add(lossSlack)}, 0)
	must.SliceEmpty(t, m.promises())
	m.checkClosed(Outcome{ID: "r2", Sent: now, Ended: now.Add(2 * lossSlack)}, 0)
	m.checkClosed(Outcome{ID: "r3", Sent: now, Ended: now}, 1)
	must.Eq(t, []string{"aborted", "aborted"}, m.promises())
	m.Begin(Event{Kind: "kill", Target: "d0"})()
	m.checkClosed(Outcome{ID: "r4", Sent: time.Now(), Ended: time.Now()}, 1)
	must.SliceLen(t, 2, m.promises())
}

// passOn records a request that d0 sent to s0-1 at a time. The answer is passed on after a
// millisecond, unless the server asks for a pause.
func (m *Monitor) passOn(id string, sent time.Time, a fenced.Arrival) {
	a.ID, a.Arrived, a.Answered = id, sent, sent
	m.Reached("s0-1", plainService, a)
	o := served("d0", "s0-1", sent)
	o.ID, o.Incarnation, o.Ended = id, 1, sent.Add(time.Millisecond)
	if a.Pause > 0 {
		o.Result, o.Status, o.Server = Refused, a.Status, ""
	}
	m.Observe(o)
}

func TestRequestsToServerThatSaidItLeavesAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		late time.Duration // from the end of the time in which the server may be used
		kind Kind          // of a fault of the daemon in between
		want []string
	}{
		"within the bound":            {late: 0},
		"late":                        {late: 2 * time.Millisecond, want: []string{"leaving server"}},
		"late and out of touch":       {late: 2 * time.Millisecond, kind: "store-link-silence", want: []string{"leaving server"}},
		"late, the daemon was paused": {late: 2 * time.Millisecond, kind: kindPause},
	} {
		t.Run(name, func(t *testing.T) {
			m := startedMonitor()
			told := time.Now().Add(-time.Second)
			m.passOn("r1", told, fenced.Arrival{Status: fasthttp.StatusOK, Leaving: true})
			if test.kind != "" {
				m.Begin(Event{Kind: test.kind, Target: "d0"})()
			}
			m.passOn("r2", told.Add(drainBound+test.late), fenced.Arrival{Status: fasthttp.StatusOK})
			m.passOn("r3", told.Add(2*drainBound), fenced.Arrival{Status: fasthttp.StatusMisdirectedRequest})
			m.CheckSigns()
			must.Eq(t, test.want, m.promises())
		})
	}
}

func TestSignBindsOnlyTheDaemonThatPassedItOn(t *testing.T) {
	m := startedMonitor()
	told := time.Now().Add(-time.Minute)
	m.passOn("r1", told, fenced.Arrival{Status: fasthttp.StatusOK, Leaving: true})
	m.Reached("s0-1", plainService, fenced.Arrival{ID: "r2", Arrived: told.Add(10 * time.Second)})
	m.Observe(Outcome{ID: "r2", Daemon: "d1", Incarnation: 1, Sent: told.Add(10 * time.Second), Ended: told.Add(10 * time.Second)})
	m.Reached("s0-1", plainService, fenced.Arrival{ID: "r3", Arrived: told.Add(10 * time.Second)})
	m.Observe(Outcome{ID: "r3", Daemon: "d0", Incarnation: 2, Sent: told.Add(10 * time.Second), Ended: told.Add(10 * time.Second)})
	m.CheckSigns()
	must.SliceEmpty(t, m.promises())
}

func TestRequestsToServerThatAskedForPauseAreReported(t *testing.T) {
	const pause = 2 * time.Second
	for name, test := range map[string]struct {
		count  int           // of requests
		first  time.Duration // from the server's answer to the first one
		kind   Kind          // of a fault in between
		target string
		want   []string
	}{
		"on their way":              {count: 5, first: pauseSlack - 10*time.Millisecond},
		"few":                       {count: pauseExcess, first: pauseSlack + time.Millisecond},
		"many":                      {count: pauseExcess + 1, first: pauseSlack + time.Millisecond, want: []string{"paused server"}},
		"many after it":             {count: 5, first: pause + time.Millisecond},
		"many, store out of touch":  {count: 5, first: pauseSlack + time.Millisecond, kind: "store-link-silence", target: "d0", want: []string{"paused server"}},
		"many, daemon was paused":   {count: 5, first: pauseSlack + time.Millisecond, kind: kindPause, target: "d0"},
		"many, link of the server":  {count: 5, first: pauseSlack + time.Millisecond, kind: "server-link-delay", target: "s0"},
		"many, link of another one": {count: 5, first: pauseSlack + time.Millisecond, kind: "server-link-delay", target: "s1", want: []string{"paused server"}},
	} {
		t.Run(name, func(t *testing.T) {
			m := startedMonitor()
			asked := time.Now().Add(-pauseSlack)
			m.passOn("r0", asked, fenced.Arrival{Status: fasthttp.StatusServiceUnavailable, Pause: pause})
			if test.kind != "" {
				m.Begin(Event{Kind: test.kind, Target: test.target})()
			}
			for i := range test.count {
				m.passOn(fmt.Sprintf("r%d", i+1), asked.Add(test.first+time.Duration(i)*time.Millisecond), fenced.Arrival{Status: fasthttp.StatusOK})
			}
			m.CheckSigns()
			must.Eq(t, test.want, m.promises())
		})
	}
}

func TestLostRequestsAreReported(t *testing.T) {
	m := startedMonitor()
	lose := func(id, daemon, server string, reached bool) {
		o := Outcome{ID: id, Daemon: daemon, Sent: time.Now(), Ended: time.Now(), Result: Closed}
		if reached {
			m.Reached(server, plainService, fenced.Arrival{ID: id, Arrived: o.Sent, Answered: o.Ended})
		}
		m.Observe(o)
	}
	m.Begin(Event{Kind: "caller-link-reset", Target: "d1"})()
	m.Begin(Event{Kind: "server-crash", Target: "s1"})()
	m.Begin(Event{Kind: "store-down"})()
	for i := range 10 {
		lose(fmt.Sprintf("a%d", i), "d1", "s0-0", true)
		lose(fmt.Sprintf("b%d", i), "d0", "s1-0", true)
		lose(fmt.Sprintf("c%d", i), "d0", "s0-0", false)
	}
	for i := range lostExcess {
		lose(fmt.Sprintf("d%d", i), "d0", "s0-0", true)
	}
	m.CheckLost()
	must.SliceEmpty(t, m.promises())
	lose("e", "d0", "s0-0", true)
	m.CheckLost()
	must.Eq(t, []string{"lost", "lost", "lost", "lost"}, m.promises())
}
