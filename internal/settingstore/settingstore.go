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

// Rates and bounds.
const (
	fleetReadPeriod = time.Second            // mean time between two reads of the table by the whole fleet
	startRetry      = 250 * time.Millisecond // time between two tries to find the first version
	readTimeout     = 2 * time.Second        // bound of one read of the table
	peerTimeout     = time.Second            // bound of one question to a peer
)

const (
	topicSettings spread.TopicName = "settings"
	itemTree      spread.ItemName  = "tree"
	methodRecord  rpc.Method       = "settings.record"
)

// Status says which version this daemon serves by.
type Status struct {
	Version settings.Version `json:"version"`
	// Failure says why a newer version could not be put in force.
	Failure string `json:"failure,omitempty"`
}

// Store accepts changes and puts accepted versions in force.
type Store struct {
	config    *config.Config
	loop      *control.Loop
	table     table
	member    *member.Tracker
	spread    *spread.Spread
	client    *rpc.Client
	directory *directory.Directory
	journal   *journal.Journal
	reads     *expvar.Int
	log       *zap.Logger

	topic *spread.Map

	mu      sync.Mutex
	started bool // the first version was found; until then spread items wait
	state   Status

	background kernel.Background
}

// New returns a store that is not yet started.
func New(
	c *config.Config,
	loop *control.Loop,
	p platform.Platform,
	m *member.Tracker,
	sp *spread.Spread,
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
		table:     table{p},
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

// Status returns the version that this daemon serves by.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state
	state.Version = 0
	if current := s.directory.Load().Settings; current != nil {
		state.Version = current.Version
	}
	return state
}

func (s *Store) run(ctx context.Context) {
	if !s.findFirst(ctx) {
		return
	}
	for pause(ctx, s.readPause()) {
		if err := s.read(ctx); err != nil {
			s.log.Debug("settings not read", zap.String("step", "read"), zap.String("peer", "platform"), zap.Error(err))
		}
	}
}

// readPause is this daemon's share of the fleet's reads: the more daemons there
// are, the more rarely each reads.
func (s *Store) readPause() time.Duration {
	daemons := max(1, len(s.member.Members().Daemons))
	share := fleetReadPeriod * time.Duration(daemons)
	return share/2 + rand.N(share)
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// findFirst finds the version to start with: the table's, or the highest of all
// peers while the table does not answer. What peers spread waits until then.
func (s *Store) findFirst(ctx context.Context) bool {
	for {
		err := s.read(ctx)
		if err != nil {
			s.log.Info("asking peers for settings", zap.String("step", "start"), zap.String("peer", "platform"), zap.Error(err))
			err = s.readPeers(ctx)
		}
		if err == nil {
			s.mu.Lock()
			s.started = true
			s.mu.Unlock()
			s.apply("found at the start")
			return true
		}
		if !pause(ctx, startRetry) {
			return false
		}
	}
}

func (s *Store) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s.reads.Add(1)
	now, err := s.table.current(ctx)
	if err != nil {
		return err
	}
	s.learn(now.Record, "read from the table")
	return nil
}

type recordRequest struct{}

type recordAnswer struct {
	Record *Record `json:"record,omitempty"`
}

func (s *Store) serveRecord(context.Context, *recordRequest) (*recordAnswer, error) {
	return &recordAnswer{Record: s.newest()}, nil
}

// newest returns the highest version known here, or nil.
func (s *Store) newest() *Record {
	item, ok := s.topic.Get(itemTree)
	if !ok {
		return nil
	}
	var record Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		s.log.Error("settings not read", zap.String("step", "decode"), zap.Error(err))
		return nil
	}
	return &record
}

// readPeers asks all known daemons and takes the highest version.
func (s *Store) readPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	addresses := s.peerAddresses()
	records := make([]*Record, len(addresses))
	var all sync.WaitGroup
	for i, address := range addresses {
		all.Add(1)
		go func() {
			defer all.Done()
			answer, err := rpc.Call[recordAnswer](ctx, s.client, address, methodRecord, &recordRequest{})
			if err != nil {
				s.log.Debug("settings not told", zap.String("step", "start"), zap.String("peer", address), zap.Error(err))
				return
			}
			records[i] = answer.Record
		}()
	}
	all.Wait()
	if s.newest() == nil && !anyRecord(records) {
		return errors.Errorf("none of %d daemons knows the settings", len(addresses))
	}
	for _, record := range records {
		if record != nil {
			s.learn(*record, "told by another daemon")
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

// peerAddresses returns the control addresses of all other daemons that are listed, known or seeds.
func (s *Store) peerAddresses() []string {
	members := s.member.Members()
	known := map[string]bool{}
	for _, daemon := range members.Daemons {
		known[daemon.Control] = true
	}
	for _, instance := range members.Instances {
		if _, recorded := members.Daemons[model.DaemonID(instance.ID)]; instance.Kind == platform.KindDaemon && !recorded {
			known[instance.Address] = true
		}
	}
	for _, seed := range s.config.Seeds {
		known[seed] = true
	}
	delete(known, s.config.ControlAddress)
	addresses := make([]string, 0, len(known))
	for address := range known {
		addresses = append(addresses, address)
	}
	return addresses
}

// learn takes a version that the table holds, and spreads it.
func (s *Store) learn(record Record, source string) {
	value, err := json.Marshal(record)
	if err != nil {
		s.log.Error("settings not spread", zap.String("step", "encode"), zap.Error(err))
		return
	}
	if s.topic.Set(spread.Item{Name: itemTree, Version: spread.Version(record.Version), Value: value}) {
		s.spread.SchedulePush(topicSettings)
	}
	s.apply(source)
}

// apply puts the highest known version in force.
func (s *Store) apply(source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.newest()
	if !s.started || record == nil || record.Version <= s.state.Version {
		return
	}
	compiled, err := compile(record)
	if err != nil {
		s.refused(record, err)
		return
	}
	s.state = Status{Version: record.Version}
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

// publish runs on the control goroutine.
func (s *Store) publish(compiled *settings.Compiled) {
	if current := s.directory.Load().Settings; current == nil || current.Version < compiled.Version {
		s.directory.PublishSettings(compiled)
	}
}

// refused notes that this program cannot read an accepted version, such as one
// accepted by a newer program. It runs under the lock.
func (s *Store) refused(record *Record, err error) {
	if s.state.Failure == err.Error() {
		return
	}
	s.state.Failure = err.Error()
	s.journal.Add(journal.Event{Kind: journal.SettingsRefused, Subject: "version " + record.Version.String(), Cause: err.Error()})
	s.log.Error("settings not put in force", zap.String("step", "compile"), zap.Uint64("version", uint64(record.Version)), zap.Error(err))
}
