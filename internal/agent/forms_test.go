package agent

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// Daemons of other builds read what this build sends and stores, so the JSON of these types
// must stay as recorded in testdata/forms.json.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "grant", Value: grant{}},
		formtest.Form{Name: "grantAnswer", Value: grantResponse{}},
	)
}
