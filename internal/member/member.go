package member

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/spread"
)

// ServiceName is the service's name in the kernel.
const ServiceName kernel.Name = "member"

// Intervals and bounds.
const (
	readInterval      = time.Second      // mean time between two reads of the list by one reader
	readTimeout       = time.Second      // for one read
	readerCount       = 2                // number of daemons that read the list while it is current
	maxListAge        = 5 * time.Second  // age of the list above which every daemon reads it
	unlistedRetention = 30 * time.Second // time for which the record of an unlisted daemon is kept
	minFreshInterval  = 2 * time.Second  // least time between two updates of itemFresh while the list is unchanged
)

// Topics that the service spreads: the records of the daemons, by daemon, and the instance list.
const (
	topicDaemons   spread.TopicName = "daemons"
	topicInstances spread.TopicName = "instances"
)

// Items of topicInstances: the list, and a marker whose version is the time of the last read
// in Unix milliseconds, so that an unchanged list need not be spread again.
const (
	itemList  spread.ItemName = "list"
	itemFresh spread.ItemName = "fresh"
)

// Members is a snapshot of the instances and daemons. It is immutable.
type Members struct {
	// Instances is the platform's list as last read by any daemon, sorted by ID.
	Instances []platform.Instance
	// Daemons holds the listed daemons whose records have arrived, and this daemon itself.
	Daemons map[model.DaemonID]directory.Daemon
}

// Tracker keeps the instance list and the records of the daemons current.
type Tracker struct {
	config      *config.Config
	incarnation model.Incarnation
	started     time.Time
	loop        *control.Loop
	platform    platform.InstanceList
	spread      *spread.Replicator
	directory   *directory.Directory
	countRead   func() // increments the metric of list reads
	log         *zap.Logger

	daemons   *spread.Map // items of topicDaemons
	instances *spread.Map // items of topicInstances

	mu            sync.Mutex
	members       Members
	listFreshAt   time.Time                    // when this daemon last read the list or received that another one did
	unlistedSince map[model.DaemonID]time.Time // when run first saw that a daemon with a record is not listed; used by run only
	recordCount   uint64                       // number of records of this daemon that were spread
	era           platform.Era                 // newest era of the store; zero before its first answer
	copiedUntil   time.Time                    // until when the store's list is that of an older copy

	background kernel.Background
}

// New returns a tracker that is not yet started.
func New(
	c *config.Config,
	loop *control.Loop,
	p platform.Platform,
	s *spread.Replicator,
	dir *directory.Directory,
	registry *metrics.Registry,
	log *zap.Logger,
) *Tracker {
	counter := registry.Int("instance_list_reads")
	m := &Tracker{
		config:        c,
		incarnation:   model.Incarnation(uuid.NewString()),
		started:       time.Now(),
		loop:          loop,
		platform:      p,
		spread:        s,
		directory:     dir,
		countRead:     func() { counter.Add(1) },
		log:           log.Named(string(ServiceName)),
		unlistedSince: map[model.DaemonID]time.Time{},
	}
	m.daemons = spread.NewMap(topicDaemons, func(spread.Item) { m.publishMembers() })
	m.instances = spread.NewMap(topicInstances, m.instancesItemChanged)
	s.Add(m.daemons)
	s.Add(m.instances)
	s.SetPeers(m.peers)
	p.OnEra(m.noticeEra)
	return m
}

// Name implements kernel.Service.
func (m *Tracker) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (m *Tracker) After() []kernel.Name { return []kernel.Name{control.ServiceName} }

// Ready implements kernel.Service.
func (m *Tracker) Ready() error { return nil }

// Start implements kernel.Service.
func (m *Tracker) Start(context.Context) error {
	m.announce(false)
	m.background.Go(m.run)
	return nil
}

// Stop implements kernel.Service.
func (m *Tracker) Stop(context.Context) error {
	m.background.Stop()
	return nil
}

// Incarnation returns the random identity of this daemon process.
func (m *Tracker) Incarnation() model.Incarnation { return m.incarnation }

// Members returns the current snapshot.
func (m *Tracker) Members() Members {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members
}

// ListAge returns the time since this daemon read the list or received that another daemon
// did; before the first time, the time since its start.
func (m *Tracker) ListAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listFreshAt.IsZero() {
		return time.Since(m.started)
	}
	return time.Since(m.listFreshAt)
}

// AnnounceLeaving spreads this daemon's record, marked as leaving.
func (m *Tracker) AnnounceLeaving() { m.announce(true) }

