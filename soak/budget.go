package main

import (
	"slices"
	"time"
)

// budgetWindow is the time within which retries are counted.
const budgetWindow = 10 * time.Second

// Requested records that a request to a service was sent.
func (m *Monitor) Requested(service string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requested[service] = append(m.requested[service], at)
}

// CheckRetryBudget checks that in no window a service got more retries from all daemons
// together than their settings allow.
func (m *Monitor) CheckRetryBudget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, requested := range m.requested {
		slices.SortFunc(requested, time.Time.Compare)
		m.checkBudget(service, requested, m.retries(service))
	}
}

// checkBudget checks the windows that begin with a retry. The requests are those of the
// window, of the one before it or of the one half a window before it, whichever has most.
// The caller must hold m.mu.
func (m *Monitor) checkBudget(service string, requested, retries []time.Time) {
	for _, from := range retries {
		requests := max(countWindow(requested, from), countWindow(requested, from.Add(-budgetWindow/2)),
			countWindow(requested, from.Add(-budgetWindow)))
		allowed := retryShare*float64(requests) + retryExtra
		found := countWindow(retries, from)
		if float64(found) > allowed {
			m.breakPromise("retry budget", "", "service %s got %d retries in %v from %.2fs, %.0f allowed", service, found,
				budgetWindow, from.Sub(m.started).Seconds(), allowed)
			return
		}
	}
}

// retries returns when requests arrived at a service that had arrived there before, in
// order. The caller must hold m.mu.
func (m *Monitor) retries(service string) []time.Time {
	arrived := map[string]bool{}
	var retries []time.Time
	for _, a := range m.arrivals {
		if a.service != service {
			continue
		}
		if arrived[a.ID] {
			retries = append(retries, a.Arrived)
		}
		arrived[a.ID] = true
	}
	slices.SortFunc(retries, time.Time.Compare)
	return retries
}

// countWindow returns how many of some sorted times are in the window that begins at from.
func countWindow(times []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(budgetWindow), time.Time.Compare)
	return end - first
}
