package inspect

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/chicorylug/chicorylug/internal/buildinfo"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/member"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/rpc"
	"github.com/chicorylug/chicorylug/internal/settingstore"
	"github.com/chicorylug/chicorylug/internal/tally"
)

const (
	methodReport rpc.Method = "inspect.report"
	methodEvents rpc.Method = "inspect.events"
	methodSteps  rpc.Method = "inspect.steps"
	methodCounts rpc.Method = "inspect.counts"
)

// Inspector queries all daemons on behalf of an operator and serves the queries of the
// other daemons' inspectors.
type Inspector struct {
	config    *config.Config
	member    *member.Tracker
	directory *directory.Directory
	settings  *settingstore.Store
	journal   *journal.Journal
	tally     *tally.Tally
	client    *rpc.Client
	started   time.Time
}

// New returns an inspector and registers its RPC methods.
func New(
	c *config.Config,
	m *member.Tracker,
	dir *directory.Directory,
	store *settingstore.Store,
	j *journal.Journal,
	registry *metrics.Registry,
	server *rpc.Server,
	client *rpc.Client,
) *Inspector {
	i := &Inspector{
		config:    c,
		member:    m,
		directory: dir,
		settings:  store,
		journal:   j,
		tally:     registry.Tally(),
		client:    client,
		started:   time.Now(),
	}
	rpc.Handle(server, methodReport, i.report)
	rpc.Handle(server, methodEvents, i.events)
	rpc.Handle(server, methodSteps, i.steps)
	rpc.Handle(server, methodCounts, i.counts)
	return i
}

// Report is what one daemon reports about itself.
type Report struct {
	Daemon directory.Daemon `json:"daemon"`
	// Version is the version of the program.
	Version string `json:"version"`
	// Uptime is the time since the process started, in seconds.
	Uptime   int64                 `json:"uptime_seconds"`
	Settings settingstore.Status   `json:"settings"`
	Pools    map[string]PoolReport `json:"pools"` // by pool name
	// DispatchesTo is the number of servers whose active dispatcher the daemon is.
	DispatchesTo int `json:"dispatches_to"`
}

// PoolReport identifies the newest assignment of a pool that one daemon holds.
type PoolReport struct {
	Term model.Term `json:"term"`
	Seq  model.Seq  `json:"seq"`
}

type reportRequest struct{}

func (i *Inspector) report(context.Context, *reportRequest) (*Report, error) {
	snapshot := i.directory.Load()
	report := &Report{
		Daemon:   snapshot.Daemons[i.config.Name],
		Version:  buildinfo.Version,
		Uptime:   int64(time.Since(i.started).Seconds()),
		Settings: i.settings.Status(),
		Pools:    map[string]PoolReport{},
	}
	for name, assignment := range snapshot.Pools {
		report.Pools[string(name)] = PoolReport{Term: assignment.Term, Seq: assignment.Seq}
		report.DispatchesTo += i.dispatchesTo(assignment)
	}
	return report, nil
}

func (i *Inspector) dispatchesTo(assignment *ownership.Assignment) int {
	count := 0
	for s := range assignment.Servers {
		if active := assignment.Servers[s].ActiveDispatcher(); active != nil && active.Daemon == i.config.Name {
			count++
		}
	}
	return count
}

// Fleet is the status of all daemons.
type Fleet struct {
	// Settings is the highest settings version in force on any daemon.
	Settings string `json:"settings_version"`
	// InForce is the number of daemons on which that version is in force, DaemonCount
	// the number of all daemons, the unreachable ones included.
	InForce     int                 `json:"in_force_on"`
	DaemonCount int                 `json:"daemons"`
	Daemons     []Report            `json:"reports"`
	Unreachable []UnreachableDaemon `json:"silent,omitempty"`
}

// Fleet queries all daemons for their reports.
func (i *Inspector) Fleet(ctx context.Context) Fleet {
	responses := gather(ctx, i, methodReport, &reportRequest{}, i.report)
	fleet := Fleet{Unreachable: responses.Unreachable, DaemonCount: len(responses.ByDaemon) + len(responses.Unreachable)}
	highest := settingstore.Status{}
	for id, report := range responses.ByDaemon {
		report.Daemon.ID = id
		fleet.Daemons = append(fleet.Daemons, report)
		highest.Version = max(highest.Version, report.Settings.Version)
	}
	for _, report := range fleet.Daemons {
		if report.Settings.Version == highest.Version {
			fleet.InForce++
		}
	}
	fleet.Settings = highest.Version.String()
	slices.SortFunc(fleet.Daemons, func(a, b Report) int { return strings.Compare(string(a.Daemon.ID), string(b.Daemon.ID)) })
	return fleet
}

// EventFilter selects events. Empty fields match any event.
type EventFilter struct {
	Pool    model.PoolName `json:"pool,omitempty"`
	Kind    journal.Kind   `json:"kind,omitempty"`
	Subject string         `json:"subject,omitempty"`
	// Limit bounds the number of events, those of each daemon and the merged ones; the
	// newest are kept. 0 sets no limit.
	Limit int `json:"limit,omitempty"`
}

