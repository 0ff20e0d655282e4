package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Bounds of the promises.
const (
	contact       = 3 * time.Second        // calm time after which a daemon keeps all bounds
	configApply   = 2 * time.Second        // from a new configuration to its use everywhere
	rollbackSlack = 250 * time.Millisecond // for requests that overtake each other
	drainBound    = 2 * time.Second        // from a server's leaving to its last request
	lossSlack     = 200 * time.Millisecond // for a request that crosses the close of its connection
	thawSlack     = 300 * time.Millisecond // for grants that were held up by a fault that has ended
	recoverBound  = 15 * time.Second       // from the last fault to full service
	maxDescriptor = 2870                   // open files of a daemon
	maxResident   = memoryMB << 20         // bytes of memory of a daemon
	maxBroken     = 200                    // broken promises that are kept
)

// BrokenPromise is an observation that contradicts a promise.
type BrokenPromise struct {
	At      time.Duration // since the start of the run
	Promise string
	ID      string // attempt ID of the request; empty if there is none
	Detail  string
}

// interval is the time of one fault. to is zero while it lasts.
type interval struct {
	kindInfo
	kind     Kind
	target   string
	from, to time.Time
}

// overlaps reports whether the interval has a moment in common with a time.
func (i *interval) overlaps(from, to time.Time) bool {
	return !i.from.After(to) && (i.to.IsZero() || !i.to.Before(from))
}

// departure is a server's announcement that it leaves.
type departure struct {
	at time.Time
	// stable says that the store was without a fault, so that all daemons must heed it.
	stable bool
}

// Monitor collects what callers and servers see, the times of the faults and the broken
// promises.
type Monitor struct {
	started time.Time

	mu         sync.Mutex
	faults     []*interval
	begun      []Mark
	outcomes   []Outcome
	arrivals   []serverArrival
	requested  map[string][]time.Time // when requests to each service were sent
	broken     []BrokenPromise
	reported   map[string]bool
	excused    int // violations that a fault excuses
	departures map[string]departure
	versions   []writtenVersion         // of the configuration, oldest first
	used       map[string][]usedVersion // by daemon, in order
	peak       resources

	evacuations []*evacuation
	zones       map[string]string // of all servers
}

// writtenVersion is a version of the configuration that operators wrote at a time.
type writtenVersion struct {
	version int
	at      time.Time
}

// Mark is the begin of a fault in the table of a verdict.
type Mark struct {
	At    time.Duration
	Event Event
}

// NewMonitor returns a monitor of a run that starts now.
func NewMonitor() *Monitor {
	return &Monitor{started: time.Now(), reported: map[string]bool{}, departures: map[string]departure{}, used: map[string][]usedVersion{}, requested: map[string][]time.Time{}, zones: map[string]string{}}
}

// Begin records the start of a fault. The returned function records its end.
func (m *Monitor) Begin(e Event) (end func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fault := &interval{kindInfo: kinds[e.Kind], kind: e.Kind, target: e.Target, from: time.Now()}
	m.faults = append(m.faults, fault)
	m.begun = append(m.begun, Mark{time.Since(m.started), e})
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		fault.to = time.Now()
	}
}

// Broken records a broken promise. The same promise is recorded once for a request, or
// once for a detail if there is no request.
func (m *Monitor) Broken(promise, id, format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.breakPromise(promise, id, format, args...)
}

// breakPromise is Broken for callers that hold m.mu.
func (m *Monitor) breakPromise(promise, id, format string, args ...any) {
	b := BrokenPromise{At: time.Since(m.started), Promise: promise, ID: id, Detail: fmt.Sprintf(format, args...)}
	key := promise + " " + id
	if id == "" {
		key += b.Detail
	}
	if m.reported[key] || len(m.broken) >= maxBroken {
		return
	}
	m.reported[key] = true
	m.broken = append(m.broken, b)
}

// daemonCalm reports whether neither the daemon nor the store had a fault in a time and
// in the contact time before it. A daemon that is cut off from other daemons only is calm: it
// still reaches the store. The caller must hold m.mu.
func (m *Monitor) daemonCalm(daemon string, from, to time.Time) bool {
	return m.calm(from, to, func(i *interval) bool {
		return i.class.isStore() || i.class == classDaemon && i.target == daemon && !i.kind.cutsPeers()
	})
}

// storeCalm reports whether the store had no fault in the contact time before a moment.
// The caller must hold m.mu.
func (m *Monitor) storeCalm(at time.Time) bool {
	return m.calm(at, at, func(i *interval) bool { return i.class.isStore() })
}

// onlyPlanned reports whether there were only planned faults in a time and in the contact
// time before it. The caller must hold m.mu.
func (m *Monitor) onlyPlanned(from, to time.Time) bool {
	return m.calm(from, to, func(i *interval) bool { return !i.planned })
}

func (m *Monitor) calm(from, to time.Time, counts func(*interval) bool) bool {
	from = from.Add(-contact)
	if from.Before(m.started) {
		return false // the daemons were starting
	}
	return !m.hadFault(from, to, counts)
}

// hadFault reports whether a fault that counts was in force in a time. The caller must
// hold m.mu.
func (m *Monitor) hadFault(from, to time.Time, counts func(*interval) bool) bool {
	return slices.ContainsFunc(m.faults, func(i *interval) bool { return counts(i) && i.overlaps(from, to) })
}

// Configured records that a version of the configuration was written, or written again after
// the store had lost it: then the older ones may have been in force until now.
func (m *Monitor) Configured(version int, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newest().version < version {
		m.versions = append(m.versions, writtenVersion{version: version, at: at})
		return
	}
	for i := range m.versions {
		m.versions[i].at = at
	}
}

// newestVersion returns the newest version of the configuration, 0 before the first one.
func (m *Monitor) newestVersion() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest().version
}

// newest returns the newest version that was written. The caller must hold m.mu.
func (m *Monitor) newest() writtenVersion {
	if len(m.versions) == 0 {
		return writtenVersion{}
	}
	return m.versions[len(m.versions)-1]
}

// successor returns the first version that was written after another one, or false if that is
// the newest. The caller must hold m.mu.
func (m *Monitor) successor(version int) (writtenVersion, bool) {
	for _, w := range m.versions {
		if w.version > version {
			return w, true
		}
	}
	return writtenVersion{}, false
}

// Drained records that a server announced its leaving, or lost its registration.
func (m *Monitor) Drained(server string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.departures[server] = departure{at: at, stable: m.storeCalm(at)}
}

// Registered records that a server that had lost its registration has one again.
func (m *Monitor) Registered(server string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.departures, server)
}

// OwnershipViolated records a violation that the servers' ledger has found. It is excused
// shortly after the end of a fault that can hold up grants.
func (m *Monitor) OwnershipViolated(detail string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, fault := range m.faults {
		if fault.delaysGrants && !fault.to.IsZero() && time.Since(fault.to) <= thawSlack {
			m.excused++
			return
		}
	}
	m.breakPromise("one owner", "", "%s", detail)
}

// UseResources compares what a daemon uses with its bounds.
func (m *Monitor) UseResources(daemon string, r resources) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peak.residentBytes = max(m.peak.residentBytes, r.residentBytes)
	m.peak.descriptors = max(m.peak.descriptors, r.descriptors)
	if r.residentBytes > maxResident {
		m.breakPromise("memory", daemon, "%s has %d MB in memory", daemon, r.residentBytes>>20)
	}
	if r.descriptors > maxDescriptor {
		m.breakPromise("descriptors", daemon, "%s has %d open files", daemon, r.descriptors)
	}
}
