package poison

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/spread"
)

// TopicName is the spread topic of deaths and clearances.
const TopicName spread.TopicName = "poison"

// record is one item of the topic: a death, or the clearance of a request.
type record struct {
	Death       *Crash      `json:"death,omitempty"`
	Cleared     CrashID     `json:"cleared,omitempty"`
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	At          time.Time   `json:"at"`
}

// Table is the fleet-wide knowledge of suspected requests, as far as it has
// reached this daemon. It is safe for concurrent use.
type Table struct {
	spread *spread.Spread
	items  *spread.Map

	known atomic.Bool // there is something to look up
	mu    sync.Mutex
	ledger
}

// NewTable returns an empty table that shares its content through s.
func NewTable(s *spread.Spread) *Table {
	t := &Table{spread: s, ledger: *newLedger()}
	t.items = spread.NewMap(TopicName, t.merge)
	s.Add(t.items)
	return t
}

// NewFingerprint identifies a request by method, path with query, and content.
func NewFingerprint(method, uri, content []byte) Fingerprint {
	hash := xxhash.New()
	for _, part := range [][]byte{method, uri, content} {
		_, _ = hash.Write(part)
		_, _ = hash.Write([]byte{0})
	}
	return Fingerprint(hash.Sum64())
}

// Decide says how a request may run. It is cheap while nothing is suspected.
func (t *Table) Decide(f Fingerprint, now time.Time) Decision {
	if !t.known.Load() {
		return Allow
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.judge(f, now)
}

// Report records the death of a server under requests and tells the other
// daemons. It returns when they know, so that a caller that repeats its request
// can't overtake the news.
func (t *Table) Report(server model.ServerRef, running []Fingerprint, now time.Time) CrashID {
	slices.Sort(running)
	running = slices.Compact(running)
	death := &Crash{
		ID:      CrashID(uuid.NewString()),
		Server:  server,
		At:      now,
		Running: running[:min(len(running), maxRunning)],
	}
	if item, ok := t.keep("death/"+string(death.ID), &record{Death: death, At: now}); ok {
		t.spread.Tell(context.Background(), TopicName, item)
	}
	return death.ID
}

// Clear absolves a request that completed of the deaths it is blamed for, and
// of the death that its sender named, which may not be known here yet.
func (t *Table) Clear(f Fingerprint, named CrashID, now time.Time) {
	for _, id := range t.toClear(f, named) {
		t.share(fmt.Sprintf("clear/%s/%x", id, uint64(f)), &record{Cleared: id, Fingerprint: f, At: now})
	}
}

func (t *Table) toClear(f Fingerprint, named CrashID) []CrashID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []CrashID
	for _, death := range t.blamed(f) {
		ids = append(ids, death.ID)
	}
	if named != "" && !slices.Contains(ids, named) {
		ids = append(ids, named)
	}
	return ids
}

func (t *Table) share(name string, r *record) {
	if _, ok := t.keep(name, r); ok {
		t.spread.Changed(TopicName)
	}
}

// keep takes a record of this daemon's own.
func (t *Table) keep(name string, r *record) (spread.Item, bool) {
	value, err := json.Marshal(r)
	if err != nil {
		return spread.Item{}, false
	}
	t.apply(r)
	item := spread.Item{Name: spread.ItemName(name), Version: 1, Value: value}
	t.items.Set(item)
	return item, true
}

// merge takes a record from another daemon.
func (t *Table) merge(item spread.Item) {
	var r record
	if json.Unmarshal(item.Value, &r) == nil {
		t.apply(&r)
	}
}

func (t *Table) apply(r *record) {
	if time.Since(r.At) > ExpiryPeriod {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Death != nil {
		t.addDeath(r.Death)
	} else {
		t.clear(clearance{r.Cleared, r.Fingerprint}, r.At)
	}
	t.known.Store(true)
}

// Expire forgets what is too old. It is called now and then.
func (t *Table) Expire(now time.Time) {
	if !t.known.Load() {
		return
	}
	for _, item := range t.items.Items() {
		var r record
		if json.Unmarshal(item.Value, &r) != nil || now.Sub(r.At) > ExpiryPeriod {
			t.items.Remove(item.Name)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.known.Store(len(t.deaths) > 0 || len(t.cleared) > 0)
}

// Crashes returns the known deaths, oldest first.
func (t *Table) Crashes() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	deaths := make([]Crash, 0, len(t.order))
	for _, id := range t.order {
		deaths = append(deaths, *t.deaths[id])
	}
	return deaths
}
