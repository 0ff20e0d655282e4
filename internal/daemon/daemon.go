// Package daemon assembles the services of one chicorylugd process, starts and
// stops them, and implements the program's main function. A daemon runs in one of
// two modes: fenced, for backend servers that check key ownership themselves (the
// settings have a "fenced" part), or dispatching, where the daemons control
// ownership and dispatch requests on the servers' behalf.
package daemon

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/admin"
	"github.com/chicorylug/chicorylug/internal/agent"
	"github.com/chicorylug/chicorylug/internal/assignments"
	"github.com/chicorylug/chicorylug/internal/attest"
	"github.com/chicorylug/chicorylug/internal/claim"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/control"
	"github.com/chicorylug/chicorylug/internal/coordinator"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/dispatcher"
	"github.com/chicorylug/chicorylug/internal/entry"
	"github.com/chicorylug/chicorylug/internal/inspect"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/member"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/observe"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/poison"
	"github.com/chicorylug/chicorylug/internal/rpc"
	"github.com/chicorylug/chicorylug/internal/settingstore"
	"github.com/chicorylug/chicorylug/internal/spread"
	adapter "github.com/chicorylug/chicorylug/platform"
)

// Daemon is one chicorylugd instance. Several may run in one process.
type Daemon struct {
	config  *config.Config
	network *netx.Network
	kernel  *kernel.Kernel
	loop    *control.Loop
	log     *zap.Logger
}

// New builds a daemon from its settings without starting it. A nil network
// selects the real one without injected faults.
func New(c *config.Config, network *netx.Network, log *zap.Logger) (*Daemon, error) {
	if network == nil {
		network = &netx.Network{}
	}
	log = log.With(zap.String("daemon", string(c.Name)))
	d := &Daemon{config: c, network: network, kernel: kernel.New(log), loop: control.NewLoop(), log: log}
	if err := d.provide(log); err != nil {
		return nil, err
	}
	if err := d.kernel.Build(); err != nil {
		return d, err
	}
	if c.Fenced != nil {
		return d, d.kernel.Invoke(shareSpeeds)
	}
	return d, nil
}

func (d *Daemon) provide(log *zap.Logger) error {
	for _, constructor := range []any{
		func() *config.Config { return d.config },
		func() *netx.Network { return d.network },
		func() *control.Loop { return d.loop },
		func() *zap.Logger { return log },
		metrics.New,
	} {
		if err := d.kernel.Provide(constructor); err != nil {
			return err
		}
	}
	if d.config.Fenced != nil {
		return d.provideFenced()
	}
	return d.provideDispatching()
}

// provideDispatching registers the services of a dispatching daemon, which assigns
// the keys to servers and queues and dispatches requests on their behalf.
func (d *Daemon) provideDispatching() error {
	for _, constructor := range []any{
		func() *journal.Journal { return journal.New(d.config.Name) },
		func() admin.ReadinessSource { return d.kernel.Readiness },
		directory.New,
		ownership.NewGate,
		observe.NewTable,
		poison.NewTable,
		inspect.New,
		rpc.NewServer,
		rpc.NewClient,
		assignments.New,
		newPlatform,
		claim.New,
	} {
		if err := d.kernel.Provide(constructor); err != nil {
			return err
		}
	}
	return d.addServices()
}

func (d *Daemon) addServices() error {
	for _, add := range []func() error{
		func() error { return kernel.Add[*dispatcher.Dispatcher](d.kernel, dispatcher.New) },
		func() error { return kernel.Add[*control.Listener](d.kernel, control.NewListener) },
		func() error { return kernel.Add[*spread.Replicator](d.kernel, spread.New) },
		func() error { return kernel.Add[*member.Tracker](d.kernel, member.New) },
		func() error { return kernel.Add[*settingstore.Store](d.kernel, settingstore.New) },
		func() error { return kernel.Add[*attest.Attester](d.kernel, attest.New) },
		func() error { return kernel.Add[*agent.Agent](d.kernel, agent.New) },
		func() error { return kernel.Add[*coordinator.Coordinator](d.kernel, coordinator.New) },
		func() error { return kernel.Add[*claim.Sweeper](d.kernel, claim.NewSweeper) },
		func() error { return kernel.Add[*entry.Entry](d.kernel, entry.New) },
		func() error { return kernel.Add[*admin.Admin](d.kernel, admin.New) },
	} {
		if err := add(); err != nil {
			return err
		}
	}
	return nil
}

