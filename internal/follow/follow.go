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

// collections are the collections of the store that every daemon replicates.
var collections = []platform.Collection{platform.Configurations, platform.Servers, platform.Shared}

// Daemon is the record with which a daemon registers itself in the store. The encoded
// names are kept for daemons of other builds.
type Daemon struct {
	Name        model.DaemonID    `json:"name"`
	Incarnation model.Incarnation `json:"life"`
	Zone        model.Zone        `json:"zone"`
	Control     string            `json:"control"` // ip:port at which other daemons call it
	// Cores is the number of processor cores that the daemon may use.
	Cores float64 `json:"cores"`
}

// Score returns the daemon's score for a task; the daemon with the highest score is
// chosen. All daemons compute the same score, and a daemon is chosen for a share of
// the tasks that grows with its cores.
func (d Daemon) Score(task string) float64 {
	return placement.WeightedScore(task, string(d.Name), d.Cores)
}

// Follower keeps the copies of the collections current and publishes them to the catalog.
type Follower struct {
	config      *config.Config
	incarnation model.Incarnation
	loop        *control.Loop
	store       platform.RecordStore
	dialect     dialect.Dialect
	catalog     *catalog.Catalog
	client      *rpc.Client
	storeCalls  *metrics.Counter
	log         *zap.Logger

	replicas map[platform.Collection]*replica
	rereads  map[platform.Collection]*rereadLimiter // each used by the goroutine that polls the store for the collection

	mu          sync.Mutex
	daemons     map[model.DaemonID]Daemon
	suspectedAt map[model.DaemonID]time.Time       // when a daemon last did not answer or had outdated data
	changed     chan struct{}                      // closed at the next change of any copy
	servers     map[model.ServerID]*catalog.Server // used on the control goroutine only

	departed map[model.ServerID]*departedServer // used on the control goroutine only

	serversMu     sync.Mutex
	serversReadAt time.Time // when the last successful read of all servers began

	// currentAsOf is when the store last answered this daemon or, if later, one of
	// the daemons that this daemon polls. storeAnsweredAt is when the store last answered
	// this daemon itself. Both are nil before the first answer.
	currentAsOf     atomic.Pointer[time.Time]
	storeAnsweredAt atomic.Pointer[time.Time]
	// registrationsAsOf is the time as of which the copy of the registrations is current. Nil
	// before the first read.
	registrationsAsOf  atomic.Pointer[time.Time]
	failingCollections atomic.Int32 // number of collections whose last poll of the store failed
	// registrationsSettleAt is the time from which on the registrations that the store
	// has are those that servers wrote, see registrationSettleTime. Nil if it always was so.
	registrationsSettleAt atomic.Pointer[time.Time]

	background kernel.Background
}

// New returns a service that is not yet started.
func New(
	c *config.Config,
	loop *control.Loop,
	store platform.RecordStore,
	d dialect.Dialect,
	cat *catalog.Catalog,
	server *rpc.Server,
	client *rpc.Client,
	registry *metrics.Registry,
	log *zap.Logger,
) *Follower {
	f := &Follower{
		config:      c,
		incarnation: model.Incarnation(uuid.NewString()[:8]),
		loop:        loop,
		store:       store,
		dialect:     d,
		catalog:     cat,
		client:      client,
		storeCalls:  registry.Counter(`store_calls_total`),
		log:         log.Named(string(ServiceName)),
		replicas:    map[platform.Collection]*replica{},
		rereads:     map[platform.Collection]*rereadLimiter{},
		daemons:     map[model.DaemonID]Daemon{},
		suspectedAt: map[model.DaemonID]time.Time{},
		changed:     make(chan struct{}),
		servers:     map[model.ServerID]*catalog.Server{},
		departed:    map[model.ServerID]*departedServer{},
	}
	for _, c := range collections {
		f.replicas[c] = newReplica(c == platform.Shared)
		f.rereads[c] = &rereadLimiter{}
	}
	rpc.Handle(server, methodPoll, f.servePoll)
	return f
}

// Name implements kernel.Service.
func (f *Follower) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (f *Follower) After() []kernel.Name { return []kernel.Name{control.ServiceName} }

// Ready implements kernel.Service.
func (f *Follower) Ready() error {
	if f.catalog.Load().Configuration == nil {
		return errors.New("no valid configuration received yet")
	}
	return nil
}

// Start implements kernel.Service.
func (f *Follower) Start(context.Context) error {
	f.background.Go(f.run)
	return nil
}

