// Package sendgate decides whether this daemon may send requests to a server now, by what
// the server said in its responses: that it is about to shut down, or that it wants no
// requests for a time. Whether a server is full, failing or lost is not its matter, and it
// does no network calls.
package sendgate

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

const (
	// maxTransit is the time that a request may take from this daemon to its server.
	maxTransit = 500 * time.Millisecond
	// forgetAfter is the time after which a process that is not registered any more is
	// forgotten: registrations also lapse during an outage of the store.
	forgetAfter = 10 * time.Minute
	// maxProcesses bounds the memory.
	maxProcesses = 4096

	jitterShare = 0.2                    // of a pause: range over which the daemons return, each at its own time
	minJitter   = 100 * time.Millisecond // range after short pauses,
	maxJitter   = 500 * time.Millisecond // and after long ones

	returnSpread    = 100 * time.Millisecond // range over which the callers of one rank return after a pause
	leavingRetryGap = 300 * time.Millisecond // until another server takes the place of a leaving one
	// evacuatedRetryGap is the pause between two tries while all servers are in evacuated
	// availability zones: nobody knows for how long.
	evacuatedRetryGap = 400 * time.Millisecond
)

// Process identifies one process of a server. A later process under the same id or at the
// same address is another one.
type Process struct {
	Server    model.ServerID
	Address   string
	StartedMS int64
}

// ProcessOf returns the identity of a server's process.
func ProcessOf(s *catalog.Server) Process {
	return Process{Server: s.ID, Address: s.Address, StartedMS: s.StartedMS}
}

// place is where the processes of a server follow each other.
type place struct {
	server  model.ServerID
	address string
}

func (p Process) place() place { return place{server: p.Server, address: p.Address} }

// Reason says why a server gets no requests.
type Reason string

// Values of Reason.
const (
	// Open: the server may get requests.
	Open Reason = ""
	// Paused: the server asked for a pause.
	Paused Reason = "pause"
	// Leaving: the server said that it is about to shut down.
	Leaving Reason = "leaving"
	// Evacuated: operators have evacuated the server's availability zone. The gate itself
	// never says so.
	Evacuated Reason = "zone_evacuated"
	// Cold: the server is cold, or may be, and gets few requests. A gate does not return it.
	Cold Reason = "cold"
)

// Verdict is the answer of a gate.
type Verdict struct {
	Reason Reason
	// Until is the time from which the server may get requests again. It is zero unless
	// the reason is Paused or Cold.
	Until time.Time
}

// Before reports whether a server with this verdict takes requests earlier than one with
// the other. A leaving server takes none any more, and when an evacuation ends is not known.
func (v Verdict) Before(other Verdict) bool {
	if v.hasNoEnd() || other.hasNoEnd() {
		return !v.hasNoEnd()
	}
	return v.Until.Before(other.Until)
}

// hasNoEnd reports whether nothing is known of when the server takes requests again.
func (v Verdict) hasNoEnd() bool { return v.Reason == Leaving || v.Reason == Evacuated }

// RetryAfter returns the time after which a caller of the given rank, 0 being the most
// urgent one, is advised to send its request again. It is spread at random; callers of
// urgent ranks return before the others.
func (v Verdict) RetryAfter(rank int, now time.Time) time.Duration {
	wait := leavingRetryGap
	switch v.Reason {
	case Paused, Cold:
		wait = max(v.Until.Sub(now), 0)
	case Evacuated:
		wait = evacuatedRetryGap
	}
	return wait + time.Duration((float64(rank)+rand.Float64())*float64(returnSpread))
}

// Gate holds what server processes said. It is safe for concurrent use.
type Gate struct {
	// grace is the time for which a leaving server still gets requests that only it can
	// run, or that were on their way.
	grace time.Duration
	// phase, from 0 to 1, is this daemon's place in the order in which daemons return.
	phase float64

	mu        sync.Mutex
	processes map[Process]*statement
	lastAt    map[place]Process // the process to which the last response from a place was attributed
}

// statement is what one process said.
type statement struct {
	recordedAt   time.Time // the last time
	leavingSince time.Time // zero if the process did not say that it leaves
	pausedUntil  time.Time
	pausedAt     time.Time // when the pause until then was asked for
	goneSince    time.Time // zero while the process is registered
}

// New returns a gate that lets all requests pass. No request reaches a server later than
// drain after it said that it leaves.
func New(drain time.Duration) *Gate {
	return &Gate{grace: max(drain-maxTransit, 0), phase: rand.Float64(), processes: map[Process]*statement{}, lastAt: map[place]Process{}}
}

// Grace returns the time for which a leaving server still gets requests that only it can
// run, or that were on their way.
func (g *Gate) Grace() time.Duration { return g.grace }

