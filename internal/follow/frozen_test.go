package follow

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// applyBound is the time within which a new configuration is in force on all daemons that run.
const applyBound = 2 * time.Second

// addressesToFreeze returns the control addresses of the given number of daemons: the
// designated ones first, then their substitutes, then others.
func (fleet *storeFleet) addressesToFreeze(count int) []string {
	first := fleet.followers["d0"] // all know the same daemons
	var addresses []string
	for _, list := range [][]Daemon{first.DesignatedFollowers(), first.substitutes(), first.Daemons()} {
		for _, d := range list {
			if len(addresses) < count {
				addresses = append(addresses, d.Control)
			}
		}
	}
	return addresses
}

// changeConfiguration writes a configuration to the store.
func (s *fleetStore) changeConfiguration(value string) {
	s.change(platform.Configurations, "config", value)
}

// change writes a record.
func (s *fleetStore) change(c platform.Collection, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position.Revision++
	s.records[c][name] = platform.Record{Name: name, Value: []byte(value), Position: s.position}
	s.notify()
}

// slowestApply returns the time until all daemons that are not frozen have a configuration, and
// the last one's name.
func (fleet *storeFleet) slowestApply(value string) (time.Duration, string) {
	began, last := time.Now(), ""
	for address, f := range fleet.followers {
		for !fleet.isFrozen(address) {
			record, _ := f.replicas[platform.Configurations].get("config")
			if string(record.Value) == value {
				break
			}
			last = address
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began), last
}

// While a tenth of a fleet stood still, among it the daemons that follow the store, the others
// tried these one after the other, 0.9 s each, and got a new configuration too late.
func TestConfigurationIsInForceInTimeBesideFrozenFollowers(t *testing.T) {
	for _, fleet := range []struct{ daemons, zones int }{{30, 1}, {28, 4}, {195, 6}} {
		t.Run(fmt.Sprintf("%d daemons in %d zones", fleet.daemons, fleet.zones), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				started := startFleet(fleet.daemons, fleet.zones)
				defer started.stop()
				for round := range 8 {
					started.freeze(started.addressesToFreeze((fleet.daemons + 9) / 10))
					time.Sleep(time.Duration(round) * 37 * time.Millisecond)
					value := fmt.Sprint("version ", round)
					started.store.changeConfiguration(value)
					took, last := started.slowestApply(value)
					must.Less(t, applyBound, took, must.Sprintf("round %d: %s", round, last))
					started.freeze(nil)
					time.Sleep(10 * time.Second)
				}
			})
		})
	}
}
