package follow

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// ServiceName is the service's name in the kernel.
const ServiceName kernel.Name = "follow"

// collections are followed together.
var collections = []platform.Collection{platform.Configurations, platform.Servers, platform.Shared}

// Daemon is a known daemon.
type Daemon struct {
	Name    model.DaemonID    `json:"name"`
	Life    model.Incarnation `json:"life"`
	Zone    model.Zone        `json:"zone"`
	Control string            `json:"control"` // ip:port for calls of other daemons
	// Cores is the processor that the daemon may use.
	Cores float64 `json:"cores"`
}

// Points ranks a daemon for a task among others; more cores make more points likely.
func (d Daemon) Points(task string) float64 {
	return placement.Weighted(task, string(d.Name), d.Cores)
}

// Follow keeps the copies and publishes them to the catalog.
type Follow struct {
	config  *config.Config
	life    model.Incarnation
	loop    *control.Loop
	feed    platform.Feed
	dialect dialect.Dialect
	catalog *catalog.Catalog
	client  *rpc.Client
	calls   *metrics.Counter
	log     *zap.Logger

	replicas map[platform.Collection]*replica

	mu      sync.Mutex
	daemons map[model.DaemonID]Daemon
	failed  map[model.DaemonID]time.Time // last failed call by daemon
	changed chan struct{}                // closed at the next change of any copy
	servers map[model.ServerID]*catalog.Server

	serversMu     sync.Mutex
	serversReadAt time.Time // when the last reading of all servers began

	// heardAt is when the store, or a daemon that hears from it, last answered;
	// storeAt when the store itself last answered this daemon.
	heardAt atomic.Pointer[time.Time]
	storeAt atomic.Pointer[time.Time]
	failing atomic.Int32 // collections that the store does not give this daemon

	background kernel.Background
}

// New returns a service that is not yet started.
func New(
	c *config.Config,
	loop *control.Loop,
	feed platform.Feed,
	d dialect.Dialect,
	cat *catalog.Catalog,
	server *rpc.Server,
	client *rpc.Client,
	registry *metrics.Registry,
	log *zap.Logger,
) *Follow {
	f := &Follow{
		config:   c,
		life:     model.Incarnation(uuid.NewString()[:8]),
		loop:     loop,
		feed:     feed,
		dialect:  d,
		catalog:  cat,
		client:   client,
		calls:    registry.Counter(`store_calls_total`),
		log:      log.Named(string(ServiceName)),
		replicas: map[platform.Collection]*replica{},
		daemons:  map[model.DaemonID]Daemon{},
		failed:   map[model.DaemonID]time.Time{},
		changed:  make(chan struct{}),
		servers:  map[model.ServerID]*catalog.Server{},
	}
	for _, c := range collections {
		f.replicas[c] = newReplica()
	}
	rpc.Handle(server, methodPoll, f.servePoll)
	return f
}

// Name implements kernel.Service.
func (f *Follow) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (f *Follow) After() []kernel.Name { return []kernel.Name{control.ServiceName} }

// Ready implements kernel.Service.
func (f *Follow) Ready() error {
	if f.catalog.Load().Configuration == nil {
		return errors.New("no configuration is known")
	}
	return nil
}

// Start implements kernel.Service.
func (f *Follow) Start(context.Context) error {
	f.background.Go(f.run)
	return nil
}

// Stop implements kernel.Service.
func (f *Follow) Stop(context.Context) error {
	f.background.Stop()
	return nil
}

// Self returns this daemon's record.
func (f *Follow) Self() Daemon {
	return Daemon{Name: f.config.Name, Life: f.life, Zone: f.config.Zone, Control: f.config.ControlAddress, Cores: f.config.Fenced.Cores}
}

// Daemons returns the known daemons, this one included.
func (f *Follow) Daemons() []Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Daemon, 0, len(f.daemons)+1)
	for _, d := range f.daemons {
		if d.Name != f.config.Name {
			list = append(list, d)
		}
	}
	return append(list, f.Self())
}

