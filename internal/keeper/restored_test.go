package keeper

import (
	"context"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// modelRewriteTime is the time after which servers register again in a restored store.
const modelRewriteTime = time.Second

// startHistory starts the servers and two daemons, and waits until the keys have owners.
func startHistory() *history { return startHistoryOf(modelServers) }

// startHistoryOf is startHistory with another number of servers.
func startHistoryOf(servers int) *history {
	sim := newSimulation()
	h := &history{simulation: sim, servers: make([]*process, servers), log: sim.logger()}
	for i := range h.servers {
		id := fmt.Sprintf("server-%d", i)
		h.startServer(i, id, id)
	}
	for index := range 2 {
		h.startDaemon(index)
	}
	time.Sleep(4 * time.Second)
	return h
}

// finish lets the fleet run on, stops it and fails the test if keys had two owners or
// falling fences.
func (h *history) finish(t *testing.T) {
	time.Sleep(modelRecoveryTime)
	for _, d := range h.daemons {
		d.stop()
	}
	time.Sleep(modelQuiesceTime)
	h.mu.Lock()
	defer h.mu.Unlock()
	must.SliceEmpty(t, h.violations, must.Sprint(h.logged.String()))
}

// cutOff cuts a daemon off from the store and the other daemons for a time.
func (d *simDaemon) cutOff(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeCutUntil = time.Now().Add(duration)
	d.isolatedUntil = d.storeCutUntil
}

// replaceKeeper has the first keeper of a history cut off for some seconds, in which another
// one replaces it and moves the keys of a server that crashes. It returns the first keeper.
func (h *history) replaceKeeper() *simDaemon {
	const healAt = 8 * time.Second
	k := h.daemons[h.keeperIndex()]
	k.cutOff(healAt)
	k.mu.Lock()
	k.serversCutUntil = time.Now().Add(healAt)
	k.mu.Unlock()
	time.Sleep(3 * time.Second)
	h.apply(event{kind: "crash", index: 1, duration: 500 * time.Millisecond})
	h.report(&backends.KeyedStats{Keys: map[int]int{catalog.LastKey / 2: 900}})
	time.Sleep(healAt - 3*time.Second)
	return k
}

// A keeper that was cut off did not hear that another one had replaced it and moved keys.
// The store then lost both, and the first keeper wrote its own record again, as if it knew
// the latest one.
func TestReplacedKeeperDoesNotWriteItsRecordAgain(t *testing.T) {
	for _, copyAge := range []time.Duration{9 * time.Second, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			h := startHistory()
			k := h.replaceKeeper()
			for _, d := range h.daemons {
				if d != k { // its poll of the store failed just before: it pauses
					d.mu.Lock()
					d.storeCutUntil = time.Now().Add(500 * time.Millisecond)
					d.mu.Unlock()
				}
			}
			h.restore(copyAge, modelRewriteTime)
			h.finish(t)
		})
	}
}

// The daemon that had replaced a keeper was restarted with the store. It knew only the copy,
// and confirmed to the first keeper that there was no later one.
func TestRestartedDaemonDoesNotConfirmAKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHistory()
		k := h.replaceKeeper()
		h.restore(9*time.Second, modelRewriteTime)
		for i, d := range h.daemons {
			if d != k {
				h.restartDaemon(i)
			}
		}
		h.finish(t)
	})
}

// A keeper whose fellow daemons had all ended, or could not be reached, waited for their word
// without end: the keys of servers that crashed had no owner from then on.
func TestKeeperMovesKeysWhenNoOtherDaemonIsLeft(t *testing.T) {
	for name, lose := range map[string]func(h *history, index int){
		"ended":  func(h *history, index int) { h.killDaemon(index) },
		"silent": func(h *history, index int) { h.daemons[index].cutOff(time.Hour) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := startHistory()
				keeper := h.keeperIndex()
				for i := range h.daemons {
					if i != keeper {
						lose(h, i)
					}
				}
				h.restore(time.Second, modelRewriteTime)
				h.apply(event{kind: "crash", index: 1, duration: 500 * time.Millisecond})
				time.Sleep(2 * modelRecoveryTime)
				_, missing := h.unownedKey()
				h.finish(t)
				must.False(t, missing)
			})
		})
	}
}

