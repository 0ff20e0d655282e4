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
	readTimeout    = 30 * time.Second // bound of reading the headers of a request
	idleTimeout    = 2 * time.Minute  // a caller's connection without a request is closed after this
	startWait      = 10 * time.Second // time after the start in which each pool's assignment is awaited
	balancerGrace  = time.Second      // time in which the balancer learns that the daemon is leaving
)

// Entry serves callers on the caller address.
type Entry struct {
	config    *config.Config
	network   *netx.Network
	directory *directory.Directory
	metrics   *metrics.Registry
	journal   *journal.Journal
	claims    *claim.Store
	log       *zap.Logger

	routes    routeTable
	links     *links
	peers     *peers
	servers   *serverLoads
	budgets   *retry.Budgets
	admission admission
	watch     *callwatch.Watcher
	ids       *idSource
	sample    atomic.Uint64

	started  time.Time
	ready    atomic.Bool
	leaving  atomic.Bool
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
		links:     newLinks(network.Dial),
		peers:     newPeers(network.Dial),
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
		ErrorHandler:                 e.refuseUnread,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
		Logger:                       quietLogger{},
	}
	e.metrics.Func("entry_in_progress", func() any { return e.admission.inProgress() })
	e.watch.Start()
	e.peers.start()
	go func() { _ = e.http.Serve(listener) }()
	return nil
}

// quietLogger drops fasthttp's own lines about callers' connections.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

// Ready implements kernel.Service. Once ready, the entry stays ready until it
// leaves: a pool that is new or has no servers must not take the others down.
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return errors.New("shutting down")
	}
	if e.ready.Load() {
		return nil
	}
	if err := e.assigned(time.Since(e.started)); err != nil {
		return err
	}
	e.ready.Store(true)
	return nil
}

// assigned returns nil when each pool has an assignment or, later after the
// start, when at least one has.
func (e *Entry) assigned(age time.Duration) error {
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

// Drain implements kernel.Drainer. For a short time callers are still accepted,
// each answer closing its connection, so that the balancer learns of it without
// losing requests. Then the requests in progress are finished.
func (e *Entry) Drain(ctx context.Context) error {
	e.leaving.Store(true)
	select {
	case <-time.After(balancerGrace):
	case <-ctx.Done():
	}
	err := e.http.ShutdownWithContext(ctx)
	if err == nil {
		return nil
	}
	cut := e.admission.total()
	e.log.Error("requests cut off", zap.String("step", "drain"), zap.Int64("requests", cut), zap.Error(err))
	return errors.Wrapf(err, "finish requests in progress: %d were cut off", cut)
}

// Stop implements kernel.Service.
func (e *Entry) Stop(ctx context.Context) error {
	err := e.http.ShutdownWithContext(ctx)
	e.watch.Stop()
	e.peers.stop()
	e.links.close()
	return errors.Wrap(err, "close the caller address")
}
