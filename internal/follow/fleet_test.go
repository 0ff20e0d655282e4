package follow

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// callDelay is the time that a call to the store or to another daemon takes.
const callDelay = 2 * time.Millisecond

// fleetStore is a store with long polls that counts its calls. It may be down, slow or turn
// calls away, and come back from an older copy.
type fleetStore struct {
	mu       sync.Mutex
	position platform.Position
	records  map[platform.Collection]map[string]platform.Record
	changed  chan struct{} // closed at the next change
	calls    []time.Time

	down         bool
	silent       bool // while down, calls get no answer instead of a refusal
	delay        time.Duration
	refusedShare float64 // of the calls, at random
}

func newFleetStore() *fleetStore {
	s := &fleetStore{position: firstEra(100), records: map[platform.Collection]map[string]platform.Record{}, changed: make(chan struct{})}
	for _, c := range collections {
		s.records[c] = map[string]platform.Record{}
	}
	return s
}

// begin counts a call, waits as long as the store takes for it, and fails if it refuses it.
func (s *fleetStore) begin(ctx context.Context) error {
	s.mu.Lock()
	s.calls = append(s.calls, time.Now())
	down, silent, delay := s.down, s.silent, s.delay
	refused := down || rand.Float64() < s.refusedShare
	s.mu.Unlock()
	sleep(ctx, callDelay+delay)
	if down && silent {
		<-ctx.Done()
	}
	if ctx.Err() != nil || refused {
		return platform.ErrUnavailable
	}
	return nil
}

