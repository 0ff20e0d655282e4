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

// Parameters of the loss experiment, which makes servers, daemons or a whole zone fail and
// measures for how long keys are not served.
const (
	lossDaemons       = 12                      // default number of daemons
	lossTrials        = 4                       // trials of each kind of fault
	lossKeys          = 90                      // number of keys that are requested
	lossRequestPeriod = 20 * time.Millisecond   // between two requests for the same key
	lossObservation   = 4 * time.Second         // default observation after a fault
	lossLeadTime      = time.Second             // observation before the fault
	lossRecovery      = 2500 * time.Millisecond // pause after the fault is repaired and all daemons are ready
	lossTimeout       = 500 * time.Millisecond  // time limit of one request
	lossMinGap        = 100 * time.Millisecond  // gaps up to this length don't count as unavailable time
	lossServiceMS     = 2.0                     // service time of a request, in milliseconds
	lossRoute         = "/experiment/loss/"     // path of the requests, followed by the key
	leasePrefix       = "lease/"                // key of a coordinator's lease in the store, followed by the pool
)

// lossKind is one kind of fault.
type lossKind struct {
	name string
	// plan chooses the daemons and servers to fail in one trial.
	plan func(*lossRun) (plannedFault, error)
}

// plannedFault is the fault of one trial.
type plannedFault struct {
	reachable []*fleet.Node // daemons that callers can use throughout
	inject    func()        // makes the daemons and servers fail
	repair    func() error  // makes them work again
}

// lossRun is one trial of a fault. The number of the trial selects the daemons and servers
// that fail, the victims.
type lossRun struct {
	fleet      *fleet.Fleet
	deployment *deployment
	trial      int
}

func lossKinds() []lossKind {
	return []lossKind{
		{"server lost", (*lossRun).serverLost},
		{"server frozen", (*lossRun).serverFrozen},
		{"dispatcher lost", (*lossRun).dispatcherLost},
		{"coordinator lost", (*lossRun).coordinatorLost},
		{"coordinator and server lost", (*lossRun).coordinatorAndServerLost},
		{"availability zone lost", (*lossRun).zoneLost},
	}
}

// runLoss measures how long keys are not served after losses of servers, daemons and zones.
func runLoss(ctx context.Context, o Options, r *Report) error {
	d, err := loadDeployment(o.Deployment)
	if err != nil {
		return err
	}
	d.addRoute(&settings.Route{
		Name: "experiment-loss", Methods: []string{"GET"}, Path: lossRoute + "{key}",
		Rank: d.tree.Fleet.Ranks[0].Name, TimeoutMS: int(lossTimeout.Milliseconds()),
	})
	d.keepOnlyKeyedPool(lossServiceMS)
	options, err := d.fleetOptions(o.daemonsOr(lossDaemons))
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
	t := r.table(fmt.Sprintf("Time without service, %d keys, %d trials, keys with a gap above %s", lossKeys, lossTrials, lossMinGap),
		"loss", "trials", "keys affected %", "p50", "p99", "max", "worst trial p50")
	for _, l := range lossKinds() {
		if err := measureLoss(ctx, o, t, f, d, l); err != nil {
			return errors.Wrap(err, l.name)
		}
	}
	r.note("a key's time without service is the longest gap between two answers to a caller that asks every %s, from the loss on", lossRequestPeriod)
	r.note("callers ask daemons that stay alive; the instance list shows the lost ones as live all the time")
	return ctx.Err()
}

