package follow

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// Other builds read what this one sends and stores: the names and values of
// fields stay as recorded.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "Daemon", Value: Daemon{}},
		formtest.Form{Name: "wireOwner", Value: wireOwner{}},
		formtest.Form{Name: "wireOwners", Value: wireOwners{}},
		formtest.Form{Name: "update", Value: update{}},
		formtest.Form{Name: "wireRecord", Value: wireRecord{}},
		formtest.Form{Name: "pollAnswer", Value: pollAnswer{}},
		formtest.Form{Name: "pollRequest", Value: pollRequest{}},
	)
}
