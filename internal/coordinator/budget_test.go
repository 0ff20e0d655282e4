package coordinator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
	adapter "github.com/chicorylug/chicorylug/platform"
)

// Budget of calls to the table and the instance list, for all pools of an idle
// fleet together.
const (
	maxReadsPerSecond  = 10.0
	maxWritesPerSecond = 5.0
	budgetDaemons      = 28
	settleTime         = 5 * time.Second
	measureTime        = 10 * time.Second
	maxMeasurements    = 4 // on a busy machine leases may change holders; such a measurement does not count
)

// TestIdleFleetStaysWithinStoreBudget guards against polling and renewals that
// load the table and the instance list when nothing changes.
func TestIdleFleetStaysWithinStoreBudget(t *testing.T) {
	settings, err := os.ReadFile("../../examples/lagos.jsonc")
	must.NoError(t, err)
	f, err := fleet.Start(fleet.Options{
		Settings: settings,
		Zones:    []model.Zone{"ikeja", "yaba", "lekki", "apapa"},
		Daemons:  budgetDaemons,
		Servers: []fleet.PoolServers{
			{Pool: "drafts", Count: 15},
			{Pool: "sealing", Count: 9},
			{Pool: "plans", Count: 8},
			{Pool: "archive", Count: 9},
		},
	})
	must.NoError(t, err)
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	must.NoError(t, f.WaitReady(ctx))
	time.Sleep(settleTime)

	reads, writes, idle := 0.0, 0.0, false
	for range maxMeasurements {
		before := leaseHolders(t, f.Platform)
		reads, writes = callRates(f.Platform, measureTime)
		if idle = before == leaseHolders(t, f.Platform); idle {
			break
		}
		t.Log("a lease was acquired during the measurement, so the fleet was not idle; measuring again")
	}
	must.True(t, idle)
	t.Logf("%d daemons: %.1f reads and %.1f writes a second", budgetDaemons, reads, writes)
	must.Less(t, maxReadsPerSecond, reads)
	must.Less(t, maxWritesPerSecond, writes)
}

// leaseHolders returns the holder and term of each pool's lease as text.
func leaseHolders(t *testing.T, p *platformd.Server) string {
	rows, err := adapter.NewStore(p.Address(), nil).List(t.Context(), "lease/", 100)
	must.NoError(t, err)
	holders := ""
	for _, row := range rows {
		var lease ownership.Lease
		must.NoError(t, json.Unmarshal(row.Value, &lease))
		holders += fmt.Sprintf("%s %s %d\n", row.Key, lease.Holder, lease.Term)
	}
	return holders
}

// callRates returns the reads and writes per second during the given time.
func callRates(p *platformd.Server, length time.Duration) (reads, writes float64) {
	before, began := p.Counts(), time.Now()
	time.Sleep(length)
	after, seconds := p.Counts(), time.Since(began).Seconds()
	reads = float64(after.Reads+after.ListReads-before.Reads-before.ListReads) / seconds
	writes = float64(after.Writes-before.Writes) / seconds
	return reads, writes
}
