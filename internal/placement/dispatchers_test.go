package placement_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
)

func drawDispatcherInput(t *rapid.T) placement.DispatcherInput {
	in := placement.DispatcherInput{Pool: "drafts"}
	for i := range rapid.IntRange(1, 40).Draw(t, "servers") {
		in.Servers = append(in.Servers, placement.Server{ID: model.ServerID(fmt.Sprintf("s%d", i)), Zone: drawZone(t), Weight: 1})
	}
	for i := range rapid.IntRange(1, 40).Draw(t, "daemons") {
		in.Daemons = append(in.Daemons, placement.Daemon{ID: model.DaemonID(fmt.Sprintf("d%d", i)), Zone: drawZone(t)})
	}
	return in
}

func drawZone(t *rapid.T) model.Zone {
	return rapid.SampledFrom([]model.Zone{"a", "b", "c", "d"}).Draw(t, "zone")
}

func TestDispatchersAreInAnotherZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawDispatcherInput(t)
		zones := map[model.DaemonID]model.Zone{}
		distinct := map[model.Zone]bool{}
		for _, daemon := range in.Daemons {
			zones[daemon.ID] = daemon.Zone
			distinct[daemon.Zone] = true
		}
		for i, choice := range placement.Dispatchers(in) {
			server := in.Servers[i]
			must.Eq(t, server.ID, choice.Server)
			must.NotEq(t, "", choice.Daemon)
			otherZoneExists := len(distinct) > 1 || !distinct[server.Zone]
			must.False(t, otherZoneExists && zones[choice.Daemon] == server.Zone)
		}
	})
}

func TestDispatchersAreKeptWhenNothingChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawDispatcherInput(t)
		in.Current = placement.Dispatchers(in)
		second := placement.Dispatchers(in)
		in.Current = second
		must.Eq(t, second, placement.Dispatchers(in))
	})
}

func TestLossOfADaemonMovesOnlyItsServers(t *testing.T) {
	in := placement.DispatcherInput{Pool: "drafts"}
	zones := []model.Zone{"a", "b", "c", "d"}
	for i := range 15 {
		in.Servers = append(in.Servers, placement.Server{ID: model.ServerID(fmt.Sprintf("s%d", i)), Zone: zones[i%4], Weight: 1})
	}
	for i := range 28 {
		in.Daemons = append(in.Daemons, placement.Daemon{ID: model.DaemonID(fmt.Sprintf("d%d", i)), Zone: zones[i%4]})
	}
	before := placement.Dispatchers(in)
	lost := before[3].Daemon
	in.Current = before
	in.Daemons = withoutDaemon(in.Daemons, lost)
	for i, choice := range placement.Dispatchers(in) {
		if before[i].Daemon == lost {
			must.NotEq(t, lost, choice.Daemon)
			continue
		}
		must.Eq(t, before[i], choice)
	}
}

func withoutDaemon(daemons []placement.Daemon, id model.DaemonID) []placement.Daemon {
	var rest []placement.Daemon
	for _, daemon := range daemons {
		if daemon.ID != id {
			rest = append(rest, daemon)
		}
	}
	return rest
}

func TestDispatchersAreBalanced(t *testing.T) {
	in := placement.DispatcherInput{Pool: "drafts"}
	zones := []model.Zone{"a", "b", "c", "d"}
	for i := range 56 {
		in.Servers = append(in.Servers, placement.Server{ID: model.ServerID(fmt.Sprintf("s%d", i)), Zone: zones[i%4], Weight: 1})
	}
	for i := range 28 {
		in.Daemons = append(in.Daemons, placement.Daemon{ID: model.DaemonID(fmt.Sprintf("d%d", i)), Zone: zones[i%4]})
	}
	serverCounts := map[model.DaemonID]int{}
	for _, choice := range placement.Dispatchers(in) {
		serverCounts[choice.Daemon]++
	}
	for _, count := range serverCounts {
		must.LessEq(t, 3, count)
	}
}
