package main

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
	for _, kind := range []Kind{"pause", "store-down"} {
		m := startedMonitor()
		m.Drained("s0", time.Now().Add(-10*time.Second))
		m.Begin(Event{Kind: kind, Target: "d0"})()
		m.Observe(served("d0", "s0", time.Now()))
		m.Observe(served("d0", "s0", time.Now().Add(contact-100*time.Millisecond)))
		must.SliceEmpty(t, m.promises())
		m.Observe(served("d0", "s0", time.Now().Add(contact+100*time.Millisecond)))
		must.Eq(t, []string{"drained server"}, m.promises())
	}
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
