package ctlproto

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// TestEncodedFormsAreAsRecorded guards the encoded names and values of fields,
// which daemons of other builds read from messages.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "Evidence", Value: Evidence{}},
		formtest.Form{Name: "OfferRequest", Value: OfferRequest{}},
		formtest.Form{Name: "OfferAnswer", Value: OfferResponse{}},
		formtest.Form{Name: "Refusal", Value: Refusal{}},
		formtest.Form{Name: "RenewAnswer", Value: RenewResponse{}},
		formtest.Form{Name: "RenewRequest", Value: RenewRequest{}},
		formtest.Form{Name: "UpdateAnswer", Value: UpdateResponse{}},
		formtest.Form{Name: "UpdateRequest", Value: UpdateRequest{}},
	)
}
