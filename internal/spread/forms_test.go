package spread

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// Other builds read what this one sends and stores: the names and values of
// fields stay as recorded.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "compareAnswer", Value: compareResponse{}},
		formtest.Form{Name: "compareRequest", Value: compareRequest{}},
		formtest.Form{Name: "pushRequest", Value: pushRequest{}},
		formtest.Form{Name: "topicState", Value: topicState{}},
		formtest.Form{Name: "Item", Value: Item{}},
		formtest.Form{Name: "ItemVersion", Value: ItemVersion{}},
	)
}
