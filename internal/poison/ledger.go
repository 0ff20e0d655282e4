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
)

// Fingerprint identifies a request by its method, path with query and content,
// which are the same when the caller sends the request again.
type Fingerprint uint64

// CrashID identifies one crash of a server.
type CrashID string

// Crash is the end of a server's process while requests were running there.
type Crash struct {
	ID      CrashID         `json:"id"`
	Server  model.ServerRef `json:"server"`
	At      time.Time       `json:"at"`
	Running []Fingerprint   `json:"running"` // requests that were running, at most maxRunning
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
}

func newLedger() *ledger {
	return &ledger{
		crashes:       map[CrashID]*Crash{},
		cleared:       map[clearance]time.Time{},
		byFingerprint: map[Fingerprint][]CrashID{},
	}
}

// addCrash adds a crash unless it is known. When maxCrashes are known, it removes
// the one that arrived first.
func (l *ledger) addCrash(c *Crash) {
	if _, known := l.crashes[c.ID]; known {
		return
	}
	if len(l.arrivalOrder) >= maxCrashes {
		l.remove(l.arrivalOrder[0])
	}
	l.crashes[c.ID] = c
	l.arrivalOrder = append(l.arrivalOrder, c.ID)
	for _, f := range c.Running {
		l.byFingerprint[f] = append(l.byFingerprint[f], c.ID)
	}
}

func (l *ledger) clear(c clearance, now time.Time) { l.cleared[c] = now }

// expire removes crashes and clearances older than ExpiryPeriod.
func (l *ledger) expire(now time.Time) {
	for len(l.arrivalOrder) > 0 && now.Sub(l.crashes[l.arrivalOrder[0]].At) > ExpiryPeriod {
		l.remove(l.arrivalOrder[0])
	}
	for c, at := range l.cleared {
		if now.Sub(at) > ExpiryPeriod {
			delete(l.cleared, c)
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

// decide returns the decision on a request. A request that may have caused two or
// more crashes is rejected only when no other request may have caused the same ones;
// until then it is held back for HoldPeriod after the latest and then runs alone.
func (l *ledger) decide(f Fingerprint, now time.Time) Decision {
	crashes := l.uncleared(f)
	switch {
	case len(crashes) == 0:
		return Allow
	case len(crashes) == 1:
		return Isolate
	case l.onlyCommon(f, crashes):
		return Reject
	case now.Sub(latest(crashes)) < HoldPeriod:
		return Hold
	default:
		return Isolate
	}
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
