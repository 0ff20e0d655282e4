// Package journal keeps a bounded record of a daemon's control decisions with
// their causes, and of the steps of recent requests, for operators to read.
package journal

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Bounds of the record.
const (
	EventCapacity = 4096 // control decisions kept
	StepCapacity  = 8192 // request steps kept
)

// Kind names a sort of control decision.
type Kind string

// Kinds of events.
const (
	LeaseTaken        Kind = "lease_taken"
	LeaseLost         Kind = "lease_lost"
	AssignmentWritten Kind = "assignment_written"
	ShardMoveBegan    Kind = "shard_move_began"
	ShardMoveEnded    Kind = "shard_move_ended"
	DispatcherChange  Kind = "dispatcher_changed"
	ServerLost        Kind = "server_lost"
	ServerBack        Kind = "server_back"
	ServerLeaving     Kind = "server_leaving"
	DaemonLost        Kind = "daemon_lost"
	Frozen            Kind = "frozen"
	Thawed            Kind = "thawed"
	SettingsInForce   Kind = "settings_in_force"
	SettingsRefused   Kind = "settings_refused"
	RequestRefused    Kind = "request_refused"
	RequestSuspected  Kind = "request_suspected"
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
	steps  [stepShards]ring[Step]
}

// stepShards is the number of locks among which the steps of requests are
// divided, so that traffic on many cores does not queue for one.
const stepShards = 16

// New returns an empty journal of a daemon.
func New(daemon model.DaemonID) *Journal {
	j := &Journal{daemon: daemon}
	j.events.capacity = EventCapacity
	for i := range j.steps {
		j.steps[i].capacity = StepCapacity / stepShards
	}
	return j
}

// Add records a control decision.
func (j *Journal) Add(e Event) {
	e.At = time.Now()
	e.Daemon = j.daemon
	j.events.add(&e)
}

// Trace records a step of a request. Steps of one request share a lock and stay in order.
func (j *Journal) Trace(s Step) {
	s.At = time.Now()
	s.Daemon = j.daemon
	shard := xxhash.Sum64String(string(s.Request)) % stepShards
	j.steps[shard].add(&s)
}

// Events returns the recorded decisions that match, oldest first.
func (j *Journal) Events(match func(*Event) bool) []Event { return j.events.list(match) }

// Steps returns the recorded request steps that match, oldest first.
func (j *Journal) Steps(match func(*Step) bool) []Step {
	found := []Step{}
	for i := range j.steps {
		found = append(found, j.steps[i].list(match)...)
	}
	slices.SortStableFunc(found, func(a, b Step) int { return a.At.Compare(b.At) })
	return found
}

// DroppedEvents returns the number of decisions that newer ones replaced.
func (j *Journal) DroppedEvents() uint64 { return j.events.dropped() }
