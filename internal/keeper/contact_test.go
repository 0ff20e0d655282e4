package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// A keeper that got answers about registrations, but none about the shared records, did not
// hear of its successor and renewed the grants of a server that only it could reach, after the
// successor had given the keys to another one.
func TestKeeperWithoutTheSharedRecordsStopsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const forever = time.Hour
		h := startHistoryOf(1)
		first := h.keeperIndex()
		k, successor := h.daemons[first], h.daemons[1-first]
		h.start("server-1", "server-1", false)
		until := time.Now().Add(forever)
		k.mu.Lock()
		k.sharedCutUntil = until
		k.isolatedUntil = until
		k.mu.Unlock()
		successor.mu.Lock()
		successor.serverCutUntil["server-0"] = until
		successor.mu.Unlock()
		time.Sleep(modelRecoveryTime)
		_, unowned := h.unownedKey()
		h.finish(t)
		must.False(t, unowned)
	})
}