// Read implements platform.RecordStore.
func (s *fleetStore) Read(ctx context.Context, c platform.Collection) (platform.Page, error) {
	if err := s.begin(ctx); err != nil {
		return platform.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := platform.Page{Position: s.position}
	for _, record := range s.records[c] {
		if record.Deleted {
			continue
		}
		record.Era = s.position.Era
		page.Records = append(page.Records, record)
	}
	return page, nil
}

// Changes implements platform.RecordStore. A poll that waits while the store goes down fails.
func (s *fleetStore) Changes(ctx context.Context, c platform.Collection, after platform.Position, wait time.Duration) (platform.Page, error) {
	if err := s.begin(ctx); err != nil {
		return platform.Page{}, err
	}
	end := time.After(wait)
	for {
		s.mu.Lock()
		changed, down := s.changed, s.down
		page := platform.Page{Position: s.position}
		for _, record := range s.records[c] {
			if record.Revision > after.Revision {
				record.Era = s.position.Era
				page.Records = append(page.Records, record)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			return platform.Page{}, platform.ErrUnavailable
		case page.Era != after.Era:
			return platform.Page{}, platform.ErrHistoryGone
		case len(page.Records) > 0:
			return page, nil
		}
		select {
		case <-changed:
		case <-end:
			return page, nil
		case <-ctx.Done():
			return platform.Page{}, platform.ErrUnavailable
		}
	}
}

// Put implements platform.RecordStore.
func (s *fleetStore) Put(ctx context.Context, c platform.Collection, r platform.Record, expect platform.Revision) (platform.Position, error) {
	if err := s.begin(ctx); err != nil {
		return platform.Position{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records[c][r.Name].Revision != expect {
		return platform.Position{Era: s.position.Era}, platform.ErrConflict
	}
	s.position.Revision++
	r.Position = s.position
	s.records[c][r.Name] = r
	s.notify()
	return s.position, nil
}

// notify wakes the polls. s.mu must be held.
func (s *fleetStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// stop has the store go down.
func (s *fleetStore) stop(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.silent = true, silent
	s.notify()
}

// restore has the store come back from a copy that lacks the latest records of daemons.
func (s *fleetStore) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	daemons := slices.SortedFunc(maps.Values(s.records[platform.Shared]), func(a, b platform.Record) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, record := range daemons[:lost] {
		delete(s.records[platform.Shared], record.Name)
	}
	s.position = platform.Position{Era: s.position.Era + 1, Revision: daemons[lost].Revision}
	s.notify()
}

// callsBetween returns the number of calls from one time up to another.
func (s *fleetStore) callsBetween(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := sort.Search(len(s.calls), func(i int) bool { return !s.calls[i].Before(from) })
	return sort.Search(len(s.calls), func(i int) bool { return !s.calls[i].Before(to) }) - first
}

// storeFleet is a fleet of daemons that follow a store.
type storeFleet struct {
	store     *fleetStore
	followers map[string]*Follower // by control address
	loops     []*control.Loop

	mu     sync.Mutex
	frozen map[string]bool // control addresses of the daemons that answer no calls
	cut    map[string]bool // of those that do not reach the store
	alone  map[string]bool // of those that reach the store, but no other daemon
}

// ownStore is the store as one daemon reaches it.
type ownStore struct {
	*fleetStore
	fleet   *storeFleet
	address string // of the daemon
}

// awaitPath waits until ctx ends if the daemon is cut off from the store.
func (s *ownStore) awaitPath(ctx context.Context) error {
	s.fleet.mu.Lock()
	cut := s.fleet.cut[s.address]
	s.fleet.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	return platform.ErrUnavailable
}

// Read implements platform.RecordStore.
func (s *ownStore) Read(ctx context.Context, c platform.Collection) (platform.Page, error) {
	if err := s.awaitPath(ctx); err != nil {
		return platform.Page{}, err
	}
	return s.fleetStore.Read(ctx, c)
}

// Changes implements platform.RecordStore. The answer is lost if the daemon is cut off meanwhile.
func (s *ownStore) Changes(ctx context.Context, c platform.Collection, after platform.Position, wait time.Duration) (platform.Page, error) {
	if err := s.awaitPath(ctx); err != nil {
		return platform.Page{}, err
	}
	page, err := s.fleetStore.Changes(ctx, c, after, wait)
	if lost := s.awaitPath(ctx); lost != nil {
		return platform.Page{}, lost
	}
	return page, err
}

// startFleet starts daemons that have been registered before, and waits until they follow the
// store.
func startFleet(daemons, zones int) *storeFleet {
	fleet := &storeFleet{store: newFleetStore(), followers: map[string]*Follower{}}
	for i := range daemons {
		name := fmt.Sprintf("d%d", i)
		c := &config.Config{
			Name: model.DaemonID(name), Zone: model.Zone(fmt.Sprintf("z%d", i%zones)), ControlAddress: name,
			Seeds: []string{"d0", "d1", "d2"}, Fenced: &config.Fenced{Cores: 1},
		}
		fleet.add(c)
	}
	for _, f := range fleet.followers {
		value, err := daemonRecord{Daemon: f.Self(), Era: platform.FirstEra}.encode()
		if err != nil {
			panic(err) // cannot happen: numbers and strings always encode
		}
		name := platform.DaemonPrefix + string(f.config.Name)
		fleet.store.records[platform.Shared][name] = platform.Record{Name: name, Value: value, Position: firstEra(1)}
	}
	for _, f := range fleet.followers {
		f.background.Go(f.run)
		time.Sleep(callDelay)
	}
	time.Sleep(10 * time.Second)
	return fleet
}

func (fleet *storeFleet) add(c *config.Config) {
	registry := metrics.New()
	loop := control.NewLoop()
	client := rpc.NewClient(&netx.Network{}, registry)
	f := New(c, loop, &ownStore{fleetStore: fleet.store, fleet: fleet, address: c.ControlAddress}, jsonDialect{}, catalog.New(), rpc.NewServer(registry), client, registry, zap.NewNop())
	f.catalog.PublishConfiguration(&catalog.Configuration{Version: 1})
	f.callPeer = func(ctx context.Context, address string, r *pollRequest) (*pollResponse, error) {
		sleep(ctx, callDelay)
		peer := fleet.followers[address]
		if peer == nil {
			return nil, errors.Wrap(syscall.ECONNREFUSED, "call")
		}
		if fleet.isFrozen(address) || fleet.isAlone(address) || fleet.isAlone(c.ControlAddress) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return peer.servePoll(ctx, r)
	}
	fleet.followers[c.ControlAddress] = f
	fleet.loops = append(fleet.loops, loop)
}

// freeze has the daemons at the given control addresses answer no calls, and all others answer.
func (fleet *storeFleet) freeze(addresses []string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.frozen = map[string]bool{}
	for _, address := range addresses {
		fleet.frozen[address] = true
	}
}

func (fleet *storeFleet) isFrozen(address string) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.frozen[address]
}

func (fleet *storeFleet) isAlone(address string) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.alone[address]
}

// impair has some daemons stand still, others not reach the store, and others reach no daemon.
func (fleet *storeFleet) impair(frozen, cut, alone []string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.frozen, fleet.cut, fleet.alone = setOf(frozen), setOf(cut), setOf(alone)
}

func setOf(addresses []string) map[string]bool {
	set := map[string]bool{}
	for _, address := range addresses {
		set[address] = true
	}
	return set
}

func (fleet *storeFleet) stop() {
	var stopping sync.WaitGroup
	for _, f := range fleet.followers {
		stopping.Go(func() { f.background.Stop() })
	}
	stopping.Wait()
	time.Sleep(time.Minute) // pending timers of the followers
	for _, loop := range fleet.loops {
		loop.Close()
	}
}

// restoreHistory is how a store fails and comes back.
type restoreHistory struct {
	daemons      int
	silent       bool // while the store is down, calls get no answer
	outage       time.Duration
	lost         int           // number of daemons whose records the store has lost
	again        time.Duration // after which the store comes back a second time, 0 if it does not
	delay        time.Duration // of each answer after the return
	refusedShare float64       // of the calls after the return
}

// play runs a history, and returns the numbers of calls in each second after the last return
// and on average before the first one.
func (h restoreHistory) play() (after []int, quiet float64) {
	const quietTime, watchedTime = 10 * time.Second, 15 * time.Second
	fleet := startFleet(h.daemons, 3)
	store := fleet.store
	began := time.Now()
	time.Sleep(quietTime)
	quiet = float64(store.callsBetween(began, time.Now())) / quietTime.Seconds()
	store.stop(h.silent)
	time.Sleep(h.outage)
	store.mu.Lock()
	store.delay, store.refusedShare = h.delay, h.refusedShare
	store.mu.Unlock()
	store.restore(h.lost)
	if h.again > 0 {
		time.Sleep(h.again)
		store.restore(0)
	}
	back := time.Now()
	time.Sleep(watchedTime)
	for at := back; at.Before(back.Add(watchedTime)); at = at.Add(time.Second) {
		after = append(after, store.callsBetween(at, at.Add(time.Second)))
	}
	fleet.stop()
	return after, quiet
}

// While the store was away, each daemon of a fleet called it, as no designated daemon reached it,
// and so they did for seconds after its return: 195 daemons made 1,244 calls in the second after
// a return and 834 in the next one, 8.4 on a quiet day.
func TestCallsAfterARestoreAreFew(t *testing.T) {
	histories := map[string]restoreHistory{}
	for _, daemons := range []int{25, 195} {
		for name, h := range map[string]restoreHistory{
			"refusing":        {outage: 3 * time.Second, lost: 3},
			"silent":          {outage: 3 * time.Second, lost: 3, silent: true},
			"long silent":     {outage: 12 * time.Second, lost: 3, silent: true},
			"twice":           {outage: 2 * time.Second, lost: 3, again: 1500 * time.Millisecond},
			"slow afterwards": {outage: 2 * time.Second, lost: 3, delay: 200 * time.Millisecond},
			"a third refused": {outage: 2 * time.Second, lost: 3, refusedShare: 1.0 / 3},
		} {
			h.daemons = daemons
			histories[fmt.Sprintf("%d daemons %s", daemons, name)] = h
		}
	}
	for name, h := range histories {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				after, quiet := h.play()
				if testing.Verbose() {
					t.Logf("%s: quiet %.1f calls a second, after the return %v", name, quiet, after)
				}
				h.check(t, after, quiet)
			})
		})
	}
}

// check fails the test if more calls were made than allowed: in the first seconds at most twice
// those of a quiet day, and then again as many as on one, give or take the phases of the polls.
// Calls that the store turns away are made once more.
func (h restoreHistory) check(t *testing.T, after []int, quiet float64) {
	const busySeconds, slack = 5, 1.2
	const rounding = 1e-6 // calls
	repeated := 1 / (1 - h.refusedShare)
	for i := 0; i+busySeconds <= len(after); i++ {
		calls := 0
		for _, n := range after[i : i+busySeconds] {
			calls += n
		}
		allowed := 2 * quiet * busySeconds * repeated
		if i >= busySeconds && h.refusedShare == 0 {
			allowed = slack * quiet * busySeconds
		}
		must.LessEq(t, allowed+rounding, float64(calls), must.Sprintf("from second %d on; on a quiet day %.1f a second, after the return %v", i, quiet, after))
	}
}
