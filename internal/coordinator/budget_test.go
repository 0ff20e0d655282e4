package coordinator_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

// Budget of the table and the instance list for all pools of an idle fleet.
const (
	maxReadsPerSecond  = 10.0
	maxWritesPerSecond = 5.0
	budgetDaemons      = 28
	settleTime         = 5 * time.Second
	countTime          = 10 * time.Second
)

func TestIdleFleetStaysWithinStoreBudget(t *testing.T) {
	tree, err := os.ReadFile("../../examples/lagos.jsonc")
	must.NoError(t, err)
	f, err := fleet.Start(fleet.Options{
		Settings: tree,
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

	reads, writes := perSecond(f.Platform, countTime)
	t.Logf("%d daemons: %.1f reads and %.1f writes a second", budgetDaemons, reads, writes)
	must.Less(t, maxReadsPerSecond, reads)
	must.Less(t, maxWritesPerSecond, writes)
}

func perSecond(p *platformd.Server, length time.Duration) (reads, writes float64) {
	before, began := p.Counts(), time.Now()
	time.Sleep(length)
	after, seconds := p.Counts(), time.Since(began).Seconds()
	reads = float64(after.Reads+after.ListReads-before.Reads-before.ListReads) / seconds
	writes = float64(after.Writes-before.Writes) / seconds
	return reads, writes
}
