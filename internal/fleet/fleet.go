package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/daemon"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/settingstore"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
	adapter "github.com/chicorylug/chicorylug/platform"
)

const anyPort = "127.0.0.1:0"

// readyPollInterval is the interval at which WaitReady checks the daemons.
const readyPollInterval = 20 * time.Millisecond

// PoolServers describes the stand-in servers of one pool.
type PoolServers struct {
	Pool      model.PoolName
	Count     int
	ServiceMS float64 // time that a server takes for one request, in milliseconds
	BodyBytes int     // minimum size of the body of a response, in bytes
}

// Options configures a fleet.
type Options struct {
	// Settings is the text of the settings tree that the platform holds at the start.
	Settings []byte
	// Zones are assigned to daemons and servers in turn. At least one is required.
	Zones   []model.Zone
	Daemons int
	Servers []PoolServers
	// ZoneDelay is the one-way delay between different zones.
	ZoneDelay time.Duration
	// UnlimitedSlots lets each server run any number of requests concurrently,
	// regardless of the slots in the settings.
	UnlimitedSlots bool
	// DiscardRuns switches off the servers' record of the requests that they ran.
	DiscardRuns bool
	Log         *zap.Logger
}

// Fleet is a running platform with its servers and daemons.
type Fleet struct {
	Platform *platformd.Server
	Servers  []*backend.Server
	Nodes    []*Node

	options      Options
	addressZones zoneMap
}

// Node is the place of one daemon in a fleet. Its name and zone stay the same when the
// daemon is restarted.
type Node struct {
	Daemon  *daemon.Daemon
	Zone    model.Zone
	name    model.DaemonID
	running bool
}

// Start starts the platform, the servers and the daemons. It does not wait for
// readiness. When an error comes with a non-nil Fleet, the caller must still close it.
func Start(o Options) (*Fleet, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	f := &Fleet{options: o}
	p, err := platformd.Start(anyPort)
	if err != nil {
		return nil, errors.Wrap(err, "start platform")
	}
	f.Platform = p
	if err := settingstore.Seed(context.Background(), adapter.NewStore(p.Address(), nil), o.Settings); err != nil {
		return f, err
	}
	if err := f.startServers(); err != nil {
		return f, err
	}
	for range o.Daemons {
		if _, err := f.AddDaemon(); err != nil {
			return f, err
		}
	}
	return f, nil
}

func (f *Fleet) startServers() error {
	tree, err := settings.Parse(f.options.Settings)
	if err != nil {
		return err
	}
	compiled, err := settings.Compile(tree, 1)
	if err != nil {
		return err
	}
	for _, wanted := range f.options.Servers {
		pool, ok := compiled.Pools[wanted.Pool]
		if !ok {
			return errors.Errorf("no pool %s in the settings", wanted.Pool)
		}
		for number := 1; number <= wanted.Count; number++ {
			if err := f.startServer(wanted, pool, number); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startServer(wanted PoolServers, pool *settings.Pool, number int) error {
	zone := f.zone(number - 1)
	slots := pool.Slots
	if f.options.UnlimitedSlots {
		slots = 0
	}
	server, err := backend.Start(backend.Options{
		ID:           model.ServerID(fmt.Sprintf("%s-%d", wanted.Pool, number)),
		Pool:         wanted.Pool,
		Zone:         zone,
		Address:      anyPort,
		Slots:        slots,
		ServiceMS:    wanted.ServiceMS,
		BodyBytes:    wanted.BodyBytes,
		ChecksGrants: pool.ChecksGrants,
		DiscardRuns:  f.options.DiscardRuns,
	})
	if err != nil {
		return errors.Wrap(err, "start server")
	}
	f.Servers = append(f.Servers, server)
	f.addressZones.set(server.Address(), zone)
	f.Platform.Register(platform.Instance{
		ID:      string(server.ID()),
		Kind:    platform.KindServer,
		Pool:    wanted.Pool,
		Zone:    zone,
		State:   platform.StateLive,
		Address: server.Address(),
	})
	return nil
}

func (f *Fleet) zone(index int) model.Zone {
	return f.options.Zones[index%len(f.options.Zones)]
}

// AddDaemon starts one more daemon and registers it with the platform.
func (f *Fleet) AddDaemon() (*Node, error) {
	index := len(f.Nodes)
	node := &Node{name: model.DaemonID(fmt.Sprintf("d%d", index+1)), Zone: f.zone(index)}
	f.Nodes = append(f.Nodes, node)
	return node, f.StartDaemon(node)
}

// StartDaemon starts a new daemon for a node, on new ports, and registers it with the
// platform.
func (f *Fleet) StartDaemon(node *Node) error {
	c := &config.Config{
		Name:            node.name,
		Zone:            node.Zone,
		CallerAddress:   anyPort,
		AdminAddress:    anyPort,
		DispatchAddress: anyPort,
		ControlAddress:  anyPort,
		PlatformAddress: f.Platform.Address(),
		ShutdownSeconds: config.DefaultShutdownSeconds,
	}
	d, err := daemon.New(c, f.networkFor(node.Zone), f.options.Log)
	if err != nil {
		return err
	}
	node.Daemon = d
	if err := d.Start(context.Background()); err != nil {
		return err
	}
	node.running = true
	f.addressZones.set(c.ControlAddress, node.Zone)
	f.addressZones.set(c.DispatchAddress, node.Zone)
	f.register(node, platform.StateLive)
	return nil
}

func (f *Fleet) networkFor(zone model.Zone) *netx.Network {
	if f.options.ZoneDelay == 0 {
		return &netx.Network{}
	}
	return &netx.Network{Delay: func(address string) time.Duration {
		if other, ok := f.addressZones.get(address); ok && other != zone {
			return f.options.ZoneDelay
		}
		return 0
	}}
}

func (f *Fleet) register(node *Node, state platform.InstanceState) {
	f.Platform.Register(platform.Instance{
		ID:      string(node.name),
		Kind:    platform.KindDaemon,
		Zone:    node.Zone,
		State:   state,
		Address: node.Daemon.Config().ControlAddress,
	})
}

// KillDaemon simulates a crash of a daemon. The platform still lists it as live.
func (f *Fleet) KillDaemon(node *Node) {
	node.running = false
	node.Daemon.Kill()
}

// StopDaemon registers a daemon as leaving, stops it gracefully and deregisters it.
func (f *Fleet) StopDaemon(ctx context.Context, node *Node) error {
	f.register(node, platform.StateLeaving)
	err := node.Daemon.Stop(ctx)
	node.running = false
	f.register(node, platformd.StateGone)
	return err
}

// WaitReady waits until all running daemons are ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		err := f.ready()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "fleet is not ready")
		case <-time.After(readyPollInterval):
		}
	}
}

func (f *Fleet) ready() error {
	for _, node := range f.Nodes {
		if !node.running {
			continue
		}
		if err := node.Daemon.Ready(); err != nil {
			return errors.Wrap(err, string(node.name))
		}
	}
	return nil
}

// CallerAddress returns the address (ip:port) at which the node's daemon accepts
// callers' requests.
func (n *Node) CallerAddress() string { return n.Daemon.Config().CallerAddress }

// Name returns the name of the node's daemon.
func (n *Node) Name() model.DaemonID { return n.name }

// Close kills all daemons and servers and stops the platform.
func (f *Fleet) Close() {
	for _, node := range f.Nodes {
		if node.running {
			f.KillDaemon(node)
		}
	}
	for _, server := range f.Servers {
		server.Kill()
	}
	f.Platform.Stop()
}
