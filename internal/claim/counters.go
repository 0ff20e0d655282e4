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
	rewritten  *expvar.Int // claims that were written again after the store had lost them
	forgotten  *expvar.Int // recent claims that can't be written again, because too many were made
	unsettled  *expvar.Int // requests that were refused because lost claims may not be written again yet
}

func newCounters(registry *metrics.Registry) counters {
	return counters{
		reads:      registry.Int("claim_reads"),
		writes:     registry.Int("claim_writes"),
		unrecorded: registry.Int("claim_outcomes_unsettled"),
		removed:    registry.Int("claims_removed"),
		rewritten:  registry.Int("claims_written_again"),
		forgotten:  registry.Int("claims_forgotten"),
		unsettled:  registry.Int("claims_refused_unsettled"),
	}
}
