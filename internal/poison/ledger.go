package poison

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Periods and bounds.
const (
	// ExpiryPeriod is the time after which a death is forgotten.
	ExpiryPeriod = 10 * time.Minute
	// HoldPeriod is the time for which requests are held back that cannot be
	// told apart because they ran together at two deaths.
	HoldPeriod = 30 * time.Second

	maxDeaths  = 256 // deaths kept
	maxRunning = 64  // fingerprints kept of one death
)

// Fingerprint identifies a request by what its caller repeats when it sends it again.
type Fingerprint uint64

// CrashID identifies one death of a server.
type CrashID string

// Crash is the end of a server's process while requests ran there.
type Crash struct {
	ID      CrashID         `json:"id"`
	Server  model.ServerRef `json:"server"`
	At      time.Time       `json:"at"`
	Running []Fingerprint   `json:"running"`
}

// Decision says how a request may run.
type Decision int

// Verdicts.
const (
	Allow   Decision = iota // runs beside others
	Isolate                 // runs alone
	Hold                    // not now: cannot be told from others that ran at the same deaths
	Reject                  // is refused
)

// clearance absolves a request of one death.
type clearance struct {
	death       CrashID
	fingerprint Fingerprint
}

// ledger holds the known deaths and clearances. Clearances may come before
// their death.
type ledger struct {
	deaths  map[CrashID]*Crash
	order   []CrashID // oldest first
	cleared map[clearance]time.Time
	by      map[Fingerprint][]CrashID
}

func newLedger() *ledger {
	return &ledger{
		deaths:  map[CrashID]*Crash{},
		cleared: map[clearance]time.Time{},
		by:      map[Fingerprint][]CrashID{},
	}
}

func (l *ledger) addDeath(d *Crash) {
	if _, known := l.deaths[d.ID]; known {
		return
	}
	if len(l.order) >= maxDeaths {
		l.forget(l.order[0])
	}
	l.deaths[d.ID] = d
	l.order = append(l.order, d.ID)
	for _, f := range d.Running {
		l.by[f] = append(l.by[f], d.ID)
	}
}

func (l *ledger) clear(c clearance, now time.Time) { l.cleared[c] = now }

// expire forgets what is older than the expiry period.
func (l *ledger) expire(now time.Time) {
	for len(l.order) > 0 && now.Sub(l.deaths[l.order[0]].At) > ExpiryPeriod {
		l.forget(l.order[0])
	}
	for c, at := range l.cleared {
		if now.Sub(at) > ExpiryPeriod {
			delete(l.cleared, c)
		}
	}
}

// forget drops the oldest death.
func (l *ledger) forget(id CrashID) {
	for _, f := range l.deaths[id].Running {
		kept := l.by[f][:0]
		for _, other := range l.by[f] {
			if other != id {
				kept = append(kept, other)
			}
		}
		l.by[f] = kept
		if len(kept) == 0 {
			delete(l.by, f)
		}
	}
	delete(l.deaths, id)
	l.order = l.order[1:]
}

// blamed returns the deaths for which a request is not cleared.
func (l *ledger) blamed(f Fingerprint) []*Crash {
	var blamed []*Crash
	for _, id := range l.by[f] {
		if !l.isCleared(id, f) {
			blamed = append(blamed, l.deaths[id])
		}
	}
	return blamed
}

func (l *ledger) isCleared(id CrashID, f Fingerprint) bool {
	_, cleared := l.cleared[clearance{id, f}]
	return cleared
}

// judge returns the verdict on a request.
func (l *ledger) judge(f Fingerprint, now time.Time) Decision {
	blamed := l.blamed(f)
	switch {
	case len(blamed) == 0:
		return Allow
	case len(blamed) == 1:
		return Isolate
	case l.onlyCommon(f, blamed):
		return Reject
	case now.Sub(latest(blamed)) < HoldPeriod:
		return Hold
	default:
		return Isolate
	}
}

// onlyCommon reports that no other request could explain the same deaths.
func (l *ledger) onlyCommon(f Fingerprint, deaths []*Crash) bool {
	for _, other := range deaths[0].Running {
		if other != f && l.explains(other, deaths) {
			return false
		}
	}
	return true
}

func (l *ledger) explains(f Fingerprint, deaths []*Crash) bool {
	for _, death := range deaths {
		if !ran(f, death) || l.isCleared(death.ID, f) {
			return false
		}
	}
	return true
}

func ran(f Fingerprint, death *Crash) bool {
	for _, other := range death.Running {
		if other == f {
			return true
		}
	}
	return false
}

func latest(deaths []*Crash) time.Time {
	last := deaths[0].At
	for _, death := range deaths[1:] {
		if death.At.After(last) {
			last = death.At
		}
	}
	return last
}