// measureLoss runs all trials of one kind of fault and adds a row with their results to t.
func measureLoss(ctx context.Context, o Options, t *Table, f *fleet.Fleet, d *deployment, l lossKind) error {
	all := newLatencies()
	worst := time.Duration(0)
	for trial := range lossTrials {
		o.progress("%s, trial %d of %d", l.name, trial+1, lossTrials)
		run := &lossRun{fleet: f, deployment: d, trial: trial}
		gaps, err := run.measure(ctx, o.durationOr(lossObservation), l)
		if err != nil {
			return err
		}
		one := newLatencies()
		for _, gap := range gaps {
			if gap > lossMinGap {
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

// measure injects one fault, observes all keys until the time watch has passed since then,
// repairs the fault and returns each key's longest time without an answer.
func (l *lossRun) measure(ctx context.Context, watch time.Duration, kind lossKind) ([]time.Duration, error) {
	planned, err := kind.plan(l)
	if err != nil {
		return nil, err
	}
	watchCtx, cancel := context.WithTimeout(ctx, lossLeadTime+watch)
	defer cancel()
	injectAt := time.Now().Add(lossLeadTime)
	var all sync.WaitGroup
	gaps := make([]time.Duration, lossKeys)
	c := newCaller(lossTimeout)
	for key := range lossKeys {
		node := planned.reachable[key%len(planned.reachable)]
		all.Go(func() { gaps[key] = watchKey(watchCtx, c, node.CallerAddress(), key, injectAt) })
	}
	sleep(ctx, time.Until(injectAt))
	planned.inject()
	all.Wait()
	if err := planned.repair(); err != nil {
		return nil, err
	}
	if err := waitReady(ctx, l.fleet); err != nil {
		return nil, err
	}
	sleep(ctx, lossRecovery)
	return gaps, nil
}

// watchKey requests a key at a fixed period without waiting for answers, until ctx ends. It
// returns the longest time without a successful answer from since on.
func watchKey(ctx context.Context, c *caller, address string, key int, since time.Time) time.Duration {
	var mu sync.Mutex
	last, longest := since, time.Duration(0)
	recordGap := func(at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if at.After(last) {
			longest = max(longest, at.Sub(last))
			last = at
		}
	}
	path := fmt.Sprintf("%sk%d", lossRoute, key)
	ticker := time.NewTicker(lossRequestPeriod)
	defer ticker.Stop()
	var pending sync.WaitGroup
	for ctx.Err() == nil {
		pending.Go(func() {
			if c.get(address, path).ok {
				recordGap(time.Now())
			}
		})
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	end := time.Now()
	pending.Wait()
	recordGap(end)
	return longest
}

func (l *lossRun) victimServer() *backend.Server {
	return l.fleet.Servers[l.trial%len(l.fleet.Servers)]
}

func (l *lossRun) serverLost() (plannedFault, error) {
	victim := l.victimServer()
	return plannedFault{reachable: l.fleet.Nodes, inject: victim.Kill, repair: victim.Restart}, nil
}

func (l *lossRun) serverFrozen() (plannedFault, error) {
	victim := l.victimServer()
	return plannedFault{
		reachable: l.fleet.Nodes,
		inject:    func() { victim.SetFaults(backend.Faults{Frozen: true}) },
		repair: func() error {
			victim.SetFaults(backend.Faults{})
			return nil
		},
	}, nil
}

// dispatcherLost returns the fault in which a daemon is killed that dispatches to a server
// and is not the coordinator of the keyed pool.
func (l *lossRun) dispatcherLost() (plannedFault, error) {
	coordinator, err := l.coordinator()
	if err != nil {
		return plannedFault{}, err
	}
	assignment := l.assignment(coordinator)
	for i := range assignment.Servers {
		server := &assignment.Servers[(i+l.trial)%len(assignment.Servers)]
		if active := server.ActiveDispatcher(); active != nil && active.Daemon != coordinator.Name() {
			return l.daemonsLost(l.node(active.Daemon)), nil
		}
	}
	return plannedFault{}, errors.Errorf("pool %s has no active dispatcher other than its coordinator %s", l.deployment.keyed, coordinator.Name())
}

func (l *lossRun) coordinatorLost() (plannedFault, error) {
	coordinator, err := l.coordinator()
	if err != nil {
		return plannedFault{}, err
	}
	return l.daemonsLost(coordinator), nil
}

func (l *lossRun) coordinatorAndServerLost() (plannedFault, error) {
	planned, err := l.coordinatorLost()
	if err != nil {
		return plannedFault{}, err
	}
	victim := l.victimServer()
	return plannedFault{
		reachable: planned.reachable,
		inject: func() {
			planned.inject()
			victim.Kill()
		},
		repair: func() error {
			if err := victim.Restart(); err != nil {
				return err
			}
			return planned.repair()
		},
	}, nil
}

// zoneLost returns the fault in which all daemons and servers of one zone are killed.
func (l *lossRun) zoneLost() (plannedFault, error) {
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
	return plannedFault{
		reachable: planned.reachable,
		inject: func() {
			for _, server := range servers {
				server.Kill()
			}
			planned.inject()
		},
		repair: func() error {
			for _, server := range servers {
				if err := server.Restart(); err != nil {
					return err
				}
			}
			return planned.repair()
		},
	}, nil
}

// daemonsLost returns the fault in which the given daemons are killed at the same time.
func (l *lossRun) daemonsLost(victims ...*fleet.Node) plannedFault {
	return plannedFault{
		reachable: slices.DeleteFunc(slices.Clone(l.fleet.Nodes), func(n *fleet.Node) bool { return slices.Contains(victims, n) }),
		inject: func() {
			var all sync.WaitGroup
			for _, victim := range victims {
				all.Go(func() { l.fleet.KillDaemon(victim) })
			}
			all.Wait()
		},
		repair: func() error {
			for _, victim := range victims {
				if err := l.fleet.StartDaemon(victim); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// coordinator returns the daemon that holds the coordinator lease of the keyed pool.
func (l *lossRun) coordinator() (*fleet.Node, error) {
	client := adapter.NewStore(l.fleet.Platform.Address(), nil)
	row, err := client.Get(context.Background(), leasePrefix+string(l.deployment.keyed))
	if err != nil {
		return nil, errors.Wrapf(err, "read coordinator lease of pool %s", l.deployment.keyed)
	}
	var lease struct {
		Holder model.DaemonID `json:"holder"`
	}
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		return nil, errors.Wrapf(err, "decode coordinator lease of pool %s", l.deployment.keyed)
	}
	node := l.node(lease.Holder)
	if node == nil {
		return nil, errors.Errorf("coordinator lease of pool %s is held by %q, which is no daemon of the fleet", l.deployment.keyed, lease.Holder)
	}
	return node, nil
}

// node returns the daemon with an id, or nil.
func (l *lossRun) node(id model.DaemonID) *fleet.Node {
	for _, node := range l.fleet.Nodes {
		if node.Name() == id {
			return node
		}
	}
	return nil
}

// assignment returns a daemon's copy of the keyed pool's assignment.
func (l *lossRun) assignment(node *fleet.Node) *ownership.Assignment {
	var assignment *ownership.Assignment
	_ = node.Daemon.Invoke(func(dir *directory.Directory) { assignment = dir.Load().Pools[l.deployment.keyed] })
	return assignment
}
