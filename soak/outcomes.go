package main

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Result is how a request ended for its caller.
type Result string

// Results of requests.
const (
	Served  Result = "served"  // with status 200
	Refused Result = "refused" // with a status that promises that it did not run
	Failed  Result = "failed"  // with another status
	Closed  Result = "closed"  // the connection ended without an answer
	GaveUp  Result = "gave up" // the caller's own time passed
	NoConn  Result = "no conn" // no connection was made
)

var results = []Result{Served, Refused, Failed, Closed, GaveUp, NoConn}

// Outcome is what a caller saw of one request.
type Outcome struct {
	ID          string
	AtMostOnce  bool // the request must not run twice
	Daemon      string
	Incarnation int // of the daemon when the request was sent
	Sent, Ended time.Time
	Result      Result
	Status      int
	Server      string // that ran the request, if it was served
	checked     bool   // the number of its runs was compared once
}

// resultOf returns the result that a status stands for.
func resultOf(status int) Result {
	switch status {
	case fasthttp.StatusOK:
		return Served
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return Refused
	default:
		return Failed
	}
}

// isDenial reports whether a status says that the request itself is at fault, which is
// never true of the callers' requests.
func isDenial(status int) bool {
	return status >= 400 && status < 500 && resultOf(status) != Refused
}

// Observe records an outcome and checks what can be told at once.
func (m *Monitor) Observe(o Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outcomes = append(m.outcomes, o)
	if isDenial(o.Status) {
		m.breakPromise("denied", o.ID, "%s answered a proper request with status %d", o.Daemon, o.Status)
	}
	if o.Result == Served {
		m.checkDrained(o)
	}
}

// checkDrained checks that a request that was served was not sent to a server that had
// left, by a daemon that had to know. Requests over a link that has just been impaired may
// have been held up. The caller must hold m.mu.
func (m *Monitor) checkDrained(o Outcome) {
	left, leaving := m.departures[o.Server]
	late := o.Sent.Sub(left.at)
	if !leaving || !left.stable || late <= drainBound || m.linkWasImpaired(o.Server, o.Sent, o.Ended) {
		return
	}
	if m.daemonCalm(o.Daemon, o.Sent, o.Ended) || m.hasHeard(o.Daemon, left, o.Ended) {
		m.breakPromise("drained server", o.ID, "%s sent a request to %s, which had left %v before", o.Daemon, o.Server, late.Round(time.Millisecond))
	}
}

// hasHeard reports whether a daemon has heard of a departure while the store was calm, and
// had no fault of its own since. What the store does later is no excuse for it. The caller
// must hold m.mu.
func (m *Monitor) hasHeard(daemon string, left departure, now time.Time) bool {
	storeCalm := m.calm(left.at, left.at.Add(drainBound), func(i *interval) bool { return i.class.isStore() })
	return storeCalm && m.calm(left.at, now, func(i *interval) bool { return i.class == classDaemon && i.target == daemon })
}

// CheckRuns compares the number of runs of each request with its outcome, once for each
// outcome that is old enough or, with all set, for all outcomes.
func (m *Monitor) CheckRuns(f *Fleet, all bool) {
	for _, o := range m.unchecked(all) {
		runs := f.runs(o.ID)
		if o.AtMostOnce && runs > 1 {
			m.Broken("at most once", o.ID, "ran %d times; sent to %s, status %d", runs, o.Daemon, o.Status)
		}
		if o.AtMostOnce && o.Result == Refused && runs > 0 {
			m.Broken("not run", o.ID, "%s answered with status %d, but it ran %d times", o.Daemon, o.Status, runs)
		}
		if o.Result == Served && runs == 0 {
			m.Broken("own answer", o.ID, "%s answered with status 200, but it never ran", o.Daemon)
		}
		if o.Result == Closed {
			m.checkClosed(o, runs)
		}
	}
}

// runsSettle is the age at which the runs of an outcome are compared first.
const runsSettle = time.Second

func (m *Monitor) unchecked(all bool) []Outcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []Outcome
	for i := range m.outcomes {
		o := &m.outcomes[i]
		if all || !o.checked && time.Since(o.Ended) > runsSettle {
			o.checked = true
			due = append(due, *o)
		}
	}
	return due
}

// checkClosed checks that maintenance alone aborted no request that the daemon had read.
func (m *Monitor) checkClosed(o Outcome, runs int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	age := o.Ended.Sub(o.Sent)
	if (runs > 0 || age > lossSlack) && m.onlyPlanned(o.Sent, o.Ended) {
		m.breakPromise("aborted", o.ID, "%s closed the connection after %v without an answer; the request ran %d times", o.Daemon, age.Round(time.Millisecond), runs)
	}
}
