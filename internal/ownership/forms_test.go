package ownership

import (
	"testing"

	"github.com/chicorylug/chicorylug/internal/formtest"
)

// TestEncodedFormsAreAsRecorded guards the encoded names and values of fields,
// which daemons of other builds read from messages and from stored rows.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	formtest.Check(t,
		formtest.Form{Name: "Ack", Value: Ack{}},
		formtest.Form{Name: "ServerShards", Value: ServerShards{}},
		formtest.Form{Name: "Assignment", Value: Assignment{}},
		formtest.Form{Name: "Coordinator", Value: Coordinator{}},
		formtest.Form{Name: "Dispatcher", Value: Dispatcher{}},
		formtest.Form{Name: "HotKey", Value: HotKey{}},
		formtest.Form{Name: "Server", Value: Server{}},
		formtest.Form{Name: "Shard", Value: Shard{}},
		formtest.Form{Name: "Delta", Value: Delta{}},
		formtest.Form{Name: "ShardChange", Value: ShardChange{}},
		formtest.Form{Name: "Evidence", Value: Evidence{}},
		formtest.Form{Name: "Fleet", Value: Fleet{}},
		formtest.Form{Name: "Lease", Value: Lease{}},
		formtest.Form{Name: "KeyLoad", Value: KeyLoad{}},
		formtest.Form{Name: "LoadReport", Value: LoadReport{}},
		formtest.Form{Name: "ShardLoad", Value: ShardLoad{}},
		formtest.Form{Name: "Knowledge", Value: Versions{}},
		formtest.Form{Name: "Statement", Value: Attestation{}},
	)
}
