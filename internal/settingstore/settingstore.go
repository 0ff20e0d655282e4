package settingstore

import (
	"context"
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/member"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/spread"
)

// ServiceName is the service's name in the kernel.
const ServiceName kernel.Name = "settings"

// Read rates and time limits.
const (
	fleetReadPeriod   = time.Second            // mean interval between reads of the table by all daemons together
	initialRetryDelay = 250 * time.Millisecond // delay between attempts to load the first version
	readTimeout       = 2 * time.Second        // time limit of one read of the table
	peerTimeout       = time.Second            // time limit of asking all peers, which happens in parallel
)

const (
	topicSettings spread.TopicName = "settings"
	itemTree      spread.ItemName  = "tree"
	methodRecord  rpc.Method       = "settings.record"
)

// Status describes the version that is in force on this daemon.
type Status struct {
	Version settings.Version `json:"version"`
	// Failure is the reason why a newer version could not be put in force, if any.
	Failure string `json:"failure,omitempty"`
}

// Store accepts changes and puts accepted versions in force.
type Store struct {
	config    *config.Config
	loop      *control.Loop
	table     table
	member    *member.Tracker
	spread    *spread.Replicator
	client    *rpc.Client
	directory *directory.Directory
	journal   *journal.Journal
	reads     *expvar.Int
	log       *zap.Logger

	topic *spread.Map

	mu            sync.Mutex
	initialLoaded bool // the first version was loaded; until then versions from peers are not put in force
	status        Status

	background kernel.Background
}

// New returns a store that is not yet started.
func New(
	c *config.Config,
	loop *control.Loop,
	p platform.Platform,
	m *member.Tracker,
	sp *spread.Replicator,
	server *rpc.Server,
	client *rpc.Client,
	dir *directory.Directory,
	registry *metrics.Registry,
	j *journal.Journal,
	log *zap.Logger,
) *Store {
	s := &Store{
		config:    c,
		loop:      loop,
		table:     newTable(p),
		member:    m,
		spread:    sp,
		client:    client,
		directory: dir,
		journal:   j,
		reads:     registry.Int("settings_reads"),
		log:       log.Named(string(ServiceName)),
	}
	s.topic = spread.NewMap(topicSettings, func(spread.Item) { s.apply("told by another daemon") })
	sp.Add(s.topic)
	rpc.Handle(server, methodRecord, s.serveRecord)
	registry.Func("settings_version", func() any { return s.Status().Version })
	return s
}

// Name implements kernel.Service.
func (s *Store) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (s *Store) After() []kernel.Name { return []kernel.Name{member.ServiceName} }

// Ready implements kernel.Service.
func (s *Store) Ready() error {
	if s.directory.Load().Settings == nil {
		return errors.New("no settings in force")
	}
	return nil
}

// Start implements kernel.Service.
func (s *Store) Start(context.Context) error {
	s.background.Go(s.run)
	return nil
}

// Stop implements kernel.Service.
func (s *Store) Stop(context.Context) error {
	s.background.Stop()
	return nil
}

// Status returns the version that is in force on this daemon; Version is 0 if
// there is none.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	status.Version = 0
	if current := s.directory.Load().Settings; current != nil {
		status.Version = current.Version
	}
	return status
}

func (s *Store) run(ctx context.Context) {
	if !s.loadInitial(ctx) {
		return
	}
	for sleep(ctx, s.readInterval()) {
		if err := s.read(ctx); err != nil {
			s.log.Debug("periodic read of the settings table failed", zap.String("step", "read"), zap.String("peer", "platform"), zap.Error(err))
		}
	}
}

// readInterval returns a random time until the next read of the table. Its mean
// grows with the number of daemons, so that the rate of reads by all daemons
// together stays at one per fleetReadPeriod.
func (s *Store) readInterval() time.Duration {
	daemons := max(1, len(s.member.Members().Daemons))
	interval := fleetReadPeriod * time.Duration(daemons)
	return interval/2 + rand.N(interval)
}

// sleep waits for d and returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// loadInitial loads the first version to put in force: the current one of the
// table or, if the table cannot be read, the highest one that a peer has. It
// retries until one is found and returns false if ctx ended first. Versions
// that peers distribute meanwhile are not put in force before it has finished.
func (s *Store) loadInitial(ctx context.Context) bool {
	for {
		err := s.read(ctx)
		if err != nil {
			s.log.Info("cannot read the settings table; asking peers for the settings", zap.String("step", "start"), zap.String("peer", "platform"), zap.Error(err))
			err = s.readPeers(ctx)
		}
		if err == nil {
			s.mu.Lock()
			s.initialLoaded = true
			s.mu.Unlock()
			s.apply("found at the start")
			return true
		}
		if !sleep(ctx, initialRetryDelay) {
			return false
		}
	}
}

func (s *Store) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s.reads.Add(1)
	current, err := s.currentVersion(ctx)
	if err != nil {
		return err
	}
	s.distribute(current.Record, "read from the table")
	return nil
}

