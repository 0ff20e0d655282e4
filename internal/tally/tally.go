// Package tally counts what a daemon did for callers and servers, by pool, rank
// and server, for operators to watch.
package tally

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Labels is what is counted together: the requests of a rank to a pool, as the
// entry sees them, or the requests to a server, as its dispatcher sees them.
type Labels struct {
	Pool   model.PoolName `json:"pool"`
	Rank   model.Rank     `json:"rank,omitempty"`
	Server model.ServerID `json:"server,omitempty"`
}

// Count is the state of one subject's counters.
type Count struct {
	Labels
	Running int64 `json:"running"`
	Done    int64 `json:"done"`
	Refused int64 `json:"refused"`
	// BusyMicros is the summed time of the requests that were done, in microseconds.
	BusyMicros int64 `json:"busy_micros"`
}

type counters struct {
	running, done, refused, micros atomic.Int64
}

// Tally holds one daemon's counters.
type Tally struct {
	subjects sync.Map // Subject to *counters
}

// New returns a tally without subjects.
func New() *Tally { return &Tally{} }

func (t *Tally) of(s Labels) *counters {
	if found, ok := t.subjects.Load(s); ok {
		return found.(*counters)
	}
	found, _ := t.subjects.LoadOrStore(s, &counters{})
	return found.(*counters)
}

// Begin counts a request that starts. The returned function counts its end.
func (t *Tally) Begin(s Labels) (end func(refused bool)) {
	c := t.of(s)
	c.running.Add(1)
	began := time.Now()
	return func(refused bool) {
		c.running.Add(-1)
		if refused {
			c.refused.Add(1)
			return
		}
		c.done.Add(1)
		c.micros.Add(time.Since(began).Microseconds())
	}
}

// Counts returns the counters in the order of pool, rank and server.
func (t *Tally) Counts() []Count {
	counts := map[Labels]Count{}
	t.subjects.Range(func(key, value any) bool {
		c := value.(*counters)
		counts[key.(Labels)] = Count{
			Labels:     key.(Labels),
			Running:    c.running.Load(),
			Done:       c.done.Load(),
			Refused:    c.refused.Load(),
			BusyMicros: c.micros.Load(),
		}
		return true
	})
	return Sorted(counts)
}

func (s Labels) order() string {
	return string(s.Pool) + "\x00" + string(s.Rank) + "\x00" + string(s.Server)
}

// Plus returns the sum of two counts of one subject.
func (c Count) Plus(other Count) Count {
	c.Running += other.Running
	c.Done += other.Done
	c.Refused += other.Refused
	c.BusyMicros += other.BusyMicros
	return c
}

// Sorted returns counts in the order of pool, rank and server.
func Sorted(counts map[Labels]Count) []Count {
	list := make([]Count, 0, len(counts))
	for _, count := range counts {
		list = append(list, count)
	}
	slices.SortFunc(list, func(a, b Count) int { return strings.Compare(a.order(), b.order()) })
	return list
}
