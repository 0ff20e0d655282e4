package keeper

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// grantTimes records until when this daemon granted keys of each service.
type grantTimes struct {
	// startedAt is when this process started: an earlier one of the same daemon may have
	// granted keys until then.
	startedAt time.Time
	stoppedAt map[model.PoolName]time.Time
}

func newGrantTimes(now time.Time) *grantTimes {
	return &grantTimes{startedAt: now, stoppedAt: map[model.PoolName]time.Time{}}
}

// stopped records that no grant of a service is sent from now on, nor in progress.
func (g *grantTimes) stopped(service model.PoolName, now time.Time) { g.stoppedAt[service] = now }

// idleFor returns the time for which this daemon has granted no keys of a service that it
// is not the keeper of.
func (g *grantTimes) idleFor(service model.PoolName, now time.Time) time.Duration {
	return now.Sub(later(g.startedAt, g.stoppedAt[service]))
}