type recordRequest struct{}

type recordResponse struct {
	Record *Record `json:"record,omitempty"`
}

func (s *Store) serveRecord(context.Context, *recordRequest) (*recordResponse, error) {
	return &recordResponse{Record: s.newest()}, nil
}

// newest returns the highest version that this daemon has received, or nil.
func (s *Store) newest() *Record {
	item, ok := s.topic.Get(itemTree)
	if !ok {
		return nil
	}
	var record Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		s.log.Error("cannot decode the newest settings record", zap.String("step", "decode"), zap.Error(err))
		return nil
	}
	return &record
}

// readPeers asks all other daemons for their newest version and keeps the highest
// one. It fails if neither this daemon nor any of them has a version.
func (s *Store) readPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	addresses := s.peerAddresses()
	records := make([]*Record, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			response, err := rpc.Call[recordResponse](ctx, s.client, address, methodRecord, &recordRequest{})
			if err != nil {
				s.log.Debug("peer did not return its settings", zap.String("step", "start"), zap.String("peer", address), zap.Error(err))
				return
			}
			records[i] = response.Record
		}()
	}
	wg.Wait()
	if s.newest() == nil && !anyRecord(records) {
		return errors.Errorf("none of %d other daemons returned settings", len(addresses))
	}
	for _, record := range records {
		if record != nil {
			s.distribute(*record, "told by another daemon")
		}
	}
	return nil
}

func anyRecord(records []*Record) bool {
	for _, record := range records {
		if record != nil {
			return true
		}
	}
	return false
}

// peerAddresses returns the control addresses of the other daemons: those whose
// records are available, those that are only on the instance list, and the
// configured seeds.
func (s *Store) peerAddresses() []string {
	members := s.member.Members()
	unique := map[string]bool{}
	for _, daemon := range members.Daemons {
		unique[daemon.Control] = true
	}
	for _, instance := range members.Instances {
		if _, reported := members.Daemons[model.DaemonID(instance.ID)]; instance.Kind == platform.KindDaemon && !reported {
			unique[instance.Address] = true
		}
	}
	for _, seed := range s.config.Seeds {
		unique[seed] = true
	}
	delete(unique, s.config.ControlAddress)
	addresses := make([]string, 0, len(unique))
	for address := range unique {
		addresses = append(addresses, address)
	}
	return addresses
}

// distribute stores a version that was read from the table, accepted by it or
// returned by a peer, pushes it to other daemons if it is new here, and puts it in
// force. source says where the version came from; it is logged and journaled.
func (s *Store) distribute(record Record, source string) {
	value, err := json.Marshal(record)
	if err != nil {
		s.log.Error("cannot encode settings for distribution", zap.String("step", "encode"), zap.Error(err))
		return
	}
	if s.topic.Set(spread.Item{Name: itemTree, Version: spread.Version(record.Version), Value: value}) {
		s.spread.SchedulePush(topicSettings)
	}
	s.apply(source)
}

// apply puts the newest version in force unless it already is. It does nothing
// before the first version was loaded.
func (s *Store) apply(source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.newest()
	if !s.initialLoaded || record == nil || record.Version <= s.status.Version {
		return
	}
	compiled, err := compile(record)
	if err != nil {
		s.recordFailure(record, err)
		return
	}
	s.status = Status{Version: record.Version}
	s.loop.Post(func() { s.publish(compiled) })
	s.journal.Add(journal.Event{
		Kind:    journal.SettingsInForce,
		Subject: "version " + record.Version.String(),
		Cause:   source + "; " + record.Scope.String() + " changed by " + record.Author,
	})
	s.log.Info("settings in force", zap.Uint64("version", uint64(record.Version)), zap.String("author", record.Author), zap.String("source", source))
}

func compile(record *Record) (*settings.Compiled, error) {
	tree, err := settings.Parse([]byte(record.Tree))
	if err != nil {
		return nil, err
	}
	return settings.Compile(tree, record.Version)
}

// publish hands a version to the request path, unless a newer one is in force. It
// must run on the control goroutine.
func (s *Store) publish(compiled *settings.Compiled) {
	if current := s.directory.Load().Settings; current == nil || current.Version < compiled.Version {
		s.directory.PublishSettings(compiled)
	}
}

// recordFailure records and logs that this build cannot compile an accepted
// version, for example one accepted by a newer build. It does so once for the
// same error. The caller must hold mu.
func (s *Store) recordFailure(record *Record, err error) {
	if s.status.Failure == err.Error() {
		return
	}
	s.status.Failure = err.Error()
	s.journal.Add(journal.Event{Kind: journal.SettingsRefused, Subject: "version " + record.Version.String(), Cause: err.Error()})
	s.log.Error("cannot compile an accepted settings version; it is not put in force", zap.String("step", "compile"), zap.Uint64("version", uint64(record.Version)), zap.Error(err))
}
