package main

import (
	"sort"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

// Bounds of what servers say in their answers.
const (
	pauseSlack  = 500 * time.Millisecond // from a server's asking for a pause, for requests on their way
	pauseExcess = 2                      // requests of a daemon that may reach the server in the rest of the pause
)

// serverArrival is a request that reached a server.
type serverArrival struct {
	fenced.Arrival
	server  string
	service string
}

// Reached records a request that reached a server.
func (m *Monitor) Reached(server, service string, a fenced.Arrival) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrivals = append(m.arrivals, serverArrival{a, server, service})
}

// path is one process of a daemon and one of a server.
type path struct {
	daemon      string
	incarnation int
	server      string
}

// passed is a request that a daemon passed on to a server.
type passed struct {
	fenced.Arrival
	outcome *Outcome
}

// CheckSigns checks that daemons heed what servers say in their answers: that they leave,
// and that they want no requests for a time.
func (m *Monitor) CheckSigns() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p, requests := range m.passedOn() {
		m.checkLeaving(p, requests)
		m.checkPauses(p, requests)
	}
}

// passedOn returns the requests that each daemon passed on to each server, in the order of
// their arrival. The caller must hold m.mu.
func (m *Monitor) passedOn() map[path][]passed {
	outcomes := make(map[string]*Outcome, len(m.outcomes))
	for i := range m.outcomes {
		outcomes[m.outcomes[i].ID] = &m.outcomes[i]
	}
	requests := map[path][]passed{}
	for _, a := range m.arrivals {
		if o := outcomes[a.ID]; o != nil {
			p := path{o.Daemon, o.Incarnation, a.server}
			requests[p] = append(requests[p], passed{a.Arrival, o})
		}
	}
	for _, list := range requests {
		sort.Slice(list, func(i, j int) bool { return list[i].Arrived.Before(list[j].Arrived) })
	}
	return requests
}

// checkLeaving checks that no request which a caller sent later than drainBound after the
// daemon had passed on the server's sign reached the server, unless the daemon was paused
// since. The caller must hold m.mu.
func (m *Monitor) checkLeaving(p path, requests []passed) {
	signs := signsPassedOn(p, requests)
	for _, r := range requests {
		if r.Status == fasthttp.StatusMisdirectedRequest {
			continue
		}
		told := lastBefore(signs, r.outcome.Sent.Add(-drainBound))
		if told.IsZero() || m.wasPaused(p.daemon, told, r.Arrived) {
			continue
		}
		m.breakPromise("leaving server", r.ID, "%s sent a request to %s, which had said %v before that it leaves",
			p.daemon, p.server, r.outcome.Sent.Sub(told).Round(time.Millisecond))
	}
}

// signsPassedOn returns when the daemon passed on answers by which the server said that it
// leaves.
func signsPassedOn(p path, requests []passed) []time.Time {
	var signs []time.Time
	for _, r := range requests {
		if r.Leaving && r.outcome.Result == Served && r.outcome.Server == p.server {
			signs = append(signs, r.outcome.Ended)
		}
	}
	return signs
}

// lastBefore returns the last one of some times before a moment, or zero if there is none.
func lastBefore(times []time.Time, moment time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.Before(moment) && t.After(last) {
			last = t
		}
	}
	return last
}

// checkPauses checks that at most pauseExcess requests reached the server between
// pauseSlack after it had asked for a pause and the end of that. The caller must hold m.mu.
func (m *Monitor) checkPauses(p path, requests []passed) {
	for _, asking := range requests {
		waited := asking.Answered.Sub(asking.Arrived)
		if asking.Status != fasthttp.StatusServiceUnavailable || asking.Pause == 0 || waited > lossSlack {
			continue // after a wait, the daemon may have left before the answer
		}
		late := arrivedWithin(requests, asking.Answered.Add(pauseSlack), asking.Answered.Add(asking.Pause))
		if len(late) <= pauseExcess {
			continue
		}
		first := late[pauseExcess]
		if m.wasPaused(p.daemon, asking.Answered, first.Arrived) || m.linkWasImpaired(p.server, asking.Answered, first.Arrived) {
			continue
		}
		m.breakPromise("paused server", first.ID, "%s sent %d requests to %s, which had asked for a pause; this one %v after it",
			p.daemon, len(late), p.server, first.Arrived.Sub(asking.Answered).Round(time.Millisecond))
	}
}

// arrivedWithin returns the requests that arrived within a time.
func arrivedWithin(requests []passed, from, to time.Time) []passed {
	first := sort.Search(len(requests), func(i int) bool { return requests[i].Arrived.After(from) })
	end := sort.Search(len(requests), func(i int) bool { return requests[i].Arrived.After(to) })
	return requests[first:max(first, end)]
}

// wasPaused reports whether a daemon was paused within a time. The caller must hold m.mu.
func (m *Monitor) wasPaused(daemon string, from, to time.Time) bool {
	return m.hadFault(from, to, func(i *interval) bool { return i.kind == kindPause && i.target == daemon })
}

// linkWasImpaired reports whether the connections to a server had a fault within a time
// or in the contact time before its end. The caller must hold m.mu.
func (m *Monitor) linkWasImpaired(server string, from, to time.Time) bool {
	if held := to.Add(-contact); held.Before(from) {
		from = held
	}
	slot, _, _ := strings.Cut(server, "-")
	return m.hadFault(from, to, func(i *interval) bool {
		return strings.HasPrefix(string(i.kind), serverLinkPrefix) && i.target == slot
	})
}
