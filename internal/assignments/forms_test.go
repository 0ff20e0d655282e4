package assignments

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// TestEncodedFormsAreAsRecorded guards the encoded names and values of fields, which
// daemons of other builds read from messages.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "drainedItem", Value: drainedItem{}},
	)
}
