package keeper

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// A daemon that had stepped down for a keeper of a later era must not become keeper by the
// late answer to a write of an earlier one, whatever it has stepped down for in between.
func TestYieldOfAnEarlierEraDoesNotReplaceALaterOne(t *testing.T) {
	k := &Keeper{catalog: catalog.New(), serviceKeepers: map[model.PoolName]*serviceKeeper{}, yielded: map[model.PoolName]*yieldRequest{}}
	for _, r := range []*yieldRequest{{Service: "a", Era: 2, Term: 3}, {Service: "a", Era: 1, Term: 7}} {
		_, err := k.serveYield(t.Context(), r)
		must.NoError(t, err)
	}
	must.True(t, k.yielded["a"].laterThan(&catalog.Owners{Term: 2, Position: platform.Position{Era: 2}}))
}

// Fences of an era are above all of the eras before, and rise within it.
func TestFencesRiseOverEras(t *testing.T) {
	const manyRevisions = 1 << 39
	last := catalog.Fence(0)
	for era := platform.FirstEra; era < 6; era++ {
		for _, revision := range []platform.Revision{0, 1, 57, manyRevisions} {
			next := nextFence(platform.Position{Era: era, Revision: revision})
			must.Greater(t, last, next)
			last = next
		}
	}
	must.Less(t, 1<<53, last, must.Sprint("a fence is a JSON number"))
}