// Stop implements kernel.Service.
func (f *Follower) Stop(context.Context) error {
	f.background.Stop()
	return nil
}

// Self returns this daemon's record.
func (f *Follower) Self() Daemon {
	return Daemon{Name: f.config.Name, Incarnation: f.incarnation, Zone: f.config.Zone, Control: f.config.AdvertisedControl(), Cores: f.config.Fenced.Cores}
}

// Daemons returns the registered daemons, and this one in any case.
func (f *Follower) Daemons() []Daemon {
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

// Peers returns the control addresses (ip:port) of the other daemons that are not suspected.
func (f *Follower) Peers() []string {
	var peers []string
	for _, d := range f.Daemons() {
		if d.Name != f.config.Name && !f.Suspected(d.Name) {
			peers = append(peers, d.Control)
		}
	}
	return peers
}

// DaemonByName returns the daemon of that name, or false when it is not registered.
func (f *Follower) DaemonByName(name model.DaemonID) (Daemon, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.daemons[name]
	return d, ok
}

// StoreAge returns the time since the store last answered this daemon, 24 h before the first answer.
func (f *Follower) StoreAge() time.Duration { return age(&f.storeAnsweredAt) }

// CopyAge returns the age of the copies: the time since the store last answered this
// daemon or one that it polls, 24 h before the first answer.
func (f *Follower) CopyAge() time.Duration { return age(&f.currentAsOf) }

// unknownAge is the age reported before the first answer.
const unknownAge = 24 * time.Hour

func age(at *atomic.Pointer[time.Time]) time.Duration {
	if t := at.Load(); t != nil {
		return time.Since(*t)
	}
	return unknownAge
}

// StoreReachable reports whether the store answers this daemon: its last answer is
// younger than maxStoreAge, and the last poll of each collection succeeded.
func (f *Follower) StoreReachable() bool {
	return f.StoreAge() < maxStoreAge && f.failingCollections.Load() == 0
}

// Changed returns a channel that is closed at the next change of any copy.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// ApplyWrite updates the copy with a record that this daemon wrote to the store itself.
func (f *Follower) ApplyWrite(c platform.Collection, r platform.Record) {
	f.publish(c, f.replicas[c].applyWrite(r))
}

// SharedRecord returns a record of platform.Shared from the copy, or false when there is none.
func (f *Follower) SharedRecord(name string) (platform.Record, bool) {
	return f.replicas[platform.Shared].get(name)
}

// RefreshShared reads platform.Shared from the store. An error is only logged: the copy
// then stays as it is.
func (f *Follower) RefreshShared(ctx context.Context) {
	if err := f.readCollection(ctx, platform.Shared); err != nil {
		f.log.Warn("shared records could not be read from the store", zap.String("peer", "store"), zap.Error(err))
	}
}

// ReadRegistration returns the registration of a server from a read of the store that
// began after the call; found is false when the server is not registered. It returns
// an error when the store cannot be read, the registration is invalid, or it may be an
// outdated one from an older copy of the store.
func (f *Follower) ReadRegistration(ctx context.Context, id model.ServerID) (server *catalog.Server, found bool, err error) {
	if err := f.readServersAfter(ctx, time.Now()); err != nil {
		return nil, false, err
	}
	if settleAt := f.registrationsSettleAt.Load(); settleAt != nil && time.Now().Before(*settleAt) {
		return nil, false, errors.Errorf("registration of server %s may be outdated for %s more", id, time.Until(*settleAt))
	}
	record, found := f.replicas[platform.Servers].get(string(id))
	if !found {
		return nil, false, nil
	}
	server, err = f.dialect.DecodeServer(record, time.Now())
	return server, err == nil, err
}

// readServersAfter reads all servers unless a read that began after the given time has
// succeeded, so that concurrent callers share one read.
func (f *Follower) readServersAfter(ctx context.Context, after time.Time) error {
	f.serversMu.Lock()
	defer f.serversMu.Unlock()
	if f.serversReadAt.After(after) {
		return nil
	}
	began := time.Now()
	if err := f.readCollection(ctx, platform.Servers); err != nil {
		return errors.Wrap(err, "read server registrations from the store")
	}
	f.serversReadAt = began
	return nil
}

// StoreEra returns the newest era of the store that this daemon has heard of, 0 before the
// first answer.
func (f *Follower) StoreEra() platform.Era {
	newest := platform.Era(0)
	for _, r := range f.replicas {
		newest = max(newest, r.completeUpTo().Era)
	}
	return newest
}

// FollowedSince returns the era in which this process first had a copy of platform.Shared, 0
// before. What the store lost when that era began, it does not know.
func (f *Follower) FollowedSince() platform.Era {
	return f.replicas[platform.Shared].followedSince()
}

// applyUpdate applies an update to the copy of a collection and publishes the changes.
func (f *Follower) applyUpdate(c platform.Collection, u update) {
	if c == platform.Servers && u.Era > max(f.replicas[c].completeUpTo().Era, platform.FirstEra) {
		f.doubtRegistrations()
	}
	result := f.replicas[c].apply(u)
	if result.newEra {
		f.beginEra(c, result.previous, u.Position)
	}
	f.publish(c, result.changes)
}

// publish passes changed records on to the catalog, on the control goroutine, and
// answers the daemons that are waiting for changes.
func (f *Follower) publish(c platform.Collection, changed []change) {
	if len(changed) == 0 {
		return
	}
	f.loop.Post(func() { f.updateCatalog(c, changed) })
	f.notifyChanged()
}

// notifyChanged closes the current channel of Changed and replaces it. Pending polls then
// check again for changes and for the loss of the store.
func (f *Follower) notifyChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

// updateCatalog decodes changed records and publishes them. It runs on the control goroutine.
func (f *Follower) updateCatalog(c platform.Collection, changed []change) {
	switch c {
	case platform.Configurations:
		for _, record := range changed {
			f.applyConfiguration(record.Record)
		}
	case platform.Servers:
		for _, record := range changed {
			f.applyServer(record)
		}
		f.publishServers()
	case platform.Shared:
		for _, record := range changed {
			f.applyShared(record)
		}
	}
}

func (f *Follower) applyConfiguration(record platform.Record) {
	if !f.dialect.IsConfiguration(record.Name) || record.Deleted {
		return
	}
	configuration, err := f.dialect.DecodeConfiguration(record)
	if err != nil {
		f.log.Error("invalid configuration ignored, the last valid one stays in force", zap.Uint64("revision", uint64(record.Revision)), zap.Error(err))
		return
	}
	if f.catalog.PublishConfiguration(configuration) {
		f.log.Info("configuration in force", zap.Uint64("version", configuration.Version), zap.Uint64("revision", uint64(record.Revision)))
	}
}

func (f *Follower) applyShared(changed change) {
	if name, ok := strings.CutPrefix(changed.Name, platform.DaemonPrefix); ok {
		f.applyDaemon(model.DaemonID(name), changed)
		return
	}
	if era, ok := parseOwnersRecordName(changed.Name); ok && !changed.Deleted {
		f.applyOwners(era, changed.Record)
	}
}

func (f *Follower) applyDaemon(name model.DaemonID, record change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.daemons[name]; known && record.acrossEras {
		return // the daemon registers again if this is not its current record
	}
	if record.Deleted {
		delete(f.daemons, name)
		return
	}
	var d Daemon
	if err := json.Unmarshal(record.Value, &d); err != nil {
		f.log.Error("daemon record could not be decoded", zap.String("daemon", string(name)), zap.Error(err))
		return
	}
	f.daemons[name] = d
	delete(f.suspectedAt, name)
}

// applyOwners publishes the owners of a service from their record of an era. A record of
// an earlier era than the store's is used only if none of that era or a later one is
// known: the store came back with an older copy of it, or a keeper that has not heard of
// the new era wrote it.
func (f *Follower) applyOwners(era platform.Era, record platform.Record) {
	owners, err := DecodeOwners(record)
	if err != nil {
		f.log.Error("owners record could not be decoded", zap.String("record", record.Name), zap.Error(err))
		return
	}
	held := f.catalog.Load().Owners[owners.Service]
	if held != nil && era < record.Era && era <= held.Era {
		f.log.Info("owners record of an earlier era ignored", zap.String("record", record.Name),
			zap.Uint64("revision", uint64(owners.Revision)), zap.Uint64("era", uint64(record.Era)))
		return
	}
	if f.catalog.PublishOwners(owners) {
		f.log.Info("owners updated", zap.String("service", string(owners.Service)), zap.Uint64("revision", uint64(owners.Revision)),
			zap.Uint64("era", uint64(owners.Era)), zap.String("keeper", string(owners.Keeper)),
			zap.Uint64("term", uint64(owners.Term)), zap.Int("ranges", len(owners.Ranges)))
	}
}