// A keeper without the store stopped some seconds later than its successor waited, since
// it counted from when its last answer had become old instead of from the answer.
func TestUncertainKeeperOutwaitsOneThatIsCutOff(t *testing.T) {
	for _, outage := range []time.Duration{0, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			h := startHistory()
			for range 4 {
				h.report(&backends.KeyedStats{Keys: map[int]int{2000: 900, 4000: 900, 6000: 900, 9000: 400}})
				time.Sleep(500 * time.Millisecond)
			}
			k := h.daemons[h.keeperIndex()]
			k.cutOff(40 * time.Second)
			h.mu.Lock()
			h.storeDownUntil = time.Now().Add(outage)
			h.mu.Unlock()
			time.Sleep(outage)
			h.restore(2500*time.Millisecond+outage, modelRewriteTime)
			for i, d := range h.daemons {
				if d != k {
					h.restartDaemon(i) // its successor knows only the copy
				}
			}
			time.Sleep(modelRecoveryTime)
			h.finish(t)
		})
	}
}

// A daemon that was paused while the keeper was lost with the store's latest records made
// all keys wait for the lifetime of a grant more, though it had granted nothing.
func TestPausedDaemonAddsNoWaitAfterItConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 2 * time.Second
		h := startHistory()
		h.startDaemon(2)
		time.Sleep(4 * time.Second)
		lost := h.keeperIndex()
		paused := h.daemons[(lost+1)%len(h.daemons)]
		paused.mu.Lock()
		paused.pausedUntil = time.Now().Add(pause)
		paused.mu.Unlock()
		h.restore(2*time.Second, modelRewriteTime)
		h.killDaemon(lost)
		time.Sleep(maxGrantLifetime(defaultHold) + 2*monitorPeriod + yieldRetryDelay)
		key, unowned := h.unownedKey()
		must.False(t, unowned, must.Sprintf("key %d has no owner\n%s", key, h.logged.String()))
		h.finish(t)
	})
}

// An uncertain keeper counted the time for which it grants nothing from before the write of
// its record. While the write was slow, the earlier keeper still had answers of the store.
func TestUncertainKeeperWaitsFromTheEndOfItsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const writing = 3500 * time.Millisecond // ends just before the write takes effect
		h := startHistory()
		for range 4 {
			h.report(&backends.KeyedStats{Keys: map[int]int{2000: 900, 4000: 900, 6000: 900, 9000: 400}})
			time.Sleep(500 * time.Millisecond)
		}
		k := h.daemons[h.keeperIndex()]
		k.mu.Lock()
		k.isolatedUntil = time.Now().Add(time.Hour)
		k.mu.Unlock()
		k.keeper.yield = func(ctx context.Context, _ follow.Daemon, _ *yieldRequest) (*yieldResponse, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		h.mu.Lock()
		h.lateWrites, h.lateness = 25, 2*writing
		h.mu.Unlock()
		h.restore(2500*time.Millisecond, modelRewriteTime)
		for i, d := range h.daemons {
			if d != k {
				h.restartDaemon(i)
			}
		}
		time.Sleep(writing)
		k.cutOff(time.Hour)
		time.Sleep(modelRecoveryTime)
		h.finish(t)
	})
}

// A daemon that had stepped down for a keeper of a later era must not become keeper by the
// late answer to a write of an earlier one, whatever it has stepped down for in between.
func TestYieldOfAnEarlierEraDoesNotReplaceALaterOne(t *testing.T) {
	k := &Keeper{
		catalog: catalog.New(), follow: &simDaemon{}, serviceKeepers: map[model.PoolName]*serviceKeeper{},
		yielded: map[model.PoolName]*yieldRequest{}, grants: newGrantTimes(time.Now()),
	}
	for _, r := range []*yieldRequest{{Service: "a", Era: 2, Term: 3}, {Service: "a", Era: 1, Term: 7}} {
		_, err := k.serveYield(t.Context(), r)
		must.NoError(t, err)
	}
	must.True(t, k.yielded["a"].laterThan(&catalog.Owners{Term: 2, Position: platform.Position{Era: 2}}))
}