// RecordLeaving records that the process said that it is about to shut down. It reports
// whether this is the first time.
func (g *Gate) RecordLeaving(p Process, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.statement(p, now)
	if !s.leavingSince.IsZero() {
		return false
	}
	s.leavingSince = now
	return true
}

// RecordPause records that the process wants no requests for a time. It returns the time
// from which this daemon sends again, which is later than the end by a time of its own. An
// earlier request for a longer pause stays in force.
func (g *Gate) RecordPause(p Process, pause time.Duration, now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.statement(p, now)
	if until := now.Add(pause + g.jitter(pause)); until.After(s.pausedUntil) {
		s.pausedUntil, s.pausedAt = until, now
	}
	return s.pausedUntil
}

// jitter returns the time by which this daemon returns later than the pause ends. It is
// the same for all servers, so that the daemon has all of them again when they paused
// together.
func (g *Gate) jitter(pause time.Duration) time.Duration {
	span := min(max(time.Duration(jitterShare*float64(pause)), minJitter), maxJitter)
	return time.Duration(g.phase * float64(span))
}

// statement returns the statement of a process, and adds one if there is none. The caller
// must hold g.mu.
func (g *Gate) statement(p Process, now time.Time) *statement {
	s := g.processes[p]
	if s == nil {
		s = &statement{}
		s.pausedUntil, s.pausedAt = g.earlyPause(p)
		if len(g.processes) >= maxProcesses {
			g.dropOldest()
		}
		g.processes[p] = s
	}
	g.lastAt[p.place()] = p
	s.recordedAt = now
	return s
}

// earlyPause returns the pause that a process asked for before its registration was known:
// it is recorded for the earlier process at its place, and is later than its start. One of
// the same millisecond counts as the earlier process's: if it was not, one request learns
// of it again, while the other error would keep a server without requests for the whole
// pause. The caller must hold g.mu.
func (g *Gate) earlyPause(p Process) (until, at time.Time) {
	s := g.processes[g.lastAt[p.place()]]
	if s == nil || s.pausedAt.UnixMilli() <= p.StartedMS {
		return time.Time{}, time.Time{}
	}
	return s.pausedUntil, s.pausedAt
}

// forget drops the statement of a process. The caller must hold g.mu.
func (g *Gate) forget(p Process) {
	delete(g.processes, p)
	if g.lastAt[p.place()] == p {
		delete(g.lastAt, p.place())
	}
}

// dropOldest forgets the process that said nothing for the longest time. The caller must
// hold g.mu.
func (g *Gate) dropOldest() {
	var oldest Process
	var at time.Time
	for p, s := range g.processes {
		if at.IsZero() || s.recordedAt.Before(at) {
			oldest, at = p, s.recordedAt
		}
	}
	g.forget(oldest)
}

// MayChoose returns whether the process may be chosen for a request that other servers
// may run too. A leaving one may not, from the start.
func (g *Gate) MayChoose(p Process, now time.Time) Verdict { return g.verdict(p, now, 0) }

// MaySend returns whether a request that was chosen for the process, or that only it may
// run, may be sent. To a leaving one it may for a short time.
func (g *Gate) MaySend(p Process, now time.Time) Verdict { return g.verdict(p, now, g.grace) }

func (g *Gate) verdict(p Process, now time.Time, grace time.Duration) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.processes) == 0 {
		return Verdict{}
	}
	s := g.processes[p]
	if s == nil {
		until, _ := g.earlyPause(p)
		return pauseVerdict(until, now)
	}
	if !s.leavingSince.IsZero() && now.Sub(s.leavingSince) >= grace {
		return Verdict{Reason: Leaving}
	}
	return pauseVerdict(s.pausedUntil, now)
}

func pauseVerdict(until, now time.Time) Verdict {
	if !now.Before(until) {
		return Verdict{}
	}
	return Verdict{Reason: Paused, Until: until}
}

// LeavingProcesses returns the processes that said that they are about to shut down.
func (g *Gate) LeavingProcesses() []Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	var leaving []Process
	for p, s := range g.processes {
		if !s.leavingSince.IsZero() {
			leaving = append(leaving, p)
		}
	}
	return leaving
}

// Prune forgets pauses that have ended, and processes that are gone: those whose id
// another process has, and those that have not been registered for forgetAfter.
func (g *Gate) Prune(registered map[model.ServerID]*catalog.Server, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for p, s := range g.processes {
		server := registered[p.Server]
		switch {
		case s.leavingSince.IsZero() && now.After(s.pausedUntil):
			g.forget(p)
		case server != nil && ProcessOf(server) == p:
			s.goneSince = time.Time{}
		case server != nil:
			if until, _ := g.earlyPause(ProcessOf(server)); now.Before(until) {
				g.statement(ProcessOf(server), now)
			}
			g.forget(p)
		case s.goneSince.IsZero():
			s.goneSince = now
		case now.Sub(s.goneSince) > forgetAfter:
			g.forget(p)
		}
	}
}
