package inspect

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// Other builds read what this one sends and stores: the names and values of
// fields stay as recorded.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "Silent", Value: UnreachableDaemon{}},
		formtest.Form{Name: "Counts", Value: Counts{}},
		formtest.Form{Name: "EventFilter", Value: EventFilter{}},
		formtest.Form{Name: "Events", Value: Events{}},
		formtest.Form{Name: "Explanation", Value: Explanation{}},
		formtest.Form{Name: "Fleet", Value: Fleet{}},
		formtest.Form{Name: "PoolReport", Value: PoolReport{}},
		formtest.Form{Name: "Report", Value: Report{}},
		formtest.Form{Name: "StepFilter", Value: StepFilter{}},
		formtest.Form{Name: "countList", Value: countList{}},
		formtest.Form{Name: "eventList", Value: eventList{}},
		formtest.Form{Name: "stepList", Value: stepList{}},
		formtest.Form{Name: "Owner", Value: Owner{}},
	)
}
