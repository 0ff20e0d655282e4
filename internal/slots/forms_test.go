package slots

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// Other builds read what this one sends and stores: the names and values of
// fields stay as recorded.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "askAnswer", Value: acquireResponse{}},
		formtest.Form{Name: "askRequest", Value: acquireRequest{}},
		formtest.Form{Name: "doneRequest", Value: releaseRequest{}},
	)
}