func newPlatform(c *config.Config, network *netx.Network) platform.Platform {
	return adapter.NewStore(c.PlatformAddress, network.Dial)
}

// Start starts all services in dependency order.
func (d *Daemon) Start(ctx context.Context) error { return d.kernel.Start(ctx) }

// Config returns the settings. After Start, addresses with port 0 hold the port
// that was bound.
func (d *Daemon) Config() *config.Config { return d.config }

// Network returns the daemon's network, through which tests inject faults.
func (d *Daemon) Network() *netx.Network { return d.network }

// Invoke calls f with arguments resolved from the daemon's dependency injection
// container.
func (d *Daemon) Invoke(f any) error { return d.kernel.Invoke(f) }

// Ready returns nil when all services are ready, otherwise an error that names the
// first service that is not and why.
func (d *Daemon) Ready() error {
	for _, state := range d.kernel.Readiness() {
		if !state.Ready {
			return errors.Errorf("%s: %s", state.Service, state.Reason)
		}
	}
	return nil
}

// handOverTimeout bounds the wait until other daemons have taken over dispatching
// and coordination. A handover cannot succeed while the platform is unavailable.
const handOverTimeout = 10 * time.Second

// stopMargin is how long Stop waits for the services beyond the end of its context.
const stopMargin = 100 * time.Millisecond

// Stop shuts the daemon down gracefully: it becomes not ready, hands over its
// duties, finishes the requests in progress until ctx ends, and stops all services.
// It does not wait for a service that is still stopping after ctx has ended. The error
// tells what was aborted.
func (d *Daemon) Stop(ctx context.Context) error {
	d.kernel.BeginShutdown()
	if d.config.Fenced == nil {
		d.handOver(ctx)
	}
	err := d.kernel.Drain(ctx)
	if stopErr := d.stopServicesInTime(ctx); err == nil {
		err = stopErr
	}
	return err
}

// stopServicesInTime stops the services and returns at the latest stopMargin after the
// end of ctx.
func (d *Daemon) stopServicesInTime(ctx context.Context) error {
	stopped := make(chan error, 1)
	go func() { stopped <- d.stopServices(ctx) }()
	select {
	case err := <-stopped:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-stopped:
		return err
	case <-time.After(stopMargin):
		d.log.Error("services are still stopping, not waiting for them", zap.String("step", "stop"), zap.Error(ctx.Err()))
		return errors.Wrap(ctx.Err(), "stop services")
	}
}

// handOver transfers dispatching and coordination to other daemons. A failure is
// only logged, since the daemon shuts down regardless.
func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	err := d.kernel.Invoke(func(c *coordinator.Coordinator) error { return c.HandOver(ctx) })
	if err != nil {
		d.log.Warn("handover to other daemons failed; shutting down without it", zap.String("step", "hand over"), zap.Error(err))
	}
}

func (d *Daemon) stopServices(ctx context.Context) error {
	err := d.kernel.Stop(ctx)
	d.loop.Close()
	return err
}

// ShutdownTimeout returns the time that Stop may take under the settings.
func (d *Daemon) ShutdownTimeout() time.Duration {
	if d.config.Fenced != nil {
		return d.config.Fenced.Shutdown().End
	}
	return time.Duration(d.config.ShutdownSeconds) * time.Second
}

// Kill simulates a crash: connections are closed at once, requests in progress are
// aborted and nothing is handed over.
func (d *Daemon) Kill() {
	d.network.Kill()
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.stopServices(canceled)
}
