package fenced

import (
	"fmt"
	"sync"
	"time"
)

// Ledger notes who holds each key, over all servers, and what broke sole ownership.
type Ledger struct {
	mu      sync.Mutex
	keys    [65536]entry
	running map[work]int
	broken  []string
}

// work is what a server does on a key.
type work struct {
	server *Server
	key    int
}

// entry is the newest holding of a key.
type entry struct {
	holder *Server
	until  time.Time
	leased time.Time // the end of the last grant, released or not
	fence  uint64    // highest that any server had
}

// NewLedger returns a ledger without holdings.
func NewLedger() *Ledger { return &Ledger{running: map[work]int{}} }

// Violations returns what broke sole ownership.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

func (l *Ledger) granted(s *Server, from, to int, fence uint64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for key := from; key <= to; key++ {
		e := &l.keys[key]
		if e.holder != s {
			if e.holder != nil && now.Before(e.until) {
				l.note("key %d went to %s while %s holds it", key, s.options.ID, e.holder.options.ID)
			}
			if e.holder != nil && l.running[work{e.holder, key}] > 0 && now.Before(e.leased) {
				l.note("key %d went to %s while %s works on it", key, s.options.ID, e.holder.options.ID)
			}
			if fence <= e.fence {
				l.note("key %d went to %s under fence %d, and had %d", key, s.options.ID, fence, e.fence)
			}
		}
		e.holder, e.until, e.leased, e.fence = s, until, until, max(e.fence, fence)
	}
}

func (l *Ledger) released(s *Server, from, to int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := from; key <= to; key++ {
		if l.keys[key].holder == s {
			l.keys[key].until = time.Time{}
		}
	}
}

// gone notes the end of a server's process.
func (l *Ledger) gone(s *Server) {
	l.released(s, 0, len(l.keys)-1)
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := range l.running {
		if w.server == s {
			delete(l.running, w)
		}
	}
}

// over notes the end of work on a key.
func (l *Ledger) over(s *Server, key int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[work{s, key}] > 0 {
		l.running[work{s, key}]--
	}
}

func (l *Ledger) ran(s *Server, key int) {
	if key < 0 || !s.options.Keyed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[work{s, key}]++
	if e := l.keys[key]; e.holder != s && e.holder != nil && time.Now().Before(e.until) {
		l.note("key %d ran at %s while %s holds it", key, s.options.ID, e.holder.options.ID)
	}
}

// note runs under the lock.
func (l *Ledger) note(format string, args ...any) {
	const most = 100 // breaches kept
	if len(l.broken) < most {
		l.broken = append(l.broken, fmt.Sprintf(format, args...))
	}
}
