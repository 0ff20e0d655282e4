// Package journal keeps a bounded record of a daemon's control decisions with
// their causes, and of the steps of recent requests, for operators to read.
package journal

import (
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Bounds of the record.
const (
	EventCapacity = 4096 // control decisions kept
	TraceCapacity = 8192 // request steps kept
)

// Kind names a sort of control decision.
type Kind string

// Kinds of events.
const (
	LeaseTaken       Kind = "lease_taken"
	LeaseLost        Kind = "lease_lost"
	AssignmentWrote  Kind = "assignment_written"
	ShardMoveBegan   Kind = "shard_move_began"
	ShardMoveEnded   Kind = "shard_move_ended"
	DispatcherChange Kind = "dispatcher_changed"
	ServerLost       Kind = "server_lost"
	ServerBack       Kind = "server_back"
	ServerLeaving    Kind = "server_leaving"
	DaemonLost       Kind = "daemon_lost"
	Frozen           Kind = "frozen"
	Thawed           Kind = "thawed"
	SettingsInForce  Kind = "settings_in_force"
	SettingsRefused  Kind = "settings_refused"
	RequestRefused   Kind = "request_refused"
	RequestSuspected Kind = "request_suspected"
)

// Event is one control decision.
type Event struct {
	At      time.Time      `json:"at"`
	Daemon  model.DaemonID `json:"daemon"`
	Kind    Kind           `json:"kind"`
	Pool    model.PoolName `json:"pool,omitempty"`
	Subject string         `json:"subject,omitempty"`
	Cause   string         `json:"cause"`
	Term    model.Term     `json:"term,omitempty"`
	Seq     model.Seq      `json:"seq,omitempty"`
}

// Step is one decision made for one request.
type Step struct {
	At      time.Time       `json:"at"`
	Daemon  model.DaemonID  `json:"daemon"`
	Request model.RequestID `json:"request"`
	Pool    model.PoolName  `json:"pool,omitempty"`
	Key     model.Key       `json:"key,omitempty"`
	Step    string          `json:"step"`
	Detail  string          `json:"detail"`
}

// Journal is safe for concurrent use.
type Journal struct {
	daemon model.DaemonID
	events ring[Event]
	steps  ring[Step]
}

// New returns an empty journal of a daemon.
func New(daemon model.DaemonID) *Journal {
	return &Journal{
		daemon: daemon,
		events: ring[Event]{capacity: EventCapacity},
		steps:  ring[Step]{capacity: TraceCapacity},
	}
}

// Add records a control decision.
func (j *Journal) Add(e Event) {
	e.At = time.Now()
	e.Daemon = j.daemon
	j.events.add(e)
}

// Trace records a step of a request.
func (j *Journal) Trace(s Step) {
	s.At = time.Now()
	s.Daemon = j.daemon
	j.steps.add(s)
}

// Events returns the recorded decisions that match, oldest first.
func (j *Journal) Events(match func(*Event) bool) []Event { return j.events.list(match) }

// Steps returns the recorded request steps that match, oldest first.
func (j *Journal) Steps(match func(*Step) bool) []Step { return j.steps.list(match) }

// ring keeps the newest items.
type ring[T any] struct {
	mu       sync.Mutex
	capacity int
	items    []T
	next     int
}

func (r *ring[T]) add(item T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.items) < r.capacity {
		r.items = append(r.items, item)
		return
	}
	r.items[r.next] = item
	r.next = (r.next + 1) % r.capacity
}

func (r *ring[T]) list(match func(*T) bool) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []T{}
	for i := range r.items {
		item := &r.items[(r.next+i)%len(r.items)]
		if match(item) {
			found = append(found, *item)
		}
	}
	return found
}
