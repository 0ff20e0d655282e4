package follow

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// designationBound is the time within which each zone has a daemon that follows the store, after
// those that did have gone for good.
const designationBound = 15 * time.Second

// designatedIn returns the daemons of a zone that are designated in their own view, without
// those that were impaired.
func (fleet *storeFleet) designatedIn(zone string, impaired []string) []string {
	var names []string
	for address, f := range fleet.followers {
		if string(f.config.Zone) == zone && !slices.Contains(impaired, address) && f.Designated() {
			names = append(names, address)
		}
	}
	return names
}

// ranked returns the addresses of a zone's daemons in the order in which they are designated.
func (fleet *storeFleet) ranked(zone string) []string {
	var addresses []string
	for _, d := range fleet.followers["d0"].recordOrder() {
		if string(d.Zone) == zone {
			addresses = append(addresses, d.Control)
		}
	}
	return addresses
}

// Machines that were replaced for good kept their places among the designated daemons, until no
// living one was designated in a zone, or could become keeper at all.
func TestDaemonsThatAreGoneLeaveTheirPlaces(t *testing.T) {
	for _, size := range []struct{ daemons, zones, gone int }{{26, 4, 1}, {26, 4, 5}, {28, 4, 3}, {30, 1, 12}, {195, 6, 10}} {
		t.Run(fmt.Sprintf("%d of %d daemons of each of %d zones", size.gone, size.daemons, size.zones), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				fleet := startFleet(size.daemons, size.zones)
				defer fleet.stop()
				var gone []string
				for zone := range size.zones {
					gone = append(gone, fleet.ranked(fmt.Sprintf("z%d", zone))[:size.gone]...)
				}
				fleet.impair(gone, gone, nil)
				time.Sleep(designationBound)
				perZone := (minStoreFollowers + size.zones - 1) / size.zones
				for zone := range size.zones {
					designated := fleet.designatedIn(fmt.Sprintf("z%d", zone), gone)
					must.Len(t, perZone, designated, must.Sprint("zone ", zone, ": ", designated))
				}
				fleet.impair(nil, nil, nil)
				time.Sleep(designationBound)
				for zone := range size.zones {
					name := fmt.Sprintf("z%d", zone)
					must.SliceContainsAll(t, fleet.ranked(name)[:perZone], fleet.designatedIn(name, nil))
				}
			})
		})
	}
}

// A daemon that is cut off from all others must not take them for gone: it would try to become
// keeper in place of one that works.
func TestDaemonThatIsCutOffTakesNobodyForGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(26, 4)
		defer fleet.stop()
		ranked := fleet.ranked("z0")
		alone := ranked[len(ranked)-1]
		fleet.impair(nil, nil, []string{alone})
		for range 60 {
			time.Sleep(time.Second)
			must.False(t, fleet.followers[alone].Designated())
		}
	})
}
