package claim

import (
	"expvar"

	"github.com/chicorylug/chicorylug/internal/metrics"
)

// counters counts the calls to the platform, the background tasks that did not succeed
// and the expired claims that were removed.
type counters struct {
	reads      *expvar.Int
	writes     *expvar.Int
	unrecorded *expvar.Int // background tasks that failed, or were dropped because too many were running
	removed    *expvar.Int // expired claims that were removed
}

func newCounters(registry *metrics.Registry) counters {
	return counters{
		reads:      registry.Int("claim_reads"),
		writes:     registry.Int("claim_writes"),
		unrecorded: registry.Int("claim_outcomes_unsettled"),
		removed:    registry.Int("claims_removed"),
	}
}
