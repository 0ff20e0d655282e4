// Package tally counts the requests of a daemon by pool, rank and server, for the live
// view of operators.
package tally

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Labels identifies one set of counters. The entry, which receives the callers' requests,
// counts by pool and rank, with Server empty; the dispatcher counts the requests that it
// receives for a server by pool and server, with Rank empty.
type Labels struct {
	Pool   model.PoolName `json:"pool"`
	Rank   model.Rank     `json:"rank,omitempty"`
	Server model.ServerID `json:"server,omitempty"`
}

// Count holds the values of one set of counters: the requests in progress, those that
// were completed and those that were refused since the daemon started.
type Count struct {
	Labels
	Running int64 `json:"running"`
	Done    int64 `json:"done"`
	Refused int64 `json:"refused"`
	// BusyMicros is the total duration of the completed requests, in microseconds.
	BusyMicros int64 `json:"busy_micros"`
}

// counters are the counters behind one Count, with the same meaning.
type counters struct {
	running, done, refused, busyMicros atomic.Int64
}

// Tally holds the request counters of one daemon. It is safe for concurrent use.
type Tally struct {
	byLabels sync.Map // Labels to *counters
}

// New returns a tally without counters.
func New() *Tally { return &Tally{} }

func (t *Tally) countersFor(labels Labels) *counters {
	if found, ok := t.byLabels.Load(labels); ok {
		return found.(*counters)
	}
	found, _ := t.byLabels.LoadOrStore(labels, &counters{})
	return found.(*counters)
}

// Begin counts a request that starts. The caller must call the returned function once,
// when the request ends, and state whether it was refused. A request that was not refused
// counts as completed, and its duration is added to BusyMicros.
func (t *Tally) Begin(labels Labels) (end func(refused bool)) {
	c := t.countersFor(labels)
	c.running.Add(1)
	started := time.Now()
	return func(refused bool) {
		c.running.Add(-1)
		if refused {
			c.refused.Add(1)
			return
		}
		c.done.Add(1)
		c.busyMicros.Add(time.Since(started).Microseconds())
	}
}

// Counts returns the current values, sorted by pool, rank and server.
func (t *Tally) Counts() []Count {
	counts := map[Labels]Count{}
	t.byLabels.Range(func(key, value any) bool {
		c := value.(*counters)
		counts[key.(Labels)] = Count{
			Labels:     key.(Labels),
			Running:    c.running.Load(),
			Done:       c.done.Load(),
			Refused:    c.refused.Load(),
			BusyMicros: c.busyMicros.Load(),
		}
		return true
	})
	return Sorted(counts)
}

// sortKey returns a text whose order is that of pool, rank and server.
func (l Labels) sortKey() string {
	return string(l.Pool) + "\x00" + string(l.Rank) + "\x00" + string(l.Server)
}

// Plus returns the sum of two counts with the same labels.
func (c Count) Plus(other Count) Count {
	c.Running += other.Running
	c.Done += other.Done
	c.Refused += other.Refused
	c.BusyMicros += other.BusyMicros
	return c
}

// Sorted returns the counts sorted by pool, rank and server.
func Sorted(counts map[Labels]Count) []Count {
	list := make([]Count, 0, len(counts))
	for _, count := range counts {
		list = append(list, count)
	}
	slices.SortFunc(list, func(a, b Count) int { return strings.Compare(a.sortKey(), b.sortKey()) })
	return list
}