// Peers returns the control addresses of the other daemons that answer.
func (f *Follow) Peers() []string {
	var peers []string
	for _, d := range f.Daemons() {
		if d.Name != f.config.Name && !f.Suspected(d.Name) {
			peers = append(peers, d.Control)
		}
	}
	return peers
}

// DaemonByName returns a known daemon.
func (f *Follow) DaemonByName(name model.DaemonID) (Daemon, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.daemons[name]
	return d, ok
}

// StoreAge returns the time since the store answered this daemon.
func (f *Follow) StoreAge() time.Duration { return age(&f.storeAt) }

// Age returns the time since this daemon heard from the store, itself or
// through another daemon.
func (f *Follow) Age() time.Duration { return age(&f.heardAt) }

// never is the age of what was not heard yet.
const never = 24 * time.Hour

func age(at *atomic.Pointer[time.Time]) time.Duration {
	if t := at.Load(); t != nil {
		return time.Since(*t)
	}
	return never
}

// OnStore reports that this daemon hears from the store itself.
func (f *Follow) OnStore() bool { return f.StoreAge() < freshWithin && f.failing.Load() == 0 }

// Changed returns a channel that is closed at the next change of any copy.
func (f *Follow) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Learn takes a record that this daemon wrote.
func (f *Follow) Learn(c platform.Collection, r platform.Record) {
	f.publish(c, f.replicas[c].learn(r))
}

// SharedRecord returns one of the system's own records.
func (f *Follow) SharedRecord(name string) (platform.Record, bool) {
	return f.replicas[platform.Shared].get(name)
}

// Refresh reads the system's own records anew.
func (f *Follow) Refresh(ctx context.Context) {
	if err := f.read(ctx, platform.Shared); err != nil {
		f.log.Warn("records not read", zap.String("peer", "store"), zap.Error(err))
	}
}

// Registered returns the registration of a server as the store has it after the
// call began; found is false when it has none.
func (f *Follow) Registered(ctx context.Context, id model.ServerID) (server *catalog.Server, found bool, err error) {
	if err := f.readServersAfter(ctx, time.Now()); err != nil {
		return nil, false, err
	}
	record, found := f.replicas[platform.Servers].get(string(id))
	if !found {
		return nil, false, nil
	}
	server, err = f.dialect.Server(record, time.Now())
	return server, err == nil, err
}

// readServersAfter reads the servers anew, once for all that ask at the same time.
func (f *Follow) readServersAfter(ctx context.Context, asked time.Time) error {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	if f.serversReadAt.After(asked) {
		return nil
	}
	began := time.Now()
	if err := f.read(ctx, platform.Servers); err != nil {
		return errors.Wrap(err, "read servers")
	}
	f.serversReadAt = began
	return nil
}

// publish derives beliefs from changed records, tells the daemons that wait for
// changes, and logs each belief.
func (f *Follow) publish(c platform.Collection, changed []platform.Record) {
	if len(changed) == 0 {
		return
	}
	f.loop.Post(func() { f.derive(c, changed) })
	f.wake()
}

// wake lets the daemons that wait for changes look again.
func (f *Follow) wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// derive runs on the control goroutine.
func (f *Follow) derive(c platform.Collection, changed []platform.Record) {
	switch c {
	case platform.Configurations:
		for _, record := range changed {
			f.takeConfiguration(record)
		}
	case platform.Servers:
		for _, record := range changed {
			f.takeServer(record)
		}
		f.publishServers()
	case platform.Shared:
		for _, record := range changed {
			f.takeShared(record)
		}
	}
}

func (f *Follow) takeConfiguration(record platform.Record) {
	if !f.dialect.IsConfiguration(record.Name) || record.Gone {
		return
	}
	configuration, err := f.dialect.Configuration(record)
	if err != nil {
		f.log.Error("configuration not taken, the last good one stays", zap.Uint64("revision", uint64(record.Revision)), zap.Error(err))
		return
	}
	if f.catalog.PublishConfiguration(configuration) {
		f.log.Info("configuration in force", zap.Uint64("version", configuration.Version), zap.Uint64("revision", uint64(record.Revision)))
	}
}

