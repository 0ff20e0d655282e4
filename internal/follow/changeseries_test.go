package follow

import (
	"fmt"
	"strconv"
	"time"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// changeSeries writes a series of changes to a fleet's store, each of the configuration and of
// a server's registration, and checks that the daemons have them in time.
type changeSeries struct {
	fleet   *storeFleet
	written int
	pending []writtenChange // that may still be missing, oldest first
}

type writtenChange struct {
	value int
	at    time.Time
}

// write writes the next change.
func (s *changeSeries) write() {
	s.written++
	s.fleet.store.change(platform.Configurations, "config", strconv.Itoa(s.written))
	s.fleet.store.change(platform.Servers, "server", strconv.Itoa(s.written))
	s.pending = append(s.pending, writtenChange{value: s.written, at: time.Now()})
}

// late returns a text about a calm daemon that lacks a change later than applyBound after it
// was written, or an empty text.
func (s *changeSeries) late(isCalm func(address string) bool) string {
	for len(s.pending) > 0 && time.Since(s.pending[0].at) > applyBound {
		due := s.pending[0]
		for address, f := range s.fleet.followers {
			configuration, server := f.valueOf(platform.Configurations, "config"), f.valueOf(platform.Servers, "server")
			if min(configuration, server) < due.value && isCalm(address) {
				return fmt.Sprintf("%s has configuration %d and registration %d, want %d, %v after it was written; designated: %t, ages: %v", address, configuration, server, due.value, time.Since(due.at), f.Designated(), f.collectionAges())
			}
		}
		s.pending = s.pending[1:]
	}
	return ""
}

// play writes a change each period for a time, and returns what late does.
func (s *changeSeries) play(length, period time.Duration, isCalm func(address string) bool) string {
	const step = 10 * time.Millisecond
	for end, next := time.Now().Add(length), time.Now(); time.Now().Before(end); time.Sleep(step) {
		if !time.Now().Before(next) {
			s.write()
			next = next.Add(period)
		}
		if late := s.late(isCalm); late != "" {
			return late
		}
	}
	return ""
}

// valueOf returns the number in a record of a copy, 0 if there is none.
func (f *Follower) valueOf(c platform.Collection, name string) int {
	record, _ := f.replicas[c].get(name)
	value, _ := strconv.Atoi(string(record.Value))
	return value
}
