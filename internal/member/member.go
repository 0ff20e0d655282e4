package member

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
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
	"github.com/chicorylug/chicorylug/internal/placement"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/spread"
)

// ServiceName is the service's name in the kernel.
const ServiceName kernel.Name = "member"

// Rates and bounds.
const (
	readPeriod   = time.Second      // time between two reads of the list by one reader
	readTimeout  = time.Second      // bound of one read
	readerCount  = 2                // daemons that read the list while all is well
	staleAfter   = 5 * time.Second  // age of the list after which any daemon may read it
	forgetAfter  = 30 * time.Second // time after which an unlisted daemon's record is dropped
	freshSpacing = 2 * time.Second  // time between two notes that the list is unchanged
)

// Topics that the service spreads.
const (
	topicDaemons   spread.TopicName = "daemons"
	topicInstances spread.TopicName = "instances"
)

// Items of the instances topic.
const (
	itemList  spread.ItemName = "list"
	itemFresh spread.ItemName = "fresh"
)

// Members is what the service knows. Values of it are never changed.
type Members struct {
	// Instances is the platform's list as last read by any reader.
	Instances []platform.Instance
	// Daemons are the listed daemons whose records are known, and this daemon itself.
	Daemons map[model.DaemonID]directory.Daemon
}

// Tracker keeps the records.
type Tracker struct {
	config      *config.Config
	incarnation model.Incarnation
	started     time.Time
	loop        *control.Loop
	platform    platform.InstanceList
	spread      *spread.Spread
	directory   *directory.Directory
	reads       func()
	log         *zap.Logger

	daemons   *spread.Map
	instances *spread.Map

	mu       sync.Mutex
	members  Members
	freshAt  time.Time // when this daemon last learned that the list is fresh
	unlisted map[model.DaemonID]time.Time
	records  uint64

	background kernel.Background
}

// New returns a member service that is not yet started.
func New(
	c *config.Config,
	loop *control.Loop,
	p platform.Platform,
	s *spread.Spread,
	dir *directory.Directory,
	registry *metrics.Registry,
	log *zap.Logger,
) *Tracker {
	counter := registry.Int("instance_list_reads")
	m := &Tracker{
		config:      c,
		incarnation: model.Incarnation(uuid.NewString()),
		started:     time.Now(),
		loop:        loop,
		platform:    p,
		spread:      s,
		directory:   dir,
		reads:       func() { counter.Add(1) },
		log:         log.Named(string(ServiceName)),
		unlisted:    map[model.DaemonID]time.Time{},
	}
	m.daemons = spread.NewMap(topicDaemons, func(spread.Item) { m.refresh() })
	m.instances = spread.NewMap(topicInstances, m.learned)
	s.Add(m.daemons)
	s.Add(m.instances)
	s.SetPeers(m.peers)
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

// Incarnation returns the identity that this process drew at its start.
func (m *Tracker) Incarnation() model.Incarnation { return m.incarnation }

// Members returns what is known now.
func (m *Tracker) Members() Members {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members
}

// ListAge returns the time since this daemon learned that the list is fresh.
func (m *Tracker) ListAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freshAt.IsZero() {
		return time.Since(m.started)
	}
	return time.Since(m.freshAt)
}

// AnnounceLeaving tells the other daemons that this one is leaving.
func (m *Tracker) AnnounceLeaving() { m.announce(true) }

// announce spreads this daemon's record.
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
		m.log.Error("record not spread", zap.String("step", "encode"), zap.Error(err))
		return
	}
	m.mu.Lock()
	m.records++
	version := spread.Version(uint64(m.started.UnixMilli())<<16 + m.records)
	m.mu.Unlock()
	m.daemons.Set(spread.Item{Name: spread.ItemName(record.ID), Version: version, Value: value})
	m.refresh()
	m.spread.Changed(topicDaemons)
}

func (m *Tracker) run(ctx context.Context) {
	for {
		if m.reader() {
			m.read(ctx)
		}
		m.forget()
		select {
		case <-ctx.Done():
			return
		case <-time.After(readPeriod - readPeriod/10 + rand.N(readPeriod/5)):
		}
	}
}

// reader reports that this daemon reads the list: it is one of the first by
// score, or nobody seems to read.
func (m *Tracker) reader() bool {
	members := m.Members()
	if len(members.Instances) == 0 || m.ListAge() > staleAfter {
		return true
	}
	var ids []string
	for id, daemon := range members.Daemons {
		if !daemon.Leaving {
			ids = append(ids, string(id))
		}
	}
	own := placement.Score(string(topicInstances), string(m.config.Name))
	ahead := 0
	for _, id := range ids {
		if placement.Score(string(topicInstances), id) > own {
			ahead++
		}
	}
	return ahead < readerCount
}

