package follow

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// seriesPeriod is the time between two changes of a series.
const seriesPeriod = 250 * time.Millisecond

// halves are how the daemons that the others poll are impaired.
var halves = map[string]func(i int) (frozen bool){
	"frozen":             func(int) bool { return true },
	"cut off":            func(int) bool { return false },
	"frozen and cut off": func(i int) bool { return i%2 == 0 },
}

// Daemons without any trouble had a change later than 2 s after it was written: all daemons that
// follow the store stood still or were cut off from it, and the others waited for one after the
// other, and then for their turn to call the store, up to 0.8 s for each daemon of the fleet.
func TestChangesArriveInTimeWithoutFollowersOfTheStore(t *testing.T) {
	for _, size := range []struct{ daemons, zones, impaired int }{{26, 4, 4}, {26, 4, 8}, {28, 4, 4}, {30, 1, 3}, {60, 5, 10}, {195, 6, 12}} {
		for name, isFrozen := range halves {
			t.Run(fmt.Sprintf("%d of %d in %d zones %s", size.impaired, size.daemons, size.zones, name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					fleet := startFleet(size.daemons, size.zones)
					defer fleet.stop()
					impaired := fleet.addressesToFreeze(size.impaired)
					isCalm := func(address string) bool { return !slices.Contains(impaired, address) }
					changes := &changeSeries{fleet: fleet}
					for range 4 {
						var frozen, cut []string
						for i, address := range impaired {
							if isFrozen(i) {
								frozen = append(frozen, address)
							} else {
								cut = append(cut, address)
							}
						}
						fleet.impair(frozen, cut, nil)
						must.Eq(t, "", changes.play(4*time.Second, seriesPeriod, isCalm))
						fleet.impair(nil, nil, nil)
						must.Eq(t, "", changes.play(4*time.Second, seriesPeriod, isCalm))
					}
				})
			})
		}
	}
}

// A daemon that other daemons do not reach polled the store once for each collection and waited
// for the slowest of the three polls, so that it missed a change soon after another one.
func TestDaemonThatReachesOnlyTheStoreHasChangesInTime(t *testing.T) {
	for _, period := range []time.Duration{seriesPeriod, 700 * time.Millisecond, 1300 * time.Millisecond} {
		t.Run(period.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				fleet := startFleet(26, 4)
				defer fleet.stop()
				addresses := fleet.addressesToFreeze(len(fleet.followers))
				alone := addresses[len(addresses)-1]
				fleet.impair(nil, nil, []string{alone})
				changes := &changeSeries{fleet: fleet}
				must.Eq(t, "", changes.play(30*time.Second, period, func(string) bool { return true }), must.Sprint(alone, " is cut off from the others"))
			})
		})
	}
}
