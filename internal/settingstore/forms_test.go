package settingstore

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// Other builds read what this one sends and stores: the names and values of
// fields stay as recorded.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "Change", Value: Change{}},
		formtest.Form{Name: "ConflictError", Value: ConflictError{}},
		formtest.Form{Name: "Record", Value: Record{}},
		formtest.Form{Name: "InForce", Value: Status{}},
		formtest.Form{Name: "recordAnswer", Value: recordResponse{}},
	)
}
