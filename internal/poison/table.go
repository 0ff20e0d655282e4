package poison

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/spread"
)

// TopicName is the topic under which package spread shares crashes and clearances.
const TopicName spread.TopicName = "poison"

// maxAnnounceDelay bounds the time after which the completion of a request is announced.
const maxAnnounceDelay = 500 * time.Millisecond

// record is the encoded value of one item of the topic: a crash, the clearance of a
// request from one, or the completion of a request, which clears it from all earlier ones.
// The encoded name "death" of a crash is kept for daemons of other builds.
type record struct {
	Crash       *Crash      `json:"death,omitempty"`
	Cleared     CrashID     `json:"cleared,omitempty"`
	Completed   bool        `json:"completed,omitempty"`
	Fingerprint Fingerprint `json:"fingerprint,omitempty"`
	At          time.Time   `json:"at"` // time of the crash, the clearance or the completion
}

// Table holds the crashes and clearances that this daemon has recorded itself or
// received from other daemons. It is safe for concurrent use.
type Table struct {
	spread *spread.Replicator
	items  *spread.Map

	nonEmpty atomic.Bool // whether the ledger may hold anything; lets Decide skip the lock
	mu       sync.Mutex
	ledger
}

// NewTable returns an empty table that shares its content with other daemons
// through s.
func NewTable(s *spread.Replicator) *Table {
	t := &Table{spread: s, ledger: *newLedger()}
	t.items = spread.NewMap(TopicName, t.merge)
	s.Add(t.items)
	return t
}

// NewFingerprint returns the fingerprint of a request: a hash of its method, its path
// with query, and its content or what stands for it, such as a digest.
func NewFingerprint(method, uri []byte, content ...[]byte) Fingerprint {
	hash := xxhash.New()
	for _, part := range [][]byte{method, uri} {
		_, _ = hash.Write(part)
		_, _ = hash.Write([]byte{0})
	}
	for _, part := range content {
		_, _ = hash.Write(part)
	}
	_, _ = hash.Write([]byte{0})
	return Fingerprint(hash.Sum64())
}

// Decide returns whether and how a request may run. It takes no lock while no
// crashes and clearances are known.
func (t *Table) Decide(f Fingerprint, now time.Time) Decision {
	if !t.nonEmpty.Load() {
		return Allow
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decide(f, now)
}

// Report records the crash of a server at which the given requests were running, and
// sends it to the other daemons. The process of the server started at startedMS, in Unix
// milliseconds, or at an unknown time if that is zero. Report sorts running in place. It
// returns when each daemon has received the crash or failed to answer in time, so that a
// caller that sends its request again does not reach one that does not know the crash.
func (t *Table) Report(server model.ServerRef, startedMS int64, running []Fingerprint, now time.Time) CrashID {
	slices.Sort(running)
	running = slices.Compact(running)
	crash := &Crash{
		ID:        CrashID(uuid.NewString()),
		Server:    server,
		StartedMS: startedMS,
		At:        now,
		Running:   running[:min(len(running), maxRunning)],
	}
	if item, ok := t.store("death/"+string(crash.ID), &record{Crash: crash, At: now}); ok {
		t.spread.Broadcast(context.Background(), TopicName, item)
	}
	return crash.ID
}

// Clear records that a request completed and so did not cause the crashes that it
// was running at. reported is the crash that came with the request, or empty; it may
// not be known to this daemon yet.
func (t *Table) Clear(f Fingerprint, reported CrashID, now time.Time) {
	t.mu.Lock()
	t.completed.add(f, now)
	t.mu.Unlock()
	ids := t.toClear(f, reported)
	for _, id := range ids {
		t.publish(fmt.Sprintf("clear/%s/%x", id, uint64(f)), &record{Cleared: id, Fingerprint: f, At: now})
	}
	if len(ids) > 0 && t.mayBeRejected(f) {
		t.announceCompletion(f, now)
	}
}

// mayBeRejected reports whether a daemon on which the request did not complete may reject it.
func (t *Table) mayBeRejected(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return processes(t.known(f)) >= crashesToReject
}

// announceCompletion tells all other daemons that a request completed. It does so after a
// random time, unless another daemon has done it by then: many may be able to.
func (t *Table) announceCompletion(f Fingerprint, now time.Time) {
	time.AfterFunc(rand.N(maxAnnounceDelay), func() {
		if t.announcedSince(f, now) {
			return
		}
		if item, ok := t.store("completed/"+uuid.NewString(), &record{Completed: true, Fingerprint: f, At: now}); ok {
			t.spread.Broadcast(context.Background(), TopicName, item)
		}
	})
}

// announcedSince reports whether a completion of the request was announced after a time.
func (t *Table) announcedSince(f Fingerprint, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.announced[f].After(at)
}

// toClear returns the crashes of which a request is to be cleared.
func (t *Table) toClear(f Fingerprint, reported CrashID) []CrashID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []CrashID
	for _, crash := range t.uncleared(f) {
		ids = append(ids, crash.ID)
	}
	if reported != "" && !slices.Contains(ids, reported) {
		ids = append(ids, reported)
	}
	return ids
}

// publish stores a record and has it sent to other daemons soon.
func (t *Table) publish(name string, r *record) {
	if _, ok := t.store(name, r); ok {
		t.spread.SchedulePush(TopicName)
	}
}

// store adds a record made by this daemon to the ledger and to the topic's items.
func (t *Table) store(name string, r *record) (spread.Item, bool) {
	value, err := json.Marshal(r)
	if err != nil {
		return spread.Item{}, false
	}
	t.apply(r)
	item := spread.Item{Name: spread.ItemName(name), Version: 1, Value: value}
	t.items.Set(item)
	return item, true
}

// merge adds a record received from another daemon to the ledger.
func (t *Table) merge(item spread.Item) {
	var r record
	if json.Unmarshal(item.Value, &r) == nil {
		t.apply(&r)
	}
}

// apply adds a record to the ledger unless it is older than ExpiryPeriod.
func (t *Table) apply(r *record) {
	if time.Since(r.At) > ExpiryPeriod {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case r.Crash != nil:
		t.addCrash(r.Crash, time.Now())
	case r.Completed:
		t.completedElsewhere(r.Fingerprint, r.At, time.Now())
	default:
		t.clear(clearance{r.Cleared, r.Fingerprint}, r.At)
	}
	t.nonEmpty.Store(true)
}

// Expire removes crashes and clearances older than ExpiryPeriod. It has to be called
// periodically.
func (t *Table) Expire(now time.Time) {
	if !t.nonEmpty.Load() {
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
	t.nonEmpty.Store(len(t.crashes) > 0 || len(t.cleared) > 0)
}

// Crashes returns the known crashes in the order in which they arrived at this
// daemon.
func (t *Table) Crashes() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := make([]Crash, 0, len(t.arrivalOrder))
	for _, id := range t.arrivalOrder {
		crashes = append(crashes, *t.crashes[id])
	}
	return crashes
}
