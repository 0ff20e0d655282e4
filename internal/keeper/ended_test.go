package keeper

import (
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// The end of a process counts from the first refusal, and not for a process that answers or
// that has started since: its grants would be taken for expired.
func TestProcessHasEndedSinceTheFirstRefusal(t *testing.T) {
	refused := errors.Wrap(syscall.ECONNREFUSED, "call")
	start := time.Now()
	first, next := follow.Daemon{Name: "d1", Incarnation: "a"}, follow.Daemon{Name: "d1", Incarnation: "b"}
	for name, c := range map[string]struct {
		process follow.Daemon
		between error
		since   time.Time
	}{
		"refused again":   {process: first, between: refused, since: start},
		"silent between":  {process: first, between: errors.New("timeout"), since: start},
		"answered":        {process: first, since: start.Add(2 * time.Second)},
		"another process": {process: next, between: refused, since: start.Add(2 * time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			e := endedDaemons{}
			e.called(first, refused, start)
			e.called(first, c.between, start.Add(time.Second))
			e.called(c.process, refused, start.Add(2*time.Second))
			must.Eq(t, c.since, e["d1"].since)
		})
	}
}

// A daemon that started since the store came back, or whose record is doubtful, must not take the
// keeper that it knows for the latest one.
func TestOnlyADaemonThatWasThereRemembersTheLatestKeeper(t *testing.T) {
	record := func(change func(o *catalog.Owners)) *catalog.Owners {
		o := &catalog.Owners{Keeper: "d1", Position: platform.Position{Era: 2, Revision: 9}}
		change(o)
		return o
	}
	for name, c := range map[string]struct {
		since      platform.Era
		earlier    *catalog.Owners
		remembered bool
	}{
		"follows since before":   {since: 1, earlier: record(func(*catalog.Owners) {}), remembered: true},
		"started in that era":    {since: 2, earlier: record(func(*catalog.Owners) {}), remembered: true},
		"started since":          {since: 3, earlier: record(func(*catalog.Owners) {})},
		"an era between":         {since: 1, earlier: record(func(o *catalog.Owners) { o.Era = 1 })},
		"uncertain record":       {since: 1, earlier: record(func(o *catalog.Owners) { o.Uncertain = true })},
		"earlier keeper unheard": {since: 1, earlier: record(func(o *catalog.Owners) { o.EarlierKeeperMayRenew = true })},
		"keeper not known":       {since: 1, earlier: record(func(o *catalog.Owners) { o.Keeper = "d9" })},
		"no record":              {since: 1},
	} {
		t.Run(name, func(t *testing.T) {
			view := &simDaemon{sim: &simulation{daemons: []*simDaemon{{self: follow.Daemon{Name: "d1"}}}}, followedSince: c.since}
			k := &Keeper{follow: view, config: &config.Config{Name: "d2"}}
			must.Eq(t, c.remembered, k.remembersLatest(c.earlier, 3))
		})
	}
}

// A new keeper that is told of a later keeper than it remembers waits as if it remembered none.
func TestLaterKeeperThatAnotherDaemonKnowsCounts(t *testing.T) {
	at := func(era platform.Era, term uint64) *catalog.Owners {
		o := &catalog.Owners{Position: platform.Position{Era: era}}
		for range term {
			o.Term++
		}
		return o
	}
	for _, c := range []struct {
		known *catalog.Owners
		later bool
	}{{at(2, 5), true}, {at(2, 4), false}, {at(1, 9), false}, {at(0, 0), false}} {
		round := &yieldRound{known: []*catalog.Owners{c.known}}
		must.Eq(t, c.later, round.knowsLaterThan(at(2, 4)))
	}
}
