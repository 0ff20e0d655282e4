package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

// arrive lets requests arrive at a service at a time, each as often as arrivals says.
func arrive(m *Monitor, service string, requests, arrivals int, at time.Time) {
	for i := range requests {
		for range arrivals {
			m.Reached("s0-0", service, fenced.Arrival{ID: fmt.Sprintf("%s-%d-%d", service, at.UnixNano(), i), Arrived: at})
		}
	}
}

// The allowed retries are those of the settings: 20 and a fifth of 100 requests.
func TestRetriesBeyondTheBudgetAreReported(t *testing.T) {
	m := startedMonitor()
	at := time.Now()
	for range 100 {
		m.Requested(plainService, at.Add(2*time.Second-budgetWindow))
		m.Requested(keyedService, at.Add(-3*budgetWindow))
	}
	arrive(m, plainService, 100, 1, at)
	arrive(m, plainService, 20, 2, at.Add(time.Second))
	arrive(m, plainService, 10, 3, at.Add(time.Second+budgetWindow/2))
	m.CheckRetryBudget()
	must.SliceEmpty(t, m.promises())
	arrive(m, keyedService, 21, 2, at) // its requests were sent long before
	m.CheckRetryBudget()
	must.Eq(t, []string{"retry budget"}, m.promises())
}

func TestRetriesAreCountedPerWindow(t *testing.T) {
	m := startedMonitor()
	at := time.Now()
	m.Requested(plainService, at)
	arrive(m, plainService, 20, 2, at)
	arrive(m, plainService, 20, 2, at.Add(budgetWindow))
	m.CheckRetryBudget()
	must.SliceEmpty(t, m.promises())
	arrive(m, plainService, 1, 2, at.Add(budgetWindow-time.Millisecond))
	m.CheckRetryBudget()
	must.Eq(t, []string{"retry budget"}, m.promises())
}