// announce spreads this daemon's record. The version starts at the time of the start, in Unix
// milliseconds shifted by 16 bits, so that records of a later process are newer.
func (m *Tracker) announce(leaving bool) {
	record := directory.Daemon{
		ID:          m.config.Name,
		Incarnation: m.incarnation,
		Zone:        m.config.Zone,
		Control:     m.config.ControlAddress,
		Dispatch:    m.config.DispatchAddress,
		Admin:       m.config.AdminAddress,
		Leaving:     leaving,
	}
	value, err := json.Marshal(record)
	if err != nil {
		m.log.Error("record of this daemon could not be encoded and is not spread", zap.String("step", "encode"), zap.Error(err))
		return
	}
	m.mu.Lock()
	m.recordCount++
	version := spread.Version(uint64(m.started.UnixMilli())<<16 + m.recordCount)
	m.mu.Unlock()
	m.daemons.Set(spread.Item{Name: spread.ItemName(record.ID), Version: version, Value: value})
	m.publishMembers()
	m.spread.SchedulePush(topicDaemons)
}

func (m *Tracker) run(ctx context.Context) {
	for {
		if m.isReader() {
			m.readList(ctx)
		}
		m.dropUnlisted()
		select {
		case <-ctx.Done():
			return
		case <-time.After(readInterval - readInterval/10 + rand.N(readInterval/5)):
		}
	}
}

// publishMembers builds the members from the spread items and publishes the daemons to the
// directory.
func (m *Tracker) publishMembers() {
	m.mu.Lock()
	m.members = m.buildMembers()
	daemons := m.members.Daemons
	m.mu.Unlock()
	m.loop.Post(func() { m.directory.PublishDaemons(daemons) })
}

// buildMembers joins the instance list with the records of the daemons. Records of unlisted
// daemons are left out. The caller holds m.mu.
func (m *Tracker) buildMembers() Members {
	members := Members{Daemons: map[model.DaemonID]directory.Daemon{}}
	if item, ok := m.instances.Get(itemList); ok {
		if err := json.Unmarshal(item.Value, &members.Instances); err != nil {
			m.log.Error("spread instance list could not be decoded", zap.String("step", "decode"), zap.Error(err))
		}
	}
	listed := map[model.DaemonID]platform.InstanceState{}
	for _, instance := range members.Instances {
		listed[model.DaemonID(instance.ID)] = instance.State
	}
	for _, record := range m.decodeRecords() {
		state, ok := listed[record.ID]
		if !ok && record.ID != m.config.Name {
			continue
		}
		record.Leaving = record.Leaving || state == platform.StateLeaving
		members.Daemons[record.ID] = record
	}
	return members
}

// decodeRecords returns all records of daemons, those of unlisted ones included.
func (m *Tracker) decodeRecords() []directory.Daemon {
	items := m.daemons.Items()
	records := make([]directory.Daemon, 0, len(items))
	for _, item := range items {
		var record directory.Daemon
		if err := json.Unmarshal(item.Value, &record); err != nil {
			m.log.Error("record of a daemon could not be decoded", zap.String("step", "decode"), zap.String("peer", string(item.Name)), zap.Error(err))
			continue
		}
		records = append(records, record)
	}
	return records
}

// dropUnlisted removes the records of daemons that have not been listed for longer than
// unlistedRetention.
func (m *Tracker) dropUnlisted() {
	members := m.Members()
	if len(members.Instances) == 0 {
		return
	}
	now := time.Now()
	for _, record := range m.decodeRecords() {
		if _, listed := members.Daemons[record.ID]; listed {
			delete(m.unlistedSince, record.ID)
			continue
		}
		since, known := m.unlistedSince[record.ID]
		if !known {
			m.unlistedSince[record.ID] = now
		} else if now.Sub(since) > unlistedRetention {
			m.daemons.Remove(spread.ItemName(record.ID))
			delete(m.unlistedSince, record.ID)
		}
	}
}

// peers returns the control addresses (ip:port) of the other daemons: from their records, or
// from the list for those without one, or the seeds of the settings when there are neither.
func (m *Tracker) peers() []string {
	members := m.Members()
	addresses := map[string]bool{}
	for id, daemon := range members.Daemons {
		if id != m.config.Name {
			addresses[daemon.Control] = true
		}
	}
	for _, instance := range members.Instances {
		_, recorded := members.Daemons[model.DaemonID(instance.ID)]
		if instance.Kind == platform.KindDaemon && !recorded {
			addresses[instance.Address] = true
		}
	}
	if len(addresses) == 0 {
		for _, seed := range m.config.Seeds {
			addresses[seed] = true
		}
	}
	delete(addresses, m.config.ControlAddress)
	list := make([]string, 0, len(addresses))
	for address := range addresses {
		list = append(list, address)
	}
	return list
}