// While a keeper was stopping at one daemon's request, a second daemon was told that no grant
// would be sent any more, though calls were still in progress.
func TestEachRequestToStepDownWaitsForTheKeepersCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callDuration = 300 * time.Millisecond
		k := &Keeper{
			catalog: catalog.New(), follow: &simDaemon{}, serviceKeepers: map[model.PoolName]*serviceKeeper{},
			yielded: map[model.PoolName]*yieldRequest{}, grants: newGrantTimes(time.Now().Add(-time.Hour)),
		}
		s := &serviceKeeper{keeper: k, service: "a", log: zap.NewNop(), owners: &catalog.Owners{Service: "a", Term: 1}}
		s.ctx, s.cancel = context.WithCancel(t.Context())
		s.done.Go(func() { time.Sleep(callDuration) })
		k.serviceKeepers["a"] = s
		started := time.Now()
		for range 2 {
			go func() {
				response, err := k.serveYield(t.Context(), &yieldRequest{Service: "a", Term: 2})
				test.NoError(t, err)
				test.GreaterEq(t, callDuration, time.Since(started))
				test.Zero(t, response.IdleMS)
			}()
		}
		time.Sleep(time.Second)
		must.MapEmpty(t, k.serviceKeepers)
	})
}

// Fences of an era are above all of the eras before, and rise within it.
func TestFencesRiseOverEras(t *testing.T) {
	const manyRevisions = 1 << 39
	last := catalog.Fence(0)
	for era := platform.FirstEra; era < 6; era++ {
		for _, revision := range []platform.Revision{0, 1, 57, manyRevisions} {
			next := nextFence(platform.Position{Era: era, Revision: revision})
			must.Greater(t, last, next)
			last = next
		}
	}
	must.Less(t, 1<<53, last, must.Sprint("a fence is a JSON number"))
}

// Before the store's first answer its era is not known, and a record of no era could be
// written.
func TestNoFirstAssignmentBeforeTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHistory()
		d := h.daemons[0]
		d.mu.Lock()
		d.era = 0
		d.mu.Unlock()
		d.keeper.assignFirst(t.Context(), "unassigned", nil)
		h.mu.Lock()
		names := slices.Collect(maps.Keys(h.records))
		h.mu.Unlock()
		h.finish(t)
		must.Eq(t, []string{follow.OwnersRecordName(modelService, platform.FirstEra)}, names)
	})
}

// A keeper that had just been slow to the store when this came back was replaced by an
// uncertain one, which grants nothing for seconds.
func TestRunningKeeperHasTimeToWriteItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 4 * time.Second
		const heardLater = time.Second // by the keeper than by the other daemon
		h := startHistory()
		k := h.daemons[h.keeperIndex()]
		k.mu.Lock()
		k.storeCutUntil = time.Now().Add(outage + heardLater)
		k.mu.Unlock()
		h.mu.Lock()
		h.storeDownUntil = time.Now().Add(outage)
		h.mu.Unlock()
		time.Sleep(outage)
		h.restore(outage+time.Second, modelRewriteTime)
		time.Sleep(2 * heardLater)
		h.mu.Lock()
		owners, err := follow.DecodeOwners(h.records[follow.OwnersRecordName(modelService, 2)])
		h.mu.Unlock()
		h.finish(t)
		must.NoError(t, err)
		must.Eq(t, k.self.Name, owners.Keeper)
		must.False(t, owners.Uncertain)
	})
}

// A keeper that gave its record up did not log which one.
func TestRecordThatIsGivenUpIsLoggedWithBothPositions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHistory()
		for range 2 {
			h.restore(time.Second, modelRewriteTime)
		}
		h.finish(t)
		must.RegexMatch(t, regexp.MustCompile(`"stepped down as keeper".*"era":3,"earlier_era":1,"earlier_revision":[1-9].*more than once`), h.logged.String())
	})
}
