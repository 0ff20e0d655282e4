package platform

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// Other builds read what this one sends and stores: the names and values of
// fields stay as recorded.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "Instance", Value: Instance{}},
		formtest.Form{Name: "Row", Value: Row{}},
		formtest.Form{Name: "Write", Value: Write{}},
	)
}
