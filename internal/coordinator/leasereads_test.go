package coordinator

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/ownership"
)

// readAtPeriods observes reads one period apart and returns the periods that follow them.
func readAtPeriods(r *leaseReads, now time.Time, renewed ...bool) []time.Duration {
	var periods []time.Duration
	for _, found := range renewed {
		r.observe(found, now)
		periods = append(periods, r.period())
		now = now.Add(r.period())
	}
	return periods
}

// TestReadsOfARenewedLeaseBecomeRare guards against a starved fleet in which all daemons
// miss living coordinators and load the store with reads of their leases.
func TestReadsOfARenewedLeaseBecomeRare(t *testing.T) {
	var r leaseReads
	periods := readAtPeriods(&r, time.Unix(1_700_000_000, 0), true, true, true, true, true, true)
	must.Eq(t, ownership.LeaseRenewInterval, periods[0])
	for i := 1; i < len(periods); i++ {
		least := min(ownership.LeaseRenewInterval<<i, standbyReadPeriod)
		must.Between(t, least, periods[i], least+least/readJitterDivisor)
	}
}

// A lease that is not renewed is read in each renewal period, so that it is taken over in
// time, and so is one whose renewal is known from a read of long ago.
func TestLeaseThatMayLapseIsReadOften(t *testing.T) {
	var r leaseReads
	now := time.Unix(1_700_000_000, 0)
	periods := readAtPeriods(&r, now, true, true, true, false, false)
	must.Eq(t, []time.Duration{ownership.LeaseRenewInterval, ownership.LeaseRenewInterval}, periods[3:])
	r.observe(true, now.Add(time.Hour))
	must.Eq(t, ownership.LeaseRenewInterval, r.period())
}
