package keeper

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// Other builds read what this one sends and stores: the names and values of
// fields stay as recorded.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "askAnswer", Value: statusResponse{}},
		formtest.Form{Name: "askRequest", Value: statusRequest{}},
		formtest.Form{Name: "yieldRequest", Value: yieldRequest{}},
		formtest.Form{Name: "reportRequest", Value: reportRequest{}},
		formtest.Form{Name: "leavingRequest", Value: leavingRequest{}},
	)
}