func (f *EventFilter) matches(e *journal.Event) bool {
	return (f.Pool == "" || e.Pool == f.Pool) && (f.Kind == "" || e.Kind == f.Kind) && (f.Subject == "" || e.Subject == f.Subject)
}

type eventList struct {
	Events []journal.Event `json:"events"`
}

func (i *Inspector) events(_ context.Context, f *EventFilter) (*eventList, error) {
	return &eventList{Events: newest(i.journal.Events(f.matches), f.Limit)}, nil
}

// newest returns the last limit items of a list in ascending order of time, or all when
// limit is 0.
func newest[T any](items []T, limit int) []T {
	if limit > 0 && len(items) > limit {
		return items[len(items)-limit:]
	}
	return items
}

// Events holds the control decisions of all daemons, ordered by the time on the clock of
// the daemon that made them.
type Events struct {
	Events      []journal.Event     `json:"events"`
	Unreachable []UnreachableDaemon `json:"silent,omitempty"`
}

// Events queries all daemons for the events that match f.
func (i *Inspector) Events(ctx context.Context, f EventFilter) Events {
	responses := gather(ctx, i, methodEvents, &f, i.events)
	all := Events{Unreachable: responses.Unreachable, Events: []journal.Event{}}
	for _, list := range responses.ByDaemon {
		all.Events = append(all.Events, list.Events...)
	}
	slices.SortStableFunc(all.Events, func(a, b journal.Event) int { return a.At.Compare(b.At) })
	all.Events = newest(all.Events, f.Limit)
	return all
}

// StepFilter selects the steps of one request or of all requests for one key. Request
// takes precedence when both are set.
type StepFilter struct {
	Request model.RequestID `json:"request,omitempty"`
	Key     model.Key       `json:"key,omitempty"`
}

func (f *StepFilter) matches(s *journal.Step) bool {
	if f.Request != "" {
		return s.Request == f.Request
	}
	return f.Key != "" && s.Key == f.Key
}

type stepList struct {
	Steps []journal.Step `json:"steps"`
}

// stepLimit is the maximum number of steps that one daemon returns.
const stepLimit = 200

func (i *Inspector) steps(_ context.Context, f *StepFilter) (*stepList, error) {
	return &stepList{Steps: newest(i.journal.Steps(f.matches), stepLimit)}, nil
}

// Explanation holds what all daemons recorded about a request or a key. Owners and Events
// are set only for a key.
type Explanation struct {
	Owners      []Owner             `json:"owners,omitempty"`
	Steps       []journal.Step      `json:"steps"`
	Events      []journal.Event     `json:"events,omitempty"`
	Unreachable []UnreachableDaemon `json:"silent,omitempty"`
}

// Explain returns the recorded steps of the request with the ID what. When there are
// none, it takes what as a key and returns the steps of its requests, its owners and the
// control decisions that concern them.
func (i *Inspector) Explain(ctx context.Context, what string) Explanation {
	byRequest := i.collectSteps(ctx, &StepFilter{Request: model.RequestID(what)})
	if len(byRequest.Steps) > 0 {
		return byRequest
	}
	byKey := i.collectSteps(ctx, &StepFilter{Key: model.Key(what)})
	byKey.Owners = i.Owners(model.Key(what), "")
	for _, owner := range byKey.Owners {
		byKey.Events = append(byKey.Events, i.ownerEvents(ctx, owner)...)
	}
	return byKey
}

// collectSteps queries all daemons for the steps that match f and merges them in the
// order of time.
func (i *Inspector) collectSteps(ctx context.Context, f *StepFilter) Explanation {
	responses := gather(ctx, i, methodSteps, f, i.steps)
	explanation := Explanation{Unreachable: responses.Unreachable, Steps: []journal.Step{}}
	for _, list := range responses.ByDaemon {
		explanation.Steps = append(explanation.Steps, list.Steps...)
	}
	slices.SortStableFunc(explanation.Steps, func(a, b journal.Step) int { return a.At.Compare(b.At) })
	return explanation
}

type countsRequest struct{}

type countList struct {
	Counts []tally.Count `json:"counts"`
}

func (i *Inspector) counts(context.Context, *countsRequest) (*countList, error) {
	return &countList{Counts: i.tally.Counts()}, nil
}

// Counts holds the counters of all daemons, added up. Each daemon counts from its start.
type Counts struct {
	At          time.Time           `json:"at"`
	Counts      []tally.Count       `json:"counts"`
	Unreachable []UnreachableDaemon `json:"silent,omitempty"`
}

// Counts queries all daemons for their counters and adds them up.
func (i *Inspector) Counts(ctx context.Context) Counts {
	responses := gather(ctx, i, methodCounts, &countsRequest{}, i.counts)
	sums := map[tally.Labels]tally.Count{}
	for _, list := range responses.ByDaemon {
		for _, count := range list.Counts {
			sums[count.Labels] = count.Plus(sums[count.Labels])
		}
	}
	return Counts{At: time.Now(), Counts: tally.Sorted(sums), Unreachable: responses.Unreachable}
}
