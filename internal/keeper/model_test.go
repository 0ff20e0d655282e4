package keeper

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/model"
)

const (
	modelGroups  = 6 // histories run side by side
	modelServers = 4
	modelLog     = 20_000           // bytes of the log that a failure shows
	modelRest    = 10 * time.Second // until nothing is on its way any more
	modelSettle  = 24 * time.Second // after the last fault: longer than the grants of a keeper that was cut off
)

// event is one step of a history.
type event struct {
	kind   string
	pause  time.Duration // after it
	which  int           // server or daemon
	length time.Duration
	key    int
}

var eventKinds = []string{
	"crash", "crash", "replaced at its address", "reborn", "leave", "leave", "silent", "lapse",
	"store down", "store away from one", "lose writes", "late writes",
	"lose grants", "late grants", "late releases",
	"lingering grants", "keeper killed", "keeper still", "keeper alone", "work", "work", "work", "hot key", "hot key",
}

func drawHistory(t *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			kind:   rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			pause:  time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond,
			which:  rapid.IntRange(0, modelServers-1).Draw(t, "which"),
			length: time.Duration(rapid.IntRange(50, 4000).Draw(t, "length")) * time.Millisecond,
			key:    rapid.IntRange(0, catalog.LastKey).Draw(t, "key"),
		}
	}), 4, 16).Draw(t, "history")
}

// history plays events in a world.
type history struct {
	*world
	servers []*process // by place
	log     *zap.Logger
	born    int
	lives   int
}

func (h *history) startDaemon(place int) {
	h.lives++
	d := &daemon{
		world: h.world, catalog: catalog.New(), storeAt: time.Now(),
		self: follow.Daemon{Name: model.DaemonID(fmt.Sprintf("daemon-%d", place)), Incarnation: model.Incarnation(fmt.Sprintf("life-%d", h.lives))},
	}
	d.alive, d.end = context.WithCancel(context.Background())
	d.catalog.PublishConfiguration(&catalog.Configuration{Version: 1, Services: map[model.PoolName]*catalog.Service{
		modelService: {Name: modelService, HealthPath: "/healthz", Keyed: true},
	}})
	c := &config.Config{Name: d.self.Name, Fenced: &config.Fenced{MaxHoldSeconds: 4}}
	d.keeper = &Keeper{
		config: c, catalog: d.catalog, follow: d, feed: d, log: h.log.With(zap.String("daemon", string(d.self.Name))),
		tenders: map[model.PoolName]*tender{}, watched: map[model.PoolName]*watchedKeeper{},
	}
	d.keeper.callsTo = func(s *catalog.Server) calls { return &wire{world: h.world, from: d, server: s} }
	d.keeper.ask = d.askAnother
	d.keeper.yield = d.yieldAnother
	h.mu.Lock()
	if place < len(h.keepers) {
		h.keepers[place] = d
	} else {
		h.keepers = append(h.keepers, d)
	}
	h.mu.Unlock()
	go d.hear(d.alive, time.Duration(20+60*place)*time.Millisecond)
	d.keeper.background.Go(d.keeper.lookLoop)
}

// keeping returns the place of the daemon that the record names.
func (h *history) keeping() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	owners, err := follow.DecodeOwners(h.record)
	if err != nil {
		return 0
	}
	for i, d := range h.keepers {
		if d.self.Name == owners.Keeper {
			return i
		}
	}
	return 0
}

func (h *history) startServer(place int, id, address string) {
	h.servers[place] = h.start(model.ServerID(id), address, place == 0)
}

// next names a server that was not there before.
func (h *history) next() string {
	h.born++
	return fmt.Sprintf("next-%d", h.born)
}

func (h *history) play(e event) {
	p := h.servers[e.which]
	old := p.registered
	switch e.kind {
	case "crash":
		h.end(p)
		time.AfterFunc(e.length, func() { h.unregister(old) })
		id := h.next()
		h.startServer(e.which, id, id)
	case "replaced at its address":
		h.end(p)
		time.AfterFunc(e.length, func() { h.unregister(old) })
		h.startServer(e.which, h.next(), old.Address)
	case "reborn":
		h.end(p)
		time.Sleep(time.Millisecond) // a later birth
		h.startServer(e.which, string(old.ID), old.Address)
	case "leave":
		h.leave(p, e.length/2)
		id := h.next()
		h.startServer(e.which, id, id)
	case "keeper killed":
		h.kill(h.keeping())
	case "keeper still":
		d := h.keepers[h.keeping()]
		d.mu.Lock()
		d.stillTill = time.Now().Add(e.length)
		d.mu.Unlock()
	case "keeper alone":
		d := h.keepers[h.keeping()]
		d.mu.Lock()
		d.cutTill = time.Now().Add(2 * e.length)
		d.aloneTill = d.cutTill
		d.mu.Unlock()
	case "store away from one":
		d := h.keepers[e.which%len(h.keepers)]
		d.mu.Lock()
		d.cutTill = time.Now().Add(2 * e.length)
		d.mu.Unlock()
	case "work":
		h.workOn(e.key, e.length)
	case "hot key":
		h.report(&backends.KeyedStats{Keys: map[int]int{e.key: 400, (e.key * 7) % catalog.LastKey: 100}})
	default:
		h.strike(e)
	}
}

