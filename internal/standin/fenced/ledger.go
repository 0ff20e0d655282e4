package fenced

import (
	"fmt"
	"sync"
	"time"
)

// Ledger records the owner of each key across all servers and every violation of
// exclusive ownership.
type Ledger struct {
	mu         sync.Mutex
	keys       [65536]keyRecord
	running    map[serverKey]int
	violations []string
}

// serverKey identifies the requests of one key on one server.
type serverKey struct {
	server *Server
	key    int
}

// keyRecord is the latest ownership of a key.
type keyRecord struct {
	owner        *Server
	ownedUntil   time.Time // zero after a release
	lastGrantEnd time.Time // expiry of the last grant, also after a release
	highestFence uint64    // highest fence granted to any server
}

// NewLedger returns a ledger in which no key has an owner.
func NewLedger() *Ledger { return &Ledger{running: map[serverKey]int{}} }

// Violations returns a description of each violation of exclusive ownership, at most 100.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// grantAccepted records a grant. A change of owner is a violation while the former owner's
// grant is valid and not released, while the former owner still runs a request within the
// time of its last grant, or if the fence does not rise.
func (l *Ledger) grantAccepted(s *Server, from, to int, fence uint64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for key := from; key <= to; key++ {
		record := &l.keys[key]
		if record.owner != s {
			if record.owner != nil && now.Before(record.ownedUntil) {
				l.recordViolation("key %d went to %s while %s holds it", key, s.options.ID, record.owner.options.ID)
			}
			if record.owner != nil && l.running[serverKey{record.owner, key}] > 0 && now.Before(record.lastGrantEnd) {
				l.recordViolation("key %d went to %s while %s works on it", key, s.options.ID, record.owner.options.ID)
			}
			if fence <= record.highestFence {
				l.recordViolation("key %d went to %s under fence %d, and had %d", key, s.options.ID, fence, record.highestFence)
			}
		}
		record.owner, record.ownedUntil, record.lastGrantEnd, record.highestFence = s, until, until, max(record.highestFence, fence)
	}
}

func (l *Ledger) keysReleased(s *Server, from, to int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := from; key <= to; key++ {
		if l.keys[key].owner == s {
			l.keys[key].ownedUntil = time.Time{}
		}
	}
}

// serverStopped ends the ownership and the runs of a server whose process ended.
func (l *Ledger) serverStopped(s *Server) {
	l.keysReleased(s, 0, len(l.keys)-1)
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.running {
		if id.server == s {
			delete(l.running, id)
		}
	}
}

// runEnded records the end of a request on a key.
func (l *Ledger) runEnded(s *Server, key int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[serverKey{s, key}] > 0 {
		l.running[serverKey{s, key}]--
	}
}

// runStarted records the start of a request on a key. It is a violation while another
// server owns the key.
func (l *Ledger) runStarted(s *Server, key int) {
	if key < 0 || !s.options.Keyed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[serverKey{s, key}]++
	if record := l.keys[key]; record.owner != s && record.owner != nil && time.Now().Before(record.ownedUntil) {
		l.recordViolation("key %d ran at %s while %s holds it", key, s.options.ID, record.owner.options.ID)
	}
}

// coldBoundExceeded records that a cold server got too many requests within a second.
func (l *Ledger) coldBoundExceeded(s *Server, count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordViolation("%s is cold and got %d requests within a second, at most %d are allowed", s.options.ID, count, s.options.ColdBound)
}

// recordViolation adds a violation. The caller must hold l.mu.
func (l *Ledger) recordViolation(format string, args ...any) {
	const maxViolations = 100 // later violations are dropped
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, fmt.Sprintf(format, args...))
	}
}
