package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
	adapter "github.com/chicorylug/chicorylug/platform"
)

const (
	lossDaemons   = 12
	lossTrials    = 4
	lossKeys      = 90
	lossPoll      = 20 * time.Millisecond   // between two requests for one key
	lossWatch     = 4 * time.Second         // observation after a loss; zero duration takes this
	lossLead      = time.Second             // observation before it
	lossRecovery  = 2500 * time.Millisecond // pause after everything is back
	lossTimeout   = 500 * time.Millisecond
	lossAffected  = 100 * time.Millisecond // gaps above this count as unavailable time
	lossServiceMS = 2.0
	lossRoute     = "/experiment/loss/"
	leasePrefix   = "lease/"
)

// loss is one kind of fault with its repair.
type loss struct {
	name string
	// strike chooses victims and returns the daemons that stay reachable for
	// callers, the fault, and its repair.
	plan func(*lossRun) (strike, error)
}

// strike is a planned fault.
type strike struct {
	reachable []*fleet.Node
	begin     func()
	end       func() error
}

type lossRun struct {
	fleet      *fleet.Fleet
	deployment *deployment
	trial      int
}

func losses() []loss {
	return []loss{
		{"server lost", (*lossRun).serverLost},
		{"server frozen", (*lossRun).serverFrozen},
		{"dispatcher lost", (*lossRun).dispatcherLost},
		{"coordinator lost", (*lossRun).coordinatorLost},
		{"coordinator and server lost", (*lossRun).coordinatorAndServerLost},
		{"availability zone lost", (*lossRun).zoneLost},
	}
}

// runLoss measures for how long keys are not served after losses.
func runLoss(ctx context.Context, o Options, r *Report) error {
	d, err := loadDeployment(o.Deployment)
	if err != nil {
		return err
	}
	d.addRoute(&settings.Route{
		Name: "experiment-loss", Methods: []string{"GET"}, Path: lossRoute + "{key}",
		Rank: d.tree.Fleet.Ranks[0].Name, TimeoutMS: int(lossTimeout.Milliseconds()),
	})
	d.onlyKeyed(lossServiceMS)
	options, err := d.fleetOptions(o.daemons(lossDaemons))
	if err != nil {
		return err
	}
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
	t := r.table(fmt.Sprintf("Time without service, %d keys, %d trials, keys with a gap above %s", lossKeys, lossTrials, lossAffected),
		"loss", "trials", "keys affected %", "p50", "p99", "max", "worst trial p50")
	for _, l := range losses() {
		if err := measureLoss(ctx, o, t, f, d, l); err != nil {
			return errors.Wrap(err, l.name)
		}
	}
	r.note("a key's time without service is the longest gap between two answers to a caller that asks every %s, from the loss on", lossPoll)
	r.note("callers ask daemons that stay alive; the instance list shows the lost ones as live all the time")
	return ctx.Err()
}

func measureLoss(ctx context.Context, o Options, t *Table, f *fleet.Fleet, d *deployment, l loss) error {
	all := newLatencies()
	worst := time.Duration(0)
	for trial := range lossTrials {
		o.progress("%s, trial %d of %d", l.name, trial+1, lossTrials)
		run := &lossRun{fleet: f, deployment: d, trial: trial}
		gaps, err := run.measure(ctx, o.duration(lossWatch), l)
		if err != nil {
			return err
		}
		one := newLatencies()
		for _, gap := range gaps {
			if gap > lossAffected {
				all.add(gap)
				one.add(gap)
			}
		}
		worst = max(worst, one.quantile(50))
	}
	affected := 100 * float64(all.count()) / float64(lossTrials*lossKeys)
	t.add(l.name, lossTrials, affected, all.quantile(50), all.quantile(99), all.max(), worst)
	return ctx.Err()
}

// measure strikes once and returns each key's longest gap.
func (l *lossRun) measure(ctx context.Context, watch time.Duration, kind loss) ([]time.Duration, error) {
	planned, err := kind.plan(l)
	if err != nil {
		return nil, err
	}
	watched, cancel := context.WithTimeout(ctx, lossLead+watch)
	defer cancel()
	struck := time.Now().Add(lossLead)
	var all sync.WaitGroup
	gaps := make([]time.Duration, lossKeys)
	c := newCaller(lossTimeout)
	for key := range lossKeys {
		node := planned.reachable[key%len(planned.reachable)]
		all.Go(func() { gaps[key] = watchKey(watched, c, node.CallerAddress(), key, struck) })
	}
	sleep(ctx, time.Until(struck))
	planned.begin()
	all.Wait()
	if err := planned.end(); err != nil {
		return nil, err
	}
	if err := waitReady(ctx, l.fleet); err != nil {
		return nil, err
	}
	sleep(ctx, lossRecovery)
	return gaps, nil
}

