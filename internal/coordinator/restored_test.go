package coordinator_test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	adapter "github.com/chicorylug/chicorylug/platform"
)

const (
	// restoredServiceTime bounds the time until a key is served after the store is back
	// and its server was lost.
	restoredServiceTime = 10 * time.Second
	// unsettledServiceTime is the same when the coordinator was lost as well: its lease
	// expires, reads of the lease find this late, earlier permits expire, and then the
	// key's server is judged. The lost daemon may be chosen as its dispatcher at first,
	// so that the keys move after the pool's attempt timeout.
	unsettledServiceTime = ownership.LeaseDuration + 3*ownership.LeaseRenewInterval + ownership.PermitDuration + outageAttemptTimeout + 3*ownership.ClockMargin + 2*time.Second
	outageAttemptTimeout = 3 * time.Second // of the pool in outageSettings
)

// TestServerLostAfterTheStoreIsRestored guards against a coordinator whose versions the
// daemons ignore after the store came back from an older copy, because it gives out the
// numbers of lost versions again: keys stay at a server that was killed.
func TestServerLostAfterTheStoreIsRestored(t *testing.T) {
	f := startOutageFleet(t, 3, 3)
	copied := time.Now()

	first := readKey(t, f).server
	serverNamed(f, first).Kill()
	awaitOtherServer(t, f, first)

	f.Platform.Restore(time.Since(copied))
	second := awaitOtherServer(t, f, first)
	serverNamed(f, second).Kill()
	awaitOtherServer(t, f, first, second)
}

// awaitOtherServer waits until outagePath is served by none of the given servers, and
// returns the one that serves it.
func awaitOtherServer(t *testing.T, f *fleet.Fleet, not ...model.ServerID) model.ServerID {
	t.Helper()
	return awaitOtherServerWithin(t, f, restoredServiceTime, not...)
}

func awaitOtherServerWithin(t *testing.T, f *fleet.Fleet, limit time.Duration, not ...model.ServerID) model.ServerID {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	var answer keyAnswer
	must.NoError(t, await(ctx, func() bool {
		answer = readKey(t, f)
		for _, id := range not {
			if answer.server == id {
				return false
			}
		}
		return answer.status == fasthttp.StatusOK
	}), must.Sprintf("status %d: %s", answer.status, answer.body))
	return answer.server
}

// TestCoordinatorLostWithTheStore guards against keys that stay unserved, or at a lost
// server, when the coordinator ends and the store comes back from a copy that lacks its
// latest writes: nobody holds a lease of the new era then.
func TestCoordinatorLostWithTheStore(t *testing.T) {
	f := startOutageFleet(t, 4, 3)
	copied := time.Now()

	first := readKey(t, f).server
	serverNamed(f, first).Kill()
	second := awaitOtherServer(t, f, first)

	coordinator := slices.IndexFunc(f.Nodes, func(n *fleet.Node) bool { return n.Name() == coordinatorOf(t, f) })
	f.KillDaemon(f.Nodes[coordinator])
	f.Nodes = slices.Delete(f.Nodes, coordinator, coordinator+1)
	f.Platform.Restore(time.Since(copied))
	serverNamed(f, second).Kill()
	awaitOtherServerWithin(t, f, unsettledServiceTime, first, second)
}

// coordinatorOf returns the holder of the pool's lease in the first era.
func coordinatorOf(t *testing.T, f *fleet.Fleet) model.DaemonID {
	row, err := adapter.NewStore(f.Platform.Address(), nil).Get(t.Context(), "lease/drafts")
	must.NoError(t, err)
	var lease ownership.Lease
	must.NoError(t, json.Unmarshal(row.Value, &lease))
	return lease.Holder
}
