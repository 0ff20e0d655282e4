package poison

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Periods and limits.
const (
	// ExpiryPeriod is the time for which a crash or a clearance is kept.
	ExpiryPeriod = 10 * time.Minute
	// HoldPeriod is the time for which requests are held back when several of
	// them ran at the same two or more crashes, so that each may be the cause.
	HoldPeriod = 30 * time.Second

	maxCrashes = 256 // crashes kept
	maxRunning = 64  // fingerprints kept for one crash

	crashesToReject   = 2                // crashes of one request after which it is rejected
	herdWindow        = 10 * time.Second // crashes that become known within this time belong together
	herdCrashes       = 3                // unexplained crashes of other servers that make a herd
	herdExtraCrashes  = 1                // further crashes of one request to reject it during a herd
	completionsMemory = 30 * time.Second // a request that completed within this time crashes no server
	maxCompletions    = 4096             // completed requests remembered
)

// Fingerprint identifies a request by its method, path with query and content,
// which are the same when the caller sends the request again.
type Fingerprint uint64

// CrashID identifies one crash of a server.
type CrashID string

// Crash is the end of a server's process while requests were running there.
type Crash struct {
	ID     CrashID         `json:"id"`
	Server model.ServerRef `json:"server"`
	// StartedMS tells the processes of one server apart: the Unix millisecond of the
	// start of the one that ended, or zero if it is not known.
	StartedMS int64         `json:"started_ms,omitempty"`
	At        time.Time     `json:"at"`
	Running   []Fingerprint `json:"running"` // requests that were running, at most maxRunning

	receivedAt time.Time // by this daemon's clock, as the clocks of daemons differ
}

// process identifies the server process that ended. Several daemons may report the
// same end.
type process struct {
	server    model.ServerRef
	startedMS int64
	crash     CrashID // set only if the start of the process is not known
}

func (c *Crash) process() process {
	if c.StartedMS == 0 {
		return process{server: c.Server, crash: c.ID}
	}
	return process{server: c.Server, startedMS: c.StartedMS}
}

// Decision says whether and how a request may run.
type Decision int

// Decisions on requests.
const (
	Allow   Decision = iota // may run together with others
	Isolate                 // may run only alone on a server
	Hold                    // must wait: it or others that ran at the same crashes may be the cause
	Reject                  // must not run
)

// clearance says that a request did not cause one crash.
type clearance struct {
	crash       CrashID
	fingerprint Fingerprint
}

// ledger holds the known crashes and clearances. A clearance may arrive before the
// crash that it refers to.
type ledger struct {
	crashes       map[CrashID]*Crash
	arrivalOrder  []CrashID                 // at this daemon, first arrived first
	cleared       map[clearance]time.Time   // when each clearance was made
	byFingerprint map[Fingerprint][]CrashID // known crashes at which each request was running
	completed     *completions
	announced     map[Fingerprint]time.Time // when this daemon last heard that a request completed on some daemon
}

func newLedger() *ledger {
	return &ledger{
		crashes:       map[CrashID]*Crash{},
		cleared:       map[clearance]time.Time{},
		byFingerprint: map[Fingerprint][]CrashID{},
		completed:     newCompletions(),
		announced:     map[Fingerprint]time.Time{},
	}
}

// addCrash adds a crash that this daemon got to know at now, unless it is known
// already. When maxCrashes are known, it removes the one that arrived first.
func (l *ledger) addCrash(c *Crash, now time.Time) {
	if _, known := l.crashes[c.ID]; known {
		return
	}
	if len(l.arrivalOrder) >= maxCrashes {
		l.remove(l.arrivalOrder[0])
	}
	c.receivedAt = now
	l.crashes[c.ID] = c
	l.arrivalOrder = append(l.arrivalOrder, c.ID)
	for _, f := range c.Running {
		l.byFingerprint[f] = append(l.byFingerprint[f], c.ID)
	}
}

func (l *ledger) clear(c clearance, now time.Time) { l.cleared[c] = now }

// completedElsewhere clears a request that completed on some daemon from the crashes before
// that. at is the time of the completion by that daemon's clock.
func (l *ledger) completedElsewhere(f Fingerprint, at, now time.Time) {
	l.announced[f] = now
	l.completed.add(f, now)
	for _, c := range l.uncleared(f) {
		if !c.At.After(at) {
			l.clear(clearance{c.ID, f}, now)
		}
	}
}

// expire removes crashes, clearances and announcements older than ExpiryPeriod.
func (l *ledger) expire(now time.Time) {
	for len(l.arrivalOrder) > 0 && now.Sub(l.crashes[l.arrivalOrder[0]].At) > ExpiryPeriod {
		l.remove(l.arrivalOrder[0])
	}
	for c, at := range l.cleared {
		if now.Sub(at) > ExpiryPeriod {
			delete(l.cleared, c)
		}
	}
	for f, at := range l.announced {
		if now.Sub(at) > ExpiryPeriod {
			delete(l.announced, f)
		}
	}
}

