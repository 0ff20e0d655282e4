package coordinator

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/member"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/observe"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/placement"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// ServiceName is the coordinator's name in the kernel.
const ServiceName kernel.Name = "coordinator"

// Periods.
const (
	tickPeriod   = 500 * time.Millisecond
	permitLength = 3 * time.Second // validity of a permit from the moment it was asked for
)

// assignmentPrefix is the prefix of the assignments' keys in the table.
const assignmentPrefix = "assignment/"

// Coordinator takes part in the control of every pool.
type Coordinator struct {
	config    *config.Config
	loop      *control.Loop
	platform  platform.Platform
	member    *member.Member
	gate      *ownership.Gate
	directory *directory.Directory
	journal   *journal.Journal
	log       *zap.Logger

	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a coordinator that is not yet started.
func New(
	c *config.Config,
	loop *control.Loop,
	p platform.Platform,
	m *member.Member,
	gate *ownership.Gate,
	dir *directory.Directory,
	board *observe.Board,
	j *journal.Journal,
	log *zap.Logger,
) *Coordinator {
	coordinator := &Coordinator{
		config:    c,
		loop:      loop,
		platform:  p,
		member:    m,
		gate:      gate,
		directory: dir,
		journal:   j,
		log:       log.Named(string(ServiceName)),
		done:      make(chan struct{}),
	}
	return coordinator
}

// Name implements kernel.Service.
func (c *Coordinator) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (c *Coordinator) After() []kernel.Name { return []kernel.Name{member.ServiceName, "settings"} }

// Start implements kernel.Service.
func (c *Coordinator) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.run(ctx)
	return nil
}

// Ready implements kernel.Service.
func (c *Coordinator) Ready() error { return nil }

// Stop implements kernel.Service.
func (c *Coordinator) Stop(context.Context) error {
	c.cancel()
	<-c.done
	return nil
}

func (c *Coordinator) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		if err := c.tick(ctx); err != nil {
			c.log.Warn("control round failed", zap.String("step", "tick"), zap.Error(err))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Coordinator) tick(ctx context.Context) error {
	compiled := c.directory.Load().Settings
	if compiled == nil {
		return nil
	}
	members := c.member.Members()
	for name, pool := range compiled.Pools {
		if err := c.tickPool(ctx, name, pool, members.Instances, members.Daemons); err != nil {
			return err
		}
	}
	return c.loop.Call(ctx, c.applyPermits)
}

func (c *Coordinator) tickPool(ctx context.Context, name model.PoolName, pool *settings.Pool, instances []platform.Instance, daemons map[model.DaemonID]directory.Daemon) error {
	row, err := c.platform.Get(ctx, assignmentPrefix+string(name))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return errors.Wrapf(err, "read assignment of %s", name)
	}
	current := &ownership.Assignment{Pool: name}
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, current); err != nil {
			return errors.Wrapf(err, "decode assignment of %s", name)
		}
	}
	if c.leads(daemons) {
		next := plan(current, pool, serversOf(name, instances), daemons)
		if next != nil {
			return c.write(ctx, row, next)
		}
	}
	if current.Seq == 0 {
		return nil
	}
	return c.loop.Call(ctx, func() { c.directory.PublishAssignment(current) })
}

// leads reports that this daemon has the lowest name.
func (c *Coordinator) leads(daemons map[model.DaemonID]directory.Daemon) bool {
	for id := range daemons {
		if id < c.config.Name {
			return false
		}
	}
	return true
}

func serversOf(pool model.PoolName, instances []platform.Instance) []platform.Instance {
	var servers []platform.Instance
	for _, instance := range instances {
		if instance.Kind == platform.KindServer && instance.Pool == pool {
			servers = append(servers, instance)
		}
	}
	return servers
}

// plan returns the next assignment, or nil when the current one stands.
func plan(current *ownership.Assignment, pool *settings.Pool, servers []platform.Instance, daemons map[model.DaemonID]directory.Daemon) *ownership.Assignment {
	if current.Seq > 0 || len(servers) == 0 {
		return nil
	}
	next := &ownership.Assignment{Pool: current.Pool, Term: 1, Seq: 1, Keyed: pool.Keyed, FixedShards: pool.Shards}
	names := make([]string, 0, len(servers))
	for _, server := range servers {
		names = append(names, server.ID)
		next.Servers = append(next.Servers, ownership.Server{
			ID:          model.ServerID(server.ID),
			Zone:        server.Zone,
			Address:     server.Address,
			State:       ownership.ServerActive,
			Dispatchers: dispatchersFor(server.ID, pool, daemons),
		})
	}
	for shard := range pool.Shards {
		owner := placement.First(string(current.Pool)+string(rune(shard)), names)
		next.Shards = append(next.Shards, ownership.Shard{Server: model.ServerID(owner), Epoch: 1})
	}
	return next
}

func dispatchersFor(server string, pool *settings.Pool, daemons map[model.DaemonID]directory.Daemon) []ownership.Dispatcher {
	ids := make([]string, 0, len(daemons))
	for id := range daemons {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	chosen := daemons[model.DaemonID(placement.First(server, ids))]
	return []ownership.Dispatcher{{
		Daemon:      chosen.ID,
		Incarnation: chosen.Incarnation,
		Zone:        chosen.Zone,
		State:       ownership.DispatcherActive,
		Slots:       pool.Slots,
		Dispatch:    chosen.Dispatch,
		Control:     chosen.Control,
	}}
}

func (c *Coordinator) write(ctx context.Context, row platform.Row, next *ownership.Assignment) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode assignment")
	}
	_, err = platform.Resolve(ctx, c.platform, platform.Write{
		Key:     assignmentPrefix + string(next.Pool),
		Value:   value,
		Expect:  row.Version,
		WriteID: platform.WriteID(uuid.NewString()),
	})
	if err != nil {
		return errors.Wrapf(err, "write assignment of %s", next.Pool)
	}
	c.journal.Add(journal.Event{Kind: journal.AssignmentWrote, Pool: next.Pool, Cause: "first assignment", Term: next.Term, Seq: next.Seq})
	return c.loop.Call(ctx, func() { c.directory.PublishAssignment(next) })
}

// applyPermits gives the gate a permit for each server that this daemon
// dispatches to. It runs on the control goroutine.
func (c *Coordinator) applyPermits() {
	until := time.Now().Add(permitLength)
	var permits []*ownership.Permit
	for _, assignment := range c.directory.Load().Pools {
		permits = append(permits, ownership.PermitsOf(assignment, c.config.Name, until)...)
	}
	c.gate.Apply(permits)
}
