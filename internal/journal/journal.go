// Package journal keeps, in memory, the most recent control decisions of a daemon with
// their causes and the processing steps of recent requests, for operators to inspect.
package journal

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Capacities of the journal. The newest entries replace the oldest.
const (
	EventCapacity = 4096 // control decisions kept
	StepCapacity  = 8192 // request steps kept
)

// Kind identifies a type of control decision.
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
	ServerBack        Kind = "server_back" // a server is active
	ServerLeaving     Kind = "server_leaving"
	DaemonLost        Kind = "daemon_lost"
	Frozen            Kind = "frozen" // a pool keeps its assignment while its coordinator does not respond
	Thawed            Kind = "thawed" // a pool is no longer frozen
	SettingsInForce   Kind = "settings_in_force"
	SettingsRefused   Kind = "settings_refused" // this build cannot compile an accepted settings version
	SettingsLost      Kind = "settings_lost"    // the store has lost an accepted settings version, and another one was accepted since
	RequestRefused    Kind = "request_refused"
	RequestSuspected  Kind = "request_suspected" // a server crashed; the requests that it ran may have caused it
)

// Event is one control decision. Subject names what it is about, such as a server or a
// shard; Term and Seq identify the assignment that it belongs to.
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

// Step is one step in the processing of one request. Step names the component and what
// it did, such as "dispatcher: sent"; Detail adds, for instance, the
// server or the reason of a refusal.
type Step struct {
	At      time.Time       `json:"at"`
	Daemon  model.DaemonID  `json:"daemon"`
	Request model.RequestID `json:"request"`
	Pool    model.PoolName  `json:"pool,omitempty"`
	Key     model.Key       `json:"key,omitempty"`
	Step    string          `json:"step"`
	Detail  string          `json:"detail"`
}

// Journal holds the events and steps of one daemon. It is safe for concurrent use.
type Journal struct {
	daemon model.DaemonID
	events ring[Event]
	steps  [stepShards]ring[Step]
}

// stepShards is the number of separately locked rings into which the steps are divided,
// so that requests on many cores do not contend for one lock.
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

// Add records a control decision with the current time and the daemon's name.
func (j *Journal) Add(e Event) {
	e.At = time.Now()
	e.Daemon = j.daemon
	j.events.add(&e)
}

// Trace records a step of a request with the current time and the daemon's name. The
// steps of one request are in the same ring, so they stay in order.
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

// DroppedEvents returns the number of control decisions that newer ones have replaced.
func (j *Journal) DroppedEvents() uint64 { return j.events.dropped() }