// read asks the platform and spreads what changed.
func (m *Tracker) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m.reads()
	list, err := m.platform.Instances(ctx)
	if err != nil {
		m.log.Debug("instance list not read", zap.String("step", "read"), zap.String("peer", "platform"), zap.Error(err))
		return
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	m.store(list)
}

func (m *Tracker) store(list []platform.Instance) {
	value, err := json.Marshal(list)
	if err != nil {
		m.log.Error("instance list not spread", zap.String("step", "encode"), zap.Error(err))
		return
	}
	now := spread.Version(time.Now().UnixMilli())
	held, ok := m.instances.Get(itemList)
	if !ok || string(held.Value) != string(value) {
		m.instances.Set(spread.Item{Name: itemList, Version: max(now, held.Version+1), Value: value})
	}
	fresh, ok := m.instances.Get(itemFresh)
	if !ok || time.Duration(now-fresh.Version)*time.Millisecond > freshSpacing || string(held.Value) != string(value) {
		m.instances.Set(spread.Item{Name: itemFresh, Version: now, Value: json.RawMessage("null")})
		m.spread.Changed(topicInstances)
	}
	m.noteFresh()
	m.refresh()
}

// learned takes an item of the instances topic from a peer.
func (m *Tracker) learned(item spread.Item) {
	if item.Name == itemFresh {
		m.noteFresh()
		return
	}
	m.refresh()
}

func (m *Tracker) noteFresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freshAt = time.Now()
}

// refresh derives the members from the items and publishes them.
func (m *Tracker) refresh() {
	m.mu.Lock()
	m.members = m.derive()
	daemons := m.members.Daemons
	m.mu.Unlock()
	m.loop.Post(func() { m.directory.PublishDaemons(daemons) })
}

// derive joins the list with the records.
func (m *Tracker) derive() Members {
	members := Members{Daemons: map[model.DaemonID]directory.Daemon{}}
	if item, ok := m.instances.Get(itemList); ok {
		if err := json.Unmarshal(item.Value, &members.Instances); err != nil {
			m.log.Error("instance list not read", zap.String("step", "decode"), zap.Error(err))
		}
	}
	listed := map[model.DaemonID]platform.InstanceState{}
	for _, instance := range members.Instances {
		listed[model.DaemonID(instance.ID)] = instance.State
	}
	for _, record := range m.recordList() {
		state, ok := listed[record.ID]
		if !ok && record.ID != m.config.Name {
			continue
		}
		record.Leaving = record.Leaving || state == platform.StateLeaving
		members.Daemons[record.ID] = record
	}
	return members
}

func (m *Tracker) recordList() []directory.Daemon {
	items := m.daemons.Items()
	records := make([]directory.Daemon, 0, len(items))
	for _, item := range items {
		var record directory.Daemon
		if err := json.Unmarshal(item.Value, &record); err != nil {
			m.log.Error("record not read", zap.String("step", "decode"), zap.String("peer", string(item.Name)), zap.Error(err))
			continue
		}
		records = append(records, record)
	}
	return records
}

// forget drops the records of daemons that have long been off the list.
func (m *Tracker) forget() {
	members := m.Members()
	if len(members.Instances) == 0 {
		return
	}
	now := time.Now()
	for _, record := range m.recordList() {
		if _, listed := members.Daemons[record.ID]; listed {
			delete(m.unlisted, record.ID)
			continue
		}
		since, known := m.unlisted[record.ID]
		if !known {
			m.unlisted[record.ID] = now
		} else if now.Sub(since) > forgetAfter {
			m.daemons.Remove(spread.ItemName(record.ID))
			delete(m.unlisted, record.ID)
		}
	}
}

// peers returns the control addresses of the other daemons: by their records,
// by the list, and by the seeds of the settings while neither is known.
func (m *Tracker) peers() []string {
	members := m.Members()
	known := map[string]bool{}
	for id, daemon := range members.Daemons {
		if id != m.config.Name {
			known[daemon.Control] = true
		}
	}
	for _, instance := range members.Instances {
		_, recorded := members.Daemons[model.DaemonID(instance.ID)]
		if instance.Kind == platform.KindDaemon && !recorded {
			known[instance.Address] = true
		}
	}
	if len(known) == 0 {
		for _, seed := range m.config.Seeds {
			known[seed] = true
		}
	}
	delete(known, m.config.ControlAddress)
	addresses := make([]string, 0, len(known))
	for address := range known {
		addresses = append(addresses, address)
	}
	return addresses
}
