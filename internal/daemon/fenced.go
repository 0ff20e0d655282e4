package daemon

import (
	"runtime"
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/bytebudget"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/coldservers"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/gateway"
	"github.com/chicorylug/chicorylug/internal/keeper"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/linkroom"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/netx"
	internalplatform "github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/poison"
	"github.com/chicorylug/chicorylug/internal/rpc"
	"github.com/chicorylug/chicorylug/internal/slots"
	"github.com/chicorylug/chicorylug/internal/spread"
	"github.com/chicorylug/chicorylug/platform"
)

// provideFenced registers the services of a fenced daemon, whose backend servers
// check themselves, by fences, whether they own a key.
func (d *Daemon) provideFenced() error {
	debug.SetMemoryLimit(d.config.Fenced.RuntimeBytes())
	room := linkroom.New(d.config.Fenced.LinkBytesPerSecond())
	d.network.SetLink(room)
	for _, constructor := range []any{
		func() *linkroom.Room { return room },
		catalog.New,
		rpc.NewServer,
		rpc.NewClient,
		newBudget,
		backends.New,
		poison.NewTable,
		newPushOnlyReplicator,
		slots.New,
		coldservers.NewPermits,
		func() dialect.Dialect { return &platform.Dialect{} },
		func(c *config.Config, network *netx.Network) internalplatform.RecordStore {
			return platform.NewStore(c.PlatformAddress, network.Dial)
		},
		func(f *follow.Follower) backends.FleetSize {
			return func() int { return len(f.Daemons()) }
		},
	} {
		if err := d.kernel.Provide(constructor); err != nil {
			return err
		}
	}
	for _, add := range []func() error{
		func() error { return kernel.Add[*control.Listener](d.kernel, control.NewListener) },
		func() error { return kernel.Add[*metrics.Listener](d.kernel, metrics.NewListener) },
		func() error { return kernel.Add[*follow.Follower](d.kernel, follow.New) },
		func() error { return kernel.Add[*coldservers.Watch](d.kernel, coldservers.NewWatch) },
		func() error { return kernel.Add[*gateway.Gateway](d.kernel, gateway.New) },
		func() error { return kernel.Add[*keeper.Keeper](d.kernel, keeper.New) },
	} {
		if err := add(); err != nil {
			return err
		}
	}
	return nil
}

// newBudget returns the budget of the memory that is held for callers.
func newBudget(c *config.Config) *bytebudget.Budget {
	b := bytebudget.New(c.Fenced.HeldBytes())
	b.CountGarbage(runtime.GC)
	return b
}

// shareSpeeds makes the polls between daemons carry what they know of servers' speeds.
func shareSpeeds(f *follow.Follower, b *backends.Backends) {
	b.Speeds().Share()
	f.SetSpeeds(b.Speeds())
}

// newPushOnlyReplicator returns a replicator that is not started as a service: items are
// pushed to all daemons directly, and no periodic comparison between daemons runs.
func newPushOnlyReplicator(f *follow.Follower, server *rpc.Server, client *rpc.Client, log *zap.Logger) *spread.Replicator {
	r := spread.New(server, client, log)
	r.SetPeers(f.Peers)
	return r
}
