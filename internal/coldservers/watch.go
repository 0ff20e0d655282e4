package coldservers

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/coldstart"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/metrics"
)

// ServiceName is the name under which the watch is registered in the kernel.
const ServiceName kernel.Name = "cold-servers"

const (
	busyPeriod  = 50 * time.Millisecond  // between two rounds while a server may be cold,
	idlePeriod  = time.Second            // and otherwise, unless the catalog changes
	fleetPeriod = 500 * time.Millisecond // between two looks at the list of daemons
)

// Watch keeps the beliefs about cold servers current.
type Watch struct {
	catalog  *catalog.Catalog
	follow   *follow.Follower
	backends *backends.Backends
	seen     *catalog.Snapshot // of the last round
	fleetAt  time.Time         // of the last look at the list of daemons
	meters   map[coldstart.Belief]*metrics.Counter
	log      *zap.Logger

	background kernel.Background
}

// NewWatch returns a watch that is not yet started.
func NewWatch(cat *catalog.Catalog, f *follow.Follower, b *backends.Backends, r *metrics.Registry, log *zap.Logger) *Watch {
	return &Watch{
		catalog: cat, follow: f, backends: b, log: log.Named(string(ServiceName)),
		meters: map[coldstart.Belief]*metrics.Counter{
			coldstart.Warm:        r.Counter(`cold_server_changes_total{to="warm"}`),
			coldstart.Cold:        r.Counter(`cold_server_changes_total{to="cold"}`),
			coldstart.Unconfirmed: r.Counter(`cold_server_changes_total{to="unconfirmed"}`),
		},
	}
}

// Name implements kernel.Service.
func (w *Watch) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (w *Watch) After() []kernel.Name { return []kernel.Name{follow.ServiceName} }

// Ready implements kernel.Service.
func (w *Watch) Ready() error { return nil }

// Start implements kernel.Service.
func (w *Watch) Start(context.Context) error {
	w.background.Go(w.run)
	return nil
}

// Stop implements kernel.Service.
func (w *Watch) Stop(context.Context) error {
	w.background.Stop()
	return nil
}

// run keeps the beliefs current until ctx ends.
func (w *Watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := w.catalog.Changed()
		if w.applies() {
			w.round(time.Now())
		}
		sleep(ctx, busyPeriod)
		if w.backends.Cold().Idle() {
			waitFor(ctx, changed, idlePeriod)
		}
	}
}

// applies reports whether the cold servers of a service have a bound.
func (w *Watch) applies() bool {
	configuration := w.catalog.Load().Configuration
	if configuration == nil {
		return false
	}
	for _, service := range configuration.Services {
		if service.ColdRate > 0 {
			return true
		}
	}
	return false
}

// round hands changed registrations and the list of daemons on, logs changes of belief, and
// checks the health of a server that may be cold.
func (w *Watch) round(now time.Time) {
	tracker := w.backends.Cold()
	if now.Sub(w.fleetAt) >= fleetPeriod {
		w.fleetAt = now
		tracker.SetFleet(fleetOf(w.follow.Membership()), now)
	}
	snapshot := w.catalog.Load()
	if snapshot != w.seen {
		w.seen = snapshot
		for _, server := range snapshot.Servers {
			tracker.Observe(server, w.backends.ColdRate(server.Service), now)
		}
	}
	for _, c := range tracker.Changes(snapshot.Servers, now) {
		w.logChange(&c)
	}
	mayAsk := func(server *catalog.Server) bool { return !snapshot.Evacuated(server.Zone) }
	if server := tracker.NextProbe(mayAsk, now); server != nil {
		w.background.Go(func(ctx context.Context) { w.backends.CheckHealth(ctx, server) })
	}
}

func (w *Watch) logChange(c *coldstart.Change) {
	w.meters[c.To].Inc()
	w.log.Info("belief about a server changed", zap.String("server", string(c.Server.ID)), zap.String("service", string(c.Server.Service)),
		zap.String("from", name(c.From)), zap.String("to", name(c.To)), zap.String("evidence", string(c.Evidence)),
		zap.Duration("evidence_age", c.Age), zap.Bool("holder", c.Holder))
}

func name(b coldstart.Belief) string {
	if b == coldstart.Warm {
		return "warm"
	}
	return string(b)
}

// fleetOf returns the list of daemons for decisions.
func fleetOf(m follow.Membership) coldstart.Fleet {
	f := coldstart.Fleet{Age: m.Age, RegisteredFor: m.RegisteredFor, Members: make([]coldstart.Member, 0, len(m.Daemons))}
	for _, d := range m.Daemons {
		f.Members = append(f.Members, coldstart.Member{Name: d.Name, Cores: d.Cores})
	}
	slices.SortFunc(f.Members, func(a, b coldstart.Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return f
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, period time.Duration) { waitFor(ctx, nil, period) }

// waitFor waits until changed is closed, for at most a time, or until ctx ends.
func waitFor(ctx context.Context, changed <-chan struct{}, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