// strike begins a fault of the store or of the calls to servers.
func (h *history) strike(e event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateBy = e.length
	switch e.kind {
	case "silent":
		h.servers[e.which].silentTill = time.Now().Add(e.length)
	case "lapse":
		p := h.servers[e.which]
		delete(h.registry, p.registered.ID)
		time.AfterFunc(2*e.length, func() { h.register(p) })
	case "store down":
		h.storeDownTill = time.Now().Add(e.length)
	case "lose writes":
		h.loseWrites = 2
	case "late writes":
		h.lateWrites = 2
	case "lose grants":
		h.loseGrants = 3
	case "late grants":
		h.lateGrants = 3
	case "lingering grants":
		h.lingering = 3
	case "late releases":
		h.lateReleases = 2
	}
}

func (h *history) unregister(s *catalog.Server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.registry[s.ID] == s {
		delete(h.registry, s.ID)
	}
}

// register registers a server anew that had lapsed.
func (h *history) register(p *process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !p.ended && !p.deaf && h.registry[p.registered.ID] == nil {
		h.registry[p.registered.ID] = p.registered
	}
}

// report gives the keeper a load.
func (h *history) report(stats *backends.KeyedStats) {
	for _, d := range h.keepers {
		d.keeper.accept(&reportRequest{Services: map[model.PoolName]*keyedReport{modelService: stats}})
	}
}

// kill ends a daemon, and another life of it starts.
func (h *history) kill(place int) {
	d := h.keepers[place]
	d.mu.Lock()
	d.dead = true
	d.mu.Unlock()
	d.stop()
	h.startDaemon(place)
}

// unowned returns a key that no living server holds.
func (h *history) unowned() (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for key := 0; key <= catalog.LastKey; key += 499 {
		held := false
		for _, p := range h.processes {
			held = held || (!p.ended && p.holds(key, key, now))
		}
		if !held {
			return key, true
		}
	}
	return 0, false
}

// playHistory returns what broke: sole ownership at any time, or keys without an owner
// when all faults are over for long.
func playHistory(events []event) (broken []string, log string) {
	w := newModelWorld()
	h := &history{world: w, servers: make([]*process, modelServers), log: w.logger()}
	for i := range h.servers {
		id := fmt.Sprintf("server-%d", i)
		h.startServer(i, id, id)
	}
	for place := range 2 {
		h.startDaemon(place)
	}
	time.Sleep(2 * time.Second)
	for _, e := range events {
		h.play(e)
		time.Sleep(e.pause)
	}
	h.mu.Lock()
	h.storeDownTill, h.loseWrites, h.lateWrites, h.loseGrants, h.lateGrants, h.lateReleases, h.lingering = time.Time{}, 0, 0, 0, 0, 0, 0
	h.mu.Unlock()
	time.Sleep(modelSettle)
	if key, missing := h.unowned(); missing {
		h.note("key %d has no owner at the end", key)
	}
	for _, d := range h.keepers {
		d.stop()
	}
	time.Sleep(modelRest)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.broken, h.lines.String()
}

// Whatever is lost, late, silent, still or replaced, in any order: each key has one
// owner at a time, under rising fences, and in the end each has one.
func TestKeysHaveOneOwner(t *testing.T) {
	for group := range modelGroups {
		t.Run(fmt.Sprintf("group-%d", group), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				events := drawHistory(rt)
				var broken []string
				var log string
				synctest.Test(t, func(*testing.T) { broken, log = playHistory(events) })
				if len(broken) > 0 {
					rt.Logf("%s", log[:min(len(log), modelLog)])
					rt.Fatalf("%s", strings.Join(broken[:min(len(broken), 5)], "\n"))
				}
			})
		})
	}
}

func TestAQuietHistoryKeepsAllKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken, log := playHistory(nil)
		must.SliceEmpty(t, broken, must.Sprint(log))
	})
}
