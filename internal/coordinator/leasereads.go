package coordinator

import (
	"math/rand/v2"
	"time"

	"github.com/chicorylug/chicorylug/internal/ownership"
)

const (
	readGrowth        = 2 // factor by which the period grows with each read that finds a renewal
	readJitterDivisor = 4 // a grown period is extended by up to 1/readJitterDivisor of it
)

// leaseReads spaces the reads of a lease row by a candidate that misses the coordinator.
// Reads in a row that find the lease renewed show that the coordinator lives, so they
// become rare, down to one per standbyReadPeriod. The zero value is ready to use.
type leaseReads struct {
	readAt  time.Time     // latest read
	base    time.Duration // period before jitter; zero before the first read
	current time.Duration // period with jitter
}

// period returns the time from the latest read to the next one.
func (r *leaseReads) period() time.Duration {
	return max(r.current, ownership.LeaseRenewInterval)
}

// observe records a read. renewed says that the lease was renewed since the read before.
// A renewal since a read of long ago says nothing of the present.
func (r *leaseReads) observe(renewed bool, now time.Time) {
	recent := now.Sub(r.readAt) <= 2*r.period()
	r.readAt = now
	if !renewed || !recent {
		r.base, r.current = ownership.LeaseRenewInterval, ownership.LeaseRenewInterval
		return
	}
	r.base = min(readGrowth*r.base, standbyReadPeriod)
	r.current = r.base + rand.N(r.base/readJitterDivisor)
}
