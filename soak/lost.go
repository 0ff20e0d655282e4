package main

import (
	"strings"
	"time"
)

// lostExcess is the number of requests of a run that may be lost.
const lostExcess = 3

// CheckLost checks that daemons without faults lose no more than lostExcess requests: that
// they don't close the connection of a caller without an answer after they have passed its
// request on to a server without faults.
func (m *Monitor) CheckLost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	reached := map[string]serverArrival{}
	for _, a := range m.arrivals {
		reached[a.ID] = a
	}
	var lost []Outcome
	for _, o := range m.outcomes {
		if a, passedOn := reached[o.ID]; passedOn && o.Result == Closed && m.allCalm(o, a) {
			lost = append(lost, o)
		}
	}
	if len(lost) <= lostExcess {
		return
	}
	for _, o := range lost {
		m.breakPromise("lost", o.ID, "%s closed the connection %v after the request, which had reached %s", o.Daemon,
			o.Ended.Sub(o.Sent).Round(time.Millisecond), reached[o.ID].server)
	}
}

// allCalm reports whether neither the daemon nor the server of a request had a fault, nor the
// store if the request has a key. The caller must hold m.mu.
func (m *Monitor) allCalm(o Outcome, a serverArrival) bool {
	slot, _, _ := strings.Cut(a.server, "-")
	return m.calm(o.Sent, o.Ended, func(i *interval) bool {
		switch i.class {
		case classDaemon:
			return i.target == o.Daemon
		case classServer:
			return i.target == slot
		case classStore, classRestore:
			return a.service == keyedService
		}
		return false
	})
}