// remove removes a crash, which must be the one that arrived first.
func (l *ledger) remove(id CrashID) {
	for _, f := range l.crashes[id].Running {
		kept := l.byFingerprint[f][:0]
		for _, other := range l.byFingerprint[f] {
			if other != id {
				kept = append(kept, other)
			}
		}
		l.byFingerprint[f] = kept
		if len(kept) == 0 {
			delete(l.byFingerprint, f)
		}
	}
	delete(l.crashes, id)
	l.arrivalOrder = l.arrivalOrder[1:]
}

// known returns all crashes at which a request was running.
func (l *ledger) known(f Fingerprint) []*Crash {
	var crashes []*Crash
	for _, id := range l.byFingerprint[f] {
		crashes = append(crashes, l.crashes[id])
	}
	return crashes
}

// uncleared returns the crashes at which a request was running and of which it is
// not cleared.
func (l *ledger) uncleared(f Fingerprint) []*Crash {
	var crashes []*Crash
	for _, id := range l.byFingerprint[f] {
		if !l.isCleared(id, f) {
			crashes = append(crashes, l.crashes[id])
		}
	}
	return crashes
}

func (l *ledger) isCleared(id CrashID, f Fingerprint) bool {
	_, cleared := l.cleared[clearance{id, f}]
	return cleared
}

// decide returns the decision on a request. A copy of the request that completed
// clears it. A request that may have caused crashesToReject crashes or more is
// rejected only when no other request may have caused the same ones; until then it is
// held back for HoldPeriod after the latest and then runs alone. While servers crash in
// a herd, one crash more is needed, since the request may have been there by chance.
func (l *ledger) decide(f Fingerprint, now time.Time) Decision {
	crashes := l.uncleared(f)
	switch {
	case len(crashes) == 0 || l.completed.recent(f, now):
		return Allow
	case processes(crashes) < crashesToReject:
		return Isolate
	case !l.onlyCommon(f, crashes) && now.Sub(latest(crashes)) < HoldPeriod:
		return Hold
	case !l.onlyCommon(f, crashes) || processes(crashes) < l.crashesNeeded(f, crashes):
		return Isolate
	default:
		return Reject
	}
}

// processes returns how many server processes the crashes ended.
func processes(crashes []*Crash) int {
	distinct := map[process]bool{}
	for _, c := range crashes {
		distinct[c.process()] = true
	}
	return len(distinct)
}

// crashesNeeded returns the number of crashes that count as evidence against a request
// which was running at the given ones. It is higher if at least herdCrashes other server
// processes ended about then, for no known reason.
func (l *ledger) crashesNeeded(f Fingerprint, crashes []*Crash) int {
	var others []*Crash
	for _, other := range l.crashes {
		if !ran(f, other) && closeTo(other, crashes) && !l.explained(other) {
			others = append(others, other)
		}
	}
	if processes(others) < herdCrashes {
		return crashesToReject
	}
	return crashesToReject + herdExtraCrashes
}

// closeTo reports whether a crash became known within herdWindow of one of the others.
func closeTo(crash *Crash, others []*Crash) bool {
	for _, other := range others {
		if crash.receivedAt.Sub(other.receivedAt).Abs() < herdWindow {
			return true
		}
	}
	return false
}

// explained reports whether a request that was running at the crash is the only one
// that may have caused crashesToReject crashes, and is so known to crash servers.
func (l *ledger) explained(crash *Crash) bool {
	for _, f := range crash.Running {
		crashes := l.uncleared(f)
		if !l.isCleared(crash.ID, f) && processes(crashes) >= crashesToReject && l.onlyCommon(f, crashes) {
			return true
		}
	}
	return false
}

// onlyCommon reports whether no other request may have caused the same crashes.
func (l *ledger) onlyCommon(f Fingerprint, crashes []*Crash) bool {
	for _, other := range crashes[0].Running {
		if other != f && l.unclearedInAll(other, crashes) {
			return false
		}
	}
	return true
}

// unclearedInAll reports whether a request was running at all the crashes and is
// cleared of none.
func (l *ledger) unclearedInAll(f Fingerprint, crashes []*Crash) bool {
	for _, crash := range crashes {
		if !ran(f, crash) || l.isCleared(crash.ID, f) {
			return false
		}
	}
	return true
}

// ran reports whether a request was running at a crash.
func ran(f Fingerprint, crash *Crash) bool {
	for _, other := range crash.Running {
		if other == f {
			return true
		}
	}
	return false
}

// latest returns the time of the latest crash.
func latest(crashes []*Crash) time.Time {
	last := crashes[0].At
	for _, crash := range crashes[1:] {
		if crash.At.After(last) {
			last = crash.At
		}
	}
	return last
}
