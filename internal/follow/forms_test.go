package follow

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// Daemons of other builds read what this build sends and stores, so the JSON of these types
// must stay as recorded in testdata/forms.json.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "Daemon", Value: Daemon{}},
		formtest.Form{Name: "daemonRecord", Value: daemonRecord{}},
		formtest.Form{Name: "wireOwner", Value: wireOwner{}},
		formtest.Form{Name: "wireOwners", Value: wireOwners{}},
		formtest.Form{Name: "update", Value: update{}},
		formtest.Form{Name: "wireRecord", Value: wireRecord{}},
		formtest.Form{Name: "pollAnswer", Value: pollResponse{}},
		formtest.Form{Name: "pollRequest", Value: pollRequest{}},
	)
}
