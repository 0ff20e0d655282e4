package claim

import (
	"expvar"

	"github.com/chicorylug/chicorylug/internal/metrics"
)

// counters of the store's calls.
type counters struct {
	reads      *expvar.Int
	writes     *expvar.Int
	unrecorded *expvar.Int
	removed    *expvar.Int
}

func newCounters(registry *metrics.Registry) counters {
	return counters{
		reads:      registry.Int("claim_reads"),
		writes:     registry.Int("claim_writes"),
		unrecorded: registry.Int("claim_outcomes_unsettled"),
		removed:    registry.Int("claims_removed"),
	}
}
