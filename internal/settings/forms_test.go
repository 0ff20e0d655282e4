package settings

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// Other builds read what this one sends and stores: the names and values of
// fields stay as recorded.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "Fleet", Value: Fleet{}},
		formtest.Form{Name: "PlacementWeights", Value: PlacementWeights{}},
		formtest.Form{Name: "Pool", Value: Pool{}},
		formtest.Form{Name: "RankSettings", Value: RankSettings{}},
		formtest.Form{Name: "Route", Value: Route{}},
		formtest.Form{Name: "Target", Value: Target{}},
		formtest.Form{Name: "Team", Value: Team{}},
		formtest.Form{Name: "Tree", Value: Tree{}},
	)
}
