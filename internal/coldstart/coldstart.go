package coldstart

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/sendgate"
)

const (
	// MaxNewsAge is the time until a change of a server's state is in this daemon's copy of
	// the registrations, from the change on.
	MaxNewsAge = 3 * time.Second

	chosenTime    = 100 * time.Millisecond // for which a holder sends no second request to a server while one is on its way
	rankDelay     = 40 * time.Millisecond  // by which a turn is kept for more urgent ranks
	maxRankDelay  = 200 * time.Millisecond // for which a turn is kept at most
	maxProcesses  = 4096                   // bounds the memory
	unconfirmedUp = 500 * time.Millisecond // after which a request for an unconfirmed server may come again
)

// Process identifies one process of a server.
type Process = sendgate.Process

// Verdict is the answer of a tracker.
type Verdict struct {
	Belief   Belief
	Evidence Evidence
	// Age is the age of the evidence.
	Age time.Duration
	// MaySend says that a request may be sent now.
	MaySend bool
	// Until is when a request may be sent at the earliest, unless MaySend.
	Until time.Time
}

// Change is a change of belief.
type Change struct {
	Server   *catalog.Server
	From, To Belief
	Evidence Evidence
	Age      time.Duration
	// Holder says that this daemon may send to the server while it is not warm.
	Holder bool
}

// Tracker holds what this daemon believes of cold servers. It is safe for concurrent use.
type Tracker struct {
	self           model.DaemonID
	overage, slack float64

	mu        sync.Mutex
	fleet     Fleet
	fleetAt   time.Time // as of which fleet states ages
	version   int       // of the members in fleet
	processes map[Process]*belief
	known     atomic.Int64 // number of processes
	changes   []Change
	probes    probes
}

// New returns a tracker that takes all servers for warm.
func New(self model.DaemonID, overage, slack float64) *Tracker {
	return &Tracker{self: self, overage: overage, slack: slack, processes: map[Process]*belief{}}
}

// SetFleet replaces the list of daemons.
func (t *Tracker) SetFleet(f Fleet, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Equal(t.fleet.Members, f.Members) {
		t.version++
	}
	t.fleet, t.fleetAt = f, now
}

// Idle reports whether all servers are taken for warm.
func (t *Tracker) Idle() bool { return t.known.Load() == 0 }

// mayBeCold reports whether a belief of the server has to be looked up.
func (t *Tracker) mayBeCold(server *catalog.Server, rate float64, now time.Time) bool {
	return rate > 0 && (t.known.Load() > 0 || server.WarmUpUntil.After(now))
}

