package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// A pause of the test process counted as one of the simulated keepers, since their clock was the
// machine's: on a loaded machine they stepped down, and a history ended with a key without owner.
func TestKeepersOfHistoriesUseTheClockOfTheSimulation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHistory()
		for _, d := range h.daemons {
			clock := newPauseClock(d.keeper.pauseTime)
			time.Sleep(3 * maxPause)
			must.EqOp(t, 3*maxPause, clock.lap())
		}
		h.finish(t)
	})
}
