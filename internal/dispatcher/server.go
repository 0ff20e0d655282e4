package dispatcher

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorylug/chicorylug/internal/dispatcher/rankqueue"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// Connections that are reserved in a server's connection limit.
const (
	probeConnections    = 2                    // one for each request of a probe
	reservedConnections = probeConnections + 1 // another one checks whether the process has ended
)

// maxHandoverWait is the maximum time for which a new dispatcher of a server sends
// nothing because the previous one may still have requests in progress there.
const maxHandoverWait = 300 * time.Millisecond

// server is the state of one backend server at one address.
type server struct {
	ref        model.ServerRef
	address    string
	createdAt  time.Time // about when the permit was received
	config     atomic.Pointer[serverConfig]
	queue      *Queue
	limit      *slotLimit
	conns      *httplink.Pool // connections that carry requests
	probeConns *httplink.Pool // connections for probes
	health     health
	load       *loadMeter
	crash      crashDetector

	mu      sync.Mutex
	running map[*request]struct{} // requests in progress at the server
}

// serverConfig is the part of the current settings that applies to a server.
type serverConfig struct {
	settings *settings.Compiled
	pool     *settings.Pool
}

// serverFor returns the state of a server, and creates it when the permit is new or
// names another address. It refuses when the daemon has no permit for the server or
// no settings of its pool.
func (d *Dispatcher) serverFor(ref model.ServerRef) (*server, *reason.Error) {
	permit := d.gate.Permit(ref)
	if permit == nil {
		return nil, reason.New(reason.NotDispatcher, "dispatch", ref.String(), "this daemon does not dispatch to the server")
	}
	if s := (*d.servers.Load())[ref]; s != nil && s.address == permit.Address {
		return s, nil
	}
	compiled := d.directory.Load().Settings
	if compiled == nil || compiled.Pools[ref.Pool] == nil {
		return nil, reason.New(reason.NotReady, "dispatch", ref.String(), "no settings of the pool are in force")
	}
	return d.addServer(permit, compiled), nil
}

// addServer creates the state of a server, and replaces one for another address.
func (d *Dispatcher) addServer(permit *ownership.Permit, compiled *settings.Compiled) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	servers := maps.Clone(*d.servers.Load())
	if s := servers[permit.Server]; s != nil {
		if s.address == permit.Address {
			return s
		}
		s.close()
	}
	s := newServer(permit, compiled, d.network.Dial, time.Now())
	s.queue.SetSlots(d.availableSlots(s, s.createdAt))
	if joined, isNew := d.joins.joinedAt(permit.Server); isNew {
		s.limit.startRamp(joined, slowStart(s.config.Load().pool))
	}
	servers[permit.Server] = s
	d.servers.Store(&servers)
	return s
}

func newServer(permit *ownership.Permit, compiled *settings.Compiled, dial httplink.Dial, now time.Time) *server {
	pool := compiled.Pools[permit.Server.Pool]
	s := &server{
		ref:        permit.Server,
		address:    permit.Address,
		createdAt:  now,
		queue:      NewQueue(permit.Server.String(), queueSettings(permit.Slots, pool, compiled)),
		limit:      newSlotLimit(permit.Slots, now),
		conns:      httplink.NewPool(permit.Address, requestConnections(pool), dial),
		probeConns: httplink.NewPool(permit.Address, probeConnections, dial),
		load:       newLoadMeter(now),
		running:    map[*request]struct{}{},
	}
	s.config.Store(&serverConfig{settings: compiled, pool: pool})
	return s
}

// requestConnections returns the maximum number of connections that carry requests
// to a server of the pool, at least one.
func requestConnections(pool *settings.Pool) int { return max(pool.Connections-reservedConnections, 1) }

func queueSettings(slots int, pool *settings.Pool, compiled *settings.Compiled) rankqueue.Settings {
	floors := make([]int, 0, len(compiled.Tree.Fleet.Ranks))
	for _, rank := range compiled.Tree.Fleet.Ranks {
		floors = append(floors, rank.FloorPercent)
	}
	return rankqueue.Settings{Slots: slots, FloorPercent: floors, Limit: pool.QueuePerRank}
}

func slowStart(pool *settings.Pool) time.Duration {
	return time.Duration(pool.SlowStartMS) * time.Millisecond
}

// configure applies new settings. It does nothing if they are already applied or
// have no pool for the server.
func (s *server) configure(compiled *settings.Compiled, slots int) {
	pool := compiled.Pools[s.ref.Pool]
	if pool == nil || s.config.Load().settings == compiled {
		return
	}
	s.queue.Configure(queueSettings(slots, pool, compiled))
	s.conns.SetLimit(requestConnections(pool))
	s.config.Store(&serverConfig{settings: compiled, pool: pool})
}

func (s *server) close() {
	s.conns.Close()
	s.probeConns.Close()
}

// availableSlots returns the number of requests that this dispatcher may have in
// progress at a server now.
func (d *Dispatcher) availableSlots(s *server, now time.Time) int {
	if now.Sub(s.createdAt) < maxHandoverWait && d.handoverPending(s.ref) {
		return 0
	}
	return s.limit.slots(now)
}

// handoverPending reports whether a previous dispatcher of the server may still have
// requests in progress there.
func (d *Dispatcher) handoverPending(ref model.ServerRef) bool {
	assignment := d.directory.Load().Pools[ref.Pool]
	if assignment == nil {
		return false
	}
	assigned := assignment.Server(ref.Server)
	return assigned != nil && slices.ContainsFunc(assigned.Dispatchers, func(other ownership.Dispatcher) bool {
		return other.State == ownership.DispatcherRetiring
	})
}

// dropServers drops the state of servers that have no permit for their address and
// no requests in progress.
func (d *Dispatcher) dropServers(permits []*ownership.Permit) {
	permitted := make(map[model.ServerRef]string, len(permits))
	for _, permit := range permits {
		permitted[permit.Server] = permit.Address
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	before := *d.servers.Load()
	kept := make(map[model.ServerRef]*server, len(before))
	for ref, s := range before {
		if address, ok := permitted[ref]; (ok && address == s.address) || !s.idle() {
			kept[ref] = s
			continue
		}
		s.close()
		d.observations.Remove(ref)
	}
	if len(kept) != len(before) {
		d.servers.Store(&kept)
	}
}

func (s *server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running) == 0
}

// addRunning registers a request that is about to be sent.
func (s *server) addRunning(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[r] = struct{}{}
}

func (s *server) removeRunning(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r)
}

// joinTracker records when servers joined their pools, so that only servers that
// join while the daemon runs get a slow start.
type joinTracker struct {
	mu    sync.Mutex
	pools map[model.PoolName]map[model.ServerID]time.Time // join times; zero for servers of the first assignment seen
}

func newJoinTracker() *joinTracker {
	return &joinTracker{pools: map[model.PoolName]map[model.ServerID]time.Time{}}
}

// update records the servers of the current assignments.
func (t *joinTracker) update(pools map[model.PoolName]*ownership.Assignment, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, assignment := range pools {
		previous, poolKnown := t.pools[name]
		next := make(map[model.ServerID]time.Time, len(assignment.Servers))
		for i := range assignment.Servers {
			id := assignment.Servers[i].ID
			joined, present := previous[id]
			if poolKnown && !present {
				joined = now
			}
			next[id] = joined
		}
		t.pools[name] = next
	}
}

// joinedAt returns when a server joined its pool, or false when it was already in
// the first assignment that this daemon saw.
func (t *joinTracker) joinedAt(ref model.ServerRef) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	joined := t.pools[ref.Pool][ref.Server]
	return joined, !joined.IsZero()
}