// Observe takes over what the registration of a server says. rate is the number of requests
// per second that a cold server of its service tolerates; nothing is done if it is zero.
func (t *Tracker) Observe(server *catalog.Server, rate float64, now time.Time) {
	if !(rate > 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.processes[sendgate.ProcessOf(server)]
	if b == nil {
		if server.WarmUpUntil.After(now) {
			t.addRegistered(server, rate, now)
		}
		return
	}
	if b.server == server {
		return
	}
	newer := server.Sequence > b.server.Sequence
	b.server = server
	b.setRate(t, rate)
	if !newer {
		return
	}
	if server.WarmUpUntil.After(now) {
		b.heardCold(t, server.WarmUpUntil, Registration, now)
	} else if !b.unconfirmedSince.IsZero() && now.Sub(b.unconfirmedSince) >= MaxNewsAge {
		b.heardWarm(Registration, now)
	} else if b.evidence == Registration && b.unconfirmedSince.IsZero() && b.coldUntil.After(now) {
		b.coldUntil = now.Add(returnDelay(t.self, sendgate.ProcessOf(server))) // it is warm earlier than it said
	}
	t.note(b, now)
}

// addRegistered adds a process that is registered as cold. The caller must hold t.mu.
func (t *Tracker) addRegistered(server *catalog.Server, rate float64, now time.Time) {
	b := t.add(server, rate, now)
	b.heardCold(t, server.WarmUpUntil, Registration, now)
	t.note(b, now)
}

// RecordUnreachable records that this daemon could not reach a server: it may have been
// restarted, or be cold when it is back.
func (t *Tracker) RecordUnreachable(server *catalog.Server, rate float64, now time.Time) {
	t.doubt(server, rate, Unreachable, time.Time{}, now)
}

// RecordEvacuationEnd records that the evacuation of the server's zone ended at a time. The
// server may have become cold shortly before; its registration says so some time later.
func (t *Tracker) RecordEvacuationEnd(server *catalog.Server, rate float64, ended, now time.Time) {
	if now.Sub(ended) >= MaxNewsAge {
		return
	}
	t.doubt(server, rate, EvacuationEnd, ended.Add(MaxNewsAge), now)
}

// doubt makes a process unconfirmed, until confirmedAt unless that is zero.
func (t *Tracker) doubt(server *catalog.Server, rate float64, evidence Evidence, confirmedAt, now time.Time) {
	if !(rate > 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.processes[sendgate.ProcessOf(server)]
	if b == nil {
		b = t.add(server, rate, now)
		if server.WarmUpUntil.After(now) {
			b.heardCold(t, server.WarmUpUntil, Registration, now)
		}
	}
	if evidence == Unreachable {
		b.probe.failed(now)
	} else if !b.unconfirmedSince.IsZero() {
		return // known, or in doubt for longer
	}
	if b.believed(now) != Cold {
		b.evidence, b.evidenceAt = evidence, now
	}
	b.unconfirmedSince, b.confirmedAt = now, confirmedAt
	t.note(b, now)
}

// add adds a process. The caller must hold t.mu.
func (t *Tracker) add(server *catalog.Server, rate float64, now time.Time) *belief {
	if len(t.processes) >= maxProcesses {
		t.dropOldest()
	}
	b := &belief{server: server, holdsVersion: -1, evidenceAt: now}
	b.setRate(t, rate)
	t.processes[sendgate.ProcessOf(server)] = b
	t.known.Store(int64(len(t.processes)))
	return b
}

// dropOldest forgets the process with the oldest evidence. The caller must hold t.mu.
func (t *Tracker) dropOldest() {
	var oldest Process
	var at time.Time
	for p, b := range t.processes {
		if at.IsZero() || b.evidenceAt.Before(at) {
			oldest, at = p, b.evidenceAt
		}
	}
	delete(t.processes, oldest)
}

// note keeps a change of belief for Changes. The caller must hold t.mu.
func (t *Tracker) note(b *belief, now time.Time) {
	current := b.believed(now)
	if current == b.told {
		return
	}
	evidence := b.evidence
	if current == Warm && b.evidence != HealthCheck {
		evidence = TimePassed
		if b.coldUntil.IsZero() && b.evidence == Registration {
			evidence = Registration
		}
	}
	if len(t.changes) < maxProcesses {
		t.changes = append(t.changes, Change{Server: b.server, From: b.told, To: current, Evidence: evidence, Age: now.Sub(b.evidenceAt), Holder: t.holds(b, now)})
	}
	b.told = current
}

// Changes returns the changes of belief since the last call, and forgets processes that are
// warm or, by registered, gone.
func (t *Tracker) Changes(registered map[model.ServerID]*catalog.Server, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, b := range t.processes {
		t.note(b, now)
		current := registered[p.Server]
		gone := current == nil || sendgate.ProcessOf(current) != p
		isDone := b.believed(now) == Warm && !now.Before(b.nextSend) // another daemon may still ask for a permit
		if isDone || (gone && now.Sub(b.evidenceAt) > MaxNewsAge) {
			delete(t.processes, p)
		}
	}
	t.known.Store(int64(len(t.processes)))
	changes := t.changes
	t.changes = nil
	return changes
}
