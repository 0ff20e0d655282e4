package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// ledger holds what callers and servers saw of each request, and what breaks a rule.
type ledger struct {
	bench *bench

	mu        sync.Mutex
	runs      map[string][]string // names of the servers that began each request, by attempt id
	answers   map[string]int      // status that the caller got; 0 for a connection that ended
	ownership []string            // breaks of OWNER
}

func newLedger(b *bench) *ledger {
	return &ledger{bench: b, runs: map[string][]string{}, answers: map[string]int{}}
}

// runStarted records that a server began to work on a request.
func (l *ledger) runStarted(id, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], server)
}

// answered records what the caller of a request got.
func (l *ledger) answered(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[id] = status
}

// ownerBroken records a break of OWNER.
func (l *ledger) ownerBroken(format string, args ...any) {
	text := "OWNER: " + fmt.Sprintf(format, args...)
	l.bench.record("%s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownership = append(l.ownership, text)
}

// notRunStatuses promise that a request has not run and never will.
var notRunStatuses = []int{408, 421, 429, 503}

// judgeAtMostOnce returns the breaks of TWICE and REFUSED, if none of the requests is
// idempotent.
func (l *ledger) judgeAtMostOnce() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var breaks []string
	for id, servers := range l.runs {
		if len(servers) > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: request %s ran at %v", id, servers))
		}
		if slices.Contains(notRunStatuses, l.answers[id]) {
			breaks = append(breaks, fmt.Sprintf("REFUSED: request %s was answered %d and ran at %v", id, l.answers[id], servers))
		}
	}
	slices.Sort(breaks)
	return breaks
}

// summary returns how many requests got which status, and how many ran.
func (l *ledger) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	statuses := map[int]int{}
	for _, status := range l.answers {
		statuses[status]++
	}
	return fmt.Sprintf("answers by status %v, requests that ran %d", statuses, len(l.runs))
}

// grantAccepted records a break of OWNER if a server accepts keys on which another one still
// works, before that one's hold would have run out, or that another one holds.
func (l *ledger) grantAccepted(to *target, from, last int) {
	for _, other := range l.bench.otherTargets(to) {
		other.mu.Lock()
		now := time.Now()
		for key := from; key <= last; key++ {
			g := other.grants[key]
			if !other.up || !now.Before(g.holdEnds) {
				continue
			}
			if !g.released {
				l.ownerBroken("key %d was granted to %s while %s holds it", key, to.id, other.id)
				break
			}
			if other.runningByKey[key] > 0 {
				l.ownerBroken("key %d was granted to %s while %s is at work on it, %v before its hold runs out", key, to.id, other.id, g.holdEnds.Sub(now).Round(time.Millisecond))
				break
			}
		}
		other.mu.Unlock()
	}
}

// lastAt returns the request that a server was the last one to begin of those that end servers.
func (l *ledger) lastAt(server string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, servers := range l.runs {
		if strings.HasPrefix(id, "crash-") && slices.Contains(servers, server) {
			return id
		}
	}
	return ""
}

// ranAt returns the servers that began a request.
func (l *ledger) ranAt(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[id])
}
