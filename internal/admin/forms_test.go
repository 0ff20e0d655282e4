package admin

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// Other builds read what this one sends and stores: the names and values of
// fields stay as recorded.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "PoolStatus", Value: PoolStatus{}},
		formtest.Form{Name: "Status", Value: Status{}},
		formtest.Form{Name: "TokenEntry", Value: TokenEntry{}},
		formtest.Form{Name: "TokenFile", Value: TokenFile{}},
		formtest.Form{Name: "Failure", Value: Failure{}},
		formtest.Form{Name: "DrainRequest", Value: DrainRequest{}},
		formtest.Form{Name: "Pool", Value: Pool{}},
		formtest.Form{Name: "PoolServer", Value: PoolServer{}},
		formtest.Form{Name: "Route", Value: Route{}},
	)
}
