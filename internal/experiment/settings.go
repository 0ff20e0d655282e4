package experiment

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/settingstore"
	adapter "github.com/chicorylug/chicorylug/platform"
)

// Parameters of the settings experiment.
const (
	settingsDaemons   = 28                     // default number of daemons
	settingsDuration  = 10 * time.Second       // of each count of store reads
	settingsChanges   = 20                     // number of settings changes
	settingsTimeout   = 30 * time.Second       // for a version to be in force on all daemons and seen by all pollers
	versionPollPeriod = 500 * time.Microsecond // between two checks of a daemon's version
	storePollPeriod   = 500 * time.Millisecond // of the baseline, in which each daemon polls the store
	settingsRow       = "settings/tree"        // key of the settings tree in the store
)

// runSettings measures the time from the acceptance of a settings version until each daemon
// applies it ("in force"), and the reads of the store. The baseline is one poller of the
// store for each daemon.
func runSettings(ctx context.Context, o Options, r *Report) error {
	d, err := loadDeployment(o.Deployment)
	if err != nil {
		return err
	}
	options, err := d.fleetOptions(o.daemonsOr(settingsDaemons))
	if err != nil {
		return err
	}
	o.progress("starting %d daemons", options.Daemons)
	f, err := fleet.Start(options)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	if err := waitReady(ctx, f); err != nil {
		return err
	}
	idle := countReads(ctx, f, o.durationOr(settingsDuration))
	pollers := startPollers(ctx, f)
	defer pollers.stop()
	polled := countReads(ctx, f, o.durationOr(settingsDuration)) - idle
	inForce, seen, err := changeSettings(ctx, o, f, d, pollers)
	if err != nil {
		return err
	}
	t := r.table("From acceptance to in force, all daemons and changes", "way", "daemons", "changes", "p50", "p99", "max", "store reads/s")
	t.add("spread between daemons", len(f.Nodes), settingsChanges, inForce.quantile(50), inForce.quantile(99), inForce.max(), idle)
	t.add("each daemon polls every 500 ms", len(f.Nodes), settingsChanges, seen.quantile(50), seen.quantile(99), seen.max(), polled)
	r.note("store reads of the spread way are all reads of the idle fleet, for every purpose; those of polling are for settings alone")
	return nil
}

// countReads returns the store's reads per second during the time d.
func countReads(ctx context.Context, f *fleet.Fleet, d time.Duration) float64 {
	before := f.Platform.Counts().Reads
	sleep(ctx, d)
	return float64(f.Platform.Counts().Reads-before) / d.Seconds()
}

// sleep waits for the time d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// changeSettings makes changes at the daemons in turn. It returns the times from acceptance
// until each daemon has applied the new version, and until each poller has read it.
func changeSettings(ctx context.Context, o Options, f *fleet.Fleet, d *deployment, p *pollers) (inForce, seen *latencies, err error) {
	inForce, seen = newLatencies(), newLatencies()
	team, name := d.keyedTeam(), d.keyedTeamName()
	pool := team.Pools[d.keyed]
	for change := range settingsChanges {
		o.progress("settings change %d of %d", change+1, settingsChanges)
		pool.QueuePerRank = settings.DefaultQueuePerRank + change + 1
		version, err := acceptSettings(ctx, f.Nodes[change%len(f.Nodes)], name, team)
		if err != nil {
			return nil, nil, err
		}
		accepted := time.Now()
		if err := awaitVersion(ctx, f, p, version, accepted, inForce, seen); err != nil {
			return nil, nil, err
		}
	}
	return inForce, seen, nil
}

// keyedTeamName returns the name of the team that owns the keyed pool, or "".
func (d *deployment) keyedTeamName() model.TeamName {
	for name, team := range d.tree.Teams {
		if _, ok := team.Pools[d.keyed]; ok {
			return name
		}
	}
	return ""
}

// acceptSettings submits a team's subtree of the settings to a daemon and returns the
// accepted version.
func acceptSettings(ctx context.Context, node *fleet.Node, name model.TeamName, team *settings.Team) (settings.Version, error) {
	text, err := json.Marshal(team)
	if err != nil {
		return 0, errors.Wrap(err, "encode settings subtree")
	}
	var record settingstore.Record
	invoked := node.Daemon.Invoke(func(store *settingstore.Store) {
		record, err = store.Accept(ctx, settingstore.Change{
			Base:   store.Status().Version,
			Scope:  settings.TeamScope(name),
			File:   "experiment",
			Text:   string(text),
			Author: "experiment",
		})
	})
	if invoked != nil {
		return 0, invoked
	}
	return record.Version, errors.Wrapf(err, "accept settings at %s", node.Name())
}

// awaitVersion waits until each daemon has applied the version and each poller has read it,
// and records the times since accepted. It returns an error after settingsTimeout.
func awaitVersion(ctx context.Context, f *fleet.Fleet, p *pollers, version settings.Version, accepted time.Time, inForce, seen *latencies) error {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, node := range f.Nodes {
		all.Go(func() { awaitCondition(ctx, accepted, inForce, func() bool { return versionOf(node) >= version }) })
	}
	for i := range p.seen {
		all.Go(func() { awaitCondition(ctx, accepted, seen, func() bool { return p.version(i) >= version }) })
	}
	all.Wait()
	return errors.Wrapf(ctx.Err(), "settings version %d is not in force on all daemons and seen by all pollers", version)
}

// awaitCondition polls until a condition holds and records the time elapsed since the given
// start. It records nothing if ctx ends first.
func awaitCondition(ctx context.Context, since time.Time, recorded *latencies, reached func() bool) {
	for !reached() {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(versionPollPeriod)
	}
	recorded.add(time.Since(since))
}

// versionOf returns the settings version that a daemon has applied, or 0.
func versionOf(node *fleet.Node) settings.Version {
	var version settings.Version
	_ = node.Daemon.Invoke(func(dir *directory.Directory) {
		if compiled := dir.Load().Settings; compiled != nil {
			version = compiled.Version
		}
	})
	return version
}

// pollers is the baseline, the way of distribution that the daemons' own is compared with.
// For each daemon, one goroutine, its poller, reads the settings row from the store once per
// storePollPeriod.
type pollers struct {
	mu     sync.Mutex
	seen   []settings.Version // latest version that each poller has read, 0 for none
	cancel context.CancelFunc // ends the pollers
	done   sync.WaitGroup     // pollers that have not ended
}

func startPollers(ctx context.Context, f *fleet.Fleet) *pollers {
	ctx, cancel := context.WithCancel(ctx)
	p := &pollers{seen: make([]settings.Version, len(f.Nodes)), cancel: cancel}
	for i := range p.seen {
		p.done.Go(func() { p.poll(ctx, i, f.Platform.Address()) })
	}
	return p
}

func (p *pollers) poll(ctx context.Context, index int, address string) {
	client := adapter.NewStore(address, nil)
	sleep(ctx, rand.N(storePollPeriod))
	ticker := time.NewTicker(storePollPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if row, err := client.Get(ctx, settingsRow); err == nil {
			p.mu.Lock()
			p.seen[index] = settings.Version(row.Version)
			p.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (p *pollers) version(index int) settings.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[index]
}

func (p *pollers) stop() {
	p.cancel()
	p.done.Wait()
}