func (f *Follow) takeServer(record platform.Record) {
	id := model.ServerID(record.Name)
	if record.Gone {
		f.serverGone(id, record)
		return
	}
	server, err := f.dialect.Server(record, time.Now())
	if err != nil {
		delete(f.servers, id)
		f.log.Warn("registration names no server", zap.String("server", record.Name), zap.Uint64("revision", uint64(record.Revision)), zap.Error(err))
		return
	}
	held := f.servers[id]
	if server.Leaving {
		server.LeavingSince = time.Now()
		if held != nil && held.Leaving && held.SameProcess(server) {
			server.LeavingSince = held.LeavingSince
		}
	}
	f.servers[id] = server
	if held == nil || held.Leaving != server.Leaving || !held.SameProcess(server) {
		f.log.Info("server known",
			zap.String("server", record.Name), zap.String("service", string(server.Service)),
			zap.String("address", server.Address), zap.Bool("leaving", server.Leaving),
			zap.Int64("born", server.StartedMS), zap.Uint64("revision", uint64(record.Revision)))
	}
}

// goneGrace is the time for which a server that is not registered any more may
// still get requests for keys that it owns.
const goneGrace = 1500 * time.Millisecond

// serverGone keeps a server that is gone for a short time: it may only have
// lapsed while the store was away.
func (f *Follow) serverGone(id model.ServerID, record platform.Record) {
	held := f.servers[id]
	if held == nil || held.Deregistered {
		return
	}
	f.log.Info("server gone", zap.String("server", record.Name), zap.Uint64("revision", uint64(record.Revision)))
	gone := *held
	gone.Deregistered = true
	if !gone.Leaving {
		gone.Leaving = true
		gone.LeavingSince = time.Now()
	}
	f.servers[id] = &gone
	time.AfterFunc(goneGrace, func() { f.loop.Post(func() { f.dropGone(id) }) })
}

func (f *Follow) dropGone(id model.ServerID) {
	if held := f.servers[id]; held != nil && held.Deregistered {
		delete(f.servers, id)
		f.publishServers()
	}
}

func (f *Follow) publishServers() {
	servers := make(map[model.ServerID]*catalog.Server, len(f.servers))
	for id, server := range f.servers {
		servers[id] = server
	}
	f.catalog.PublishServers(servers)
}

func (f *Follow) takeShared(record platform.Record) {
	if name, ok := strings.CutPrefix(record.Name, platform.DaemonPrefix); ok {
		f.takeDaemon(model.DaemonID(name), record)
		return
	}
	if service, ok := strings.CutPrefix(record.Name, ownersPrefix); ok && !record.Gone {
		f.takeOwners(model.PoolName(service), record)
	}
}

func (f *Follow) takeDaemon(name model.DaemonID, record platform.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if record.Gone {
		delete(f.daemons, name)
		return
	}
	var d Daemon
	if err := json.Unmarshal(record.Value, &d); err != nil {
		f.log.Error("record of a daemon not read", zap.String("daemon", string(name)), zap.Error(err))
		return
	}
	f.daemons[name] = d
	delete(f.failed, name)
}

func (f *Follow) takeOwners(service model.PoolName, record platform.Record) {
	owners, err := DecodeOwners(record)
	if err != nil {
		f.log.Error("owners not read", zap.String("service", string(service)), zap.Error(err))
		return
	}
	if f.catalog.PublishOwners(owners) {
		f.log.Info("owners known", zap.String("service", string(service)), zap.Uint64("revision", owners.Revision),
			zap.String("keeper", string(owners.Keeper)), zap.Uint64("term", uint64(owners.Term)), zap.Int("ranges", len(owners.Ranges)))
	}
}