// watchKey asks for a key at a fixed period without waiting for answers, and
// returns the longest time between two of them after the loss.
func watchKey(ctx context.Context, c *caller, address string, key int, since time.Time) time.Duration {
	var mu sync.Mutex
	last, longest := since, time.Duration(0)
	note := func(at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if at.After(last) {
			longest = max(longest, at.Sub(last))
			last = at
		}
	}
	path := fmt.Sprintf("%sk%d", lossRoute, key)
	ticker := time.NewTicker(lossPoll)
	defer ticker.Stop()
	var pending sync.WaitGroup
	for ctx.Err() == nil {
		pending.Go(func() {
			if c.get(address, path).ok {
				note(time.Now())
			}
		})
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	end := time.Now()
	pending.Wait()
	note(end)
	return longest
}

func (l *lossRun) server() *backend.Server {
	return l.fleet.Servers[l.trial%len(l.fleet.Servers)]
}

func (l *lossRun) serverLost() (strike, error) {
	victim := l.server()
	return strike{reachable: l.fleet.Nodes, begin: victim.Kill, end: victim.Restart}, nil
}

func (l *lossRun) serverFrozen() (strike, error) {
	victim := l.server()
	return strike{
		reachable: l.fleet.Nodes,
		begin:     func() { victim.SetFaults(backend.Faults{Frozen: true}) },
		end: func() error {
			victim.SetFaults(backend.Faults{})
			return nil
		},
	}, nil
}

// dispatcherLost kills the daemon that dispatches to a server and does not hold the lease.
func (l *lossRun) dispatcherLost() (strike, error) {
	coordinator, err := l.coordinator()
	if err != nil {
		return strike{}, err
	}
	assignment := l.assignment(coordinator)
	for i := range assignment.Servers {
		server := &assignment.Servers[(i+l.trial)%len(assignment.Servers)]
		if active := server.ActiveDispatcher(); active != nil && active.Daemon != coordinator.Name() {
			return l.daemonsLost(l.node(active.Daemon)), nil
		}
	}
	return strike{}, errors.New("the coordinator is the only dispatcher")
}

func (l *lossRun) coordinatorLost() (strike, error) {
	coordinator, err := l.coordinator()
	if err != nil {
		return strike{}, err
	}
	return l.daemonsLost(coordinator), nil
}

func (l *lossRun) coordinatorAndServerLost() (strike, error) {
	planned, err := l.coordinatorLost()
	if err != nil {
		return strike{}, err
	}
	victim := l.server()
	return strike{
		reachable: planned.reachable,
		begin: func() {
			planned.begin()
			victim.Kill()
		},
		end: func() error {
			if err := victim.Restart(); err != nil {
				return err
			}
			return planned.end()
		},
	}, nil
}

// zoneLost kills all daemons and servers of one zone.
func (l *lossRun) zoneLost() (strike, error) {
	zone := l.deployment.zones[l.trial%len(l.deployment.zones)]
	var nodes []*fleet.Node
	for _, node := range l.fleet.Nodes {
		if node.Zone == zone {
			nodes = append(nodes, node)
		}
	}
	planned := l.daemonsLost(nodes...)
	var servers []*backend.Server
	for i, server := range l.fleet.Servers {
		if l.deployment.zones[i%len(l.deployment.zones)] == zone {
			servers = append(servers, server)
		}
	}
	return strike{
		reachable: planned.reachable,
		begin: func() {
			for _, server := range servers {
				server.Kill()
			}
			planned.begin()
		},
		end: func() error {
			for _, server := range servers {
				if err := server.Restart(); err != nil {
					return err
				}
			}
			return planned.end()
		},
	}, nil
}

func (l *lossRun) daemonsLost(victims ...*fleet.Node) strike {
	return strike{
		reachable: slices.DeleteFunc(slices.Clone(l.fleet.Nodes), func(n *fleet.Node) bool { return slices.Contains(victims, n) }),
		begin: func() {
			var all sync.WaitGroup
			for _, victim := range victims {
				all.Go(func() { l.fleet.KillDaemon(victim) })
			}
			all.Wait()
		},
		end: func() error {
			for _, victim := range victims {
				if err := l.fleet.StartDaemon(victim); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// coordinator returns the daemon that holds the keyed pool's lease.
func (l *lossRun) coordinator() (*fleet.Node, error) {
	client := adapter.NewStore(l.fleet.Platform.Address(), nil)
	row, err := client.Get(context.Background(), leasePrefix+string(l.deployment.keyed))
	if err != nil {
		return nil, errors.Wrap(err, "read lease")
	}
	var lease struct {
		Holder model.DaemonID `json:"holder"`
	}
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		return nil, errors.Wrap(err, "decode lease")
	}
	node := l.node(lease.Holder)
	if node == nil {
		return nil, errors.Errorf("no daemon %q holds the lease", lease.Holder)
	}
	return node, nil
}

func (l *lossRun) node(id model.DaemonID) *fleet.Node {
	for _, node := range l.fleet.Nodes {
		if node.Name() == id {
			return node
		}
	}
	return nil
}

func (l *lossRun) assignment(node *fleet.Node) *ownership.Assignment {
	var assignment *ownership.Assignment
	_ = node.Daemon.Invoke(func(dir *directory.Directory) { assignment = dir.Load().Pools[l.deployment.keyed] })
	return assignment
}
