package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/callwatch"
	"github.com/chicorylug/chicorylug/internal/claim"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/retry"
)

// ServiceName is the entry's name in the kernel.
const ServiceName kernel.Name = "entry"

const (
	maxHeaderBytes = 16 * 1024        // headers of a caller's request
	readTimeout    = 30 * time.Second // limit for reading the headers of a request
	idleTimeout    = 2 * time.Minute  // a caller's connection is closed after this time without a request
	startWait      = 10 * time.Second // after this time one assigned pool is enough to be ready, see checkAssignments
	balancerGrace  = time.Second      // time for the load balancer to take the draining daemon out of rotation
)

// Entry is the HTTP server for callers. It listens on the caller address of the
// configuration.
type Entry struct {
	config    *config.Config
	network   *netx.Network
	directory *directory.Directory
	metrics   *metrics.Registry
	journal   *journal.Journal
	claims    *claim.Store
	log       *zap.Logger

	routes       routeTable
	connPools    *connPools
	monitors     *dispatcherMonitors
	servers      *serverLoads // requests of this entry at each server
	budgets      *retry.Budgets
	admission    admission
	watch        *callwatch.Watcher // cancels calls at their deadline or when the caller disconnects
	ids          *idSource
	requestCount atomic.Uint64 // requests received; selects those in the trace sample

	started  time.Time
	ready    atomic.Bool // Ready has returned nil once
	draining atomic.Bool // Drain was called
	listener net.Listener
	http     *fasthttp.Server
}

// New returns an entry that is not yet started.
func New(
	c *config.Config,
	network *netx.Network,
	dir *directory.Directory,
	registry *metrics.Registry,
	j *journal.Journal,
	claims *claim.Store,
	log *zap.Logger,
) *Entry {
	return &Entry{
		config:    c,
		network:   network,
		directory: dir,
		metrics:   registry,
		journal:   j,
		claims:    claims,
		log:       log.Named(string(ServiceName)),
		connPools: newConnPools(network.Dial),
		monitors:  newDispatcherMonitors(network.Dial),
		servers:   newServerLoads(),
		budgets:   retry.NewBudgets(),
		watch:     callwatch.New(),
		ids:       newIDSource(),
	}
}

// Name implements kernel.Service.
func (e *Entry) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (e *Entry) After() []kernel.Name { return []kernel.Name{"dispatcher", "coordinator"} }

// Start implements kernel.Service.
func (e *Entry) Start(context.Context) error {
	listener, err := e.network.Listen(e.config.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	e.listener = listener
	e.started = time.Now()
	e.config.CallerAddress = listener.Addr().String()
	e.http = &fasthttp.Server{
		Handler:                      e.handle,
		ErrorHandler:                 e.refuseUnreadable,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
	e.metrics.Func("entry_in_progress", func() any { return e.admission.inProgress() })
	e.watch.Start()
	e.monitors.start()
	go func() { _ = e.http.Serve(listener) }()
	return nil
}

// discardLogger discards fasthttp's log lines about callers' connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Ready implements kernel.Service. Once ready, the entry stays ready until it
// drains, so that a new pool or a pool without servers does not take the daemon
// out of service for the other pools.
func (e *Entry) Ready() error {
	if e.draining.Load() {
		return errors.New("shutting down")
	}
	if e.ready.Load() {
		return nil
	}
	if err := e.checkAssignments(time.Since(e.started)); err != nil {
		return err
	}
	e.ready.Store(true)
	return nil
}

// checkAssignments returns nil when every pool has an assignment or, once the
// entry has been started for startWait, when at least one pool has.
func (e *Entry) checkAssignments(age time.Duration) error {
	snapshot := e.directory.Load()
	if snapshot.Settings == nil {
		return errors.New("no settings in force")
	}
	for name := range snapshot.Settings.Pools {
		if snapshot.Pools[name] == nil && (age < startWait || len(snapshot.Pools) == 0) {
			return errors.Errorf("pool %s has no assignment yet", name)
		}
	}
	return nil
}

// Drain implements kernel.Drainer. For balancerGrace the entry still accepts
// requests and closes each connection after the response, so that the load
// balancer stops using the daemon without failed requests. Then it finishes the
// requests in progress. It returns an error with the number of requests that were
// still in progress when ctx ended.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	select {
	case <-time.After(balancerGrace):
	case <-ctx.Done():
	}
	err := e.http.ShutdownWithContext(ctx)
	if err == nil {
		return nil
	}
	cut := e.admission.total()
	e.log.Error("drain did not finish: requests in progress were cut off", zap.String("step", "drain"), zap.Int64("requests", cut), zap.Error(err))
	return errors.Wrapf(err, "finish requests in progress: %d were cut off", cut)
}

// Stop implements kernel.Service.
func (e *Entry) Stop(ctx context.Context) error {
	err := e.http.ShutdownWithContext(ctx)
	e.watch.Stop()
	e.monitors.stop()
	e.connPools.close()
	return errors.Wrap(err, "shut down the HTTP server for callers")
}
