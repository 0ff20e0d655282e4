package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/bytebudget"
	"github.com/chicorylug/chicorylug/internal/callwatch"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/coldservers"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/connlimit"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/linkroom"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/overload"
	"github.com/chicorylug/chicorylug/internal/poison"
	"github.com/chicorylug/chicorylug/internal/slots"
)

// ServiceName is the name under which the gateway is registered in the kernel.
const ServiceName kernel.Name = "gateway"

// Limits of callers' connections, timing of shutdown and readiness.
const (
	maxHeaderBytes    = 20 * 1024           // size limit of a request's headers
	readTimeout       = 10 * time.Second    // time limit for reading a request's headers
	idleTimeout       = 60 * time.Second    // idle connections are closed after this time
	statedIdleTimeout = idleTimeout * 4 / 5 // up to which callers may reuse a connection
	writeTimeout      = 30 * time.Second    // time limit for writing an answer that is not written in pieces
	pruneInterval     = 2 * time.Second     // interval between removals of stale state
	maxOwnersWait     = 4 * time.Second     // time after the start for which readiness waits for the owners of keys
)

// Gateway serves callers' requests and the load balancer's readiness checks.
type Gateway struct {
	config   *config.Config
	network  *netx.Network
	dialect  dialect.Dialect
	catalog  *catalog.Catalog
	backends *backends.Backends
	poison   *poison.Table
	slots    *slots.Limiter
	permits  *coldservers.Permits
	overload *overload.Limiter
	link     *linkroom.Room
	watch    *callwatch.Watcher
	selector *serviceSelector
	log      *zap.Logger
	meters   meters

	memory        *bytebudget.Budget
	connections   *connlimit.Limiter
	activeCalls   atomic.Int64 // requests in progress
	roomWaiters   atomic.Int64 // of these, those that wait for a server with room
	shutdown      config.Shutdown
	started       time.Time
	ready         atomic.Bool
	draining      atomic.Bool
	drainingSince atomic.Pointer[time.Time]

	callerServer    *fasthttp.Server
	readinessServer *fasthttp.Server

	background kernel.Background
}

// New returns a gateway that is not yet started.
func New(
	c *config.Config,
	network *netx.Network,
	d dialect.Dialect,
	cat *catalog.Catalog,
	b *backends.Backends,
	p *poison.Table,
	sl *slots.Limiter,
	permits *coldservers.Permits,
	link *linkroom.Room,
	memory *bytebudget.Budget,
	registry *metrics.Registry,
	log *zap.Logger,
) *Gateway {
	publishLink(registry, link)
	g := &Gateway{
		config:      c,
		network:     network,
		dialect:     d,
		catalog:     cat,
		backends:    b,
		poison:      p,
		slots:       sl,
		permits:     permits,
		overload:    overload.New(log),
		link:        link,
		watch:       callwatch.New(),
		selector:    newServiceSelector(),
		log:         log.Named(string(ServiceName)),
		meters:      newMeters(registry),
		memory:      memory,
		connections: connlimit.New(c.Fenced.CallerConnections(connlimit.ConnectionBytes), memory),
		shutdown:    c.Fenced.Shutdown(),
	}
	network.OnExhausted(g.closeConnection)
	registerHeld(registry, memory, g.connections)
	return g
}

// Name implements kernel.Service.
func (g *Gateway) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (g *Gateway) After() []kernel.Name { return []kernel.Name{"follow"} }

// Start implements kernel.Service.
func (g *Gateway) Start(context.Context) error {
	callerListener, err := g.network.ListenTraffic(g.config.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	readinessListener, err := g.network.Listen(g.config.Fenced.ReadinessAddress)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks of the load balancer")
	}
	g.config.CallerAddress = callerListener.Addr().String()
	g.config.Fenced.ReadinessAddress = readinessListener.Addr().String()
	g.started = time.Now()
	g.callerServer = &fasthttp.Server{
		Handler:                      g.handle,
		ErrorHandler:                 g.handleReadError,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		ConnState:                    g.connections.Track,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
	g.readinessServer = &fasthttp.Server{Handler: g.serveReadiness, Logger: discardLogger{}, NoDefaultServerHeader: true}
	g.watch.Start()
	g.background.Go(g.pruneLoop)
	go g.serve(g.callerServer, g.connections.Listener(callerListener))
	go g.serve(g.readinessServer, readinessListener)
	return nil
}

func (g *Gateway) serve(server *fasthttp.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !g.draining.Load() {
		g.log.Error("server failed, address is no longer served", zap.String("address", listener.Addr().String()), zap.Error(err))
	}
}

// pruneLoop periodically removes the state of servers that are no longer known, and
// expired crash records. It watches the link, and logs a lack of memory or descriptors.
func (g *Gateway) pruneLoop(ctx context.Context) {
	var link linkWatch
	var logged pressure
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pruneInterval):
		}
		g.backends.Prune()
		g.slots.Prune(g.catalog.Load().Servers)
		g.poison.Expire(time.Now())
		g.overload.Prune(time.Now())
		link.check(g.link, g.log, time.Now())
		logged = g.logPressure(logged)
	}
}

// refusesRequests reports whether the daemon has been draining for longer than
// shutdown.Refuse and refuses new requests.
func (g *Gateway) refusesRequests() bool {
	return g.draining.Load() && time.Since(*g.drainingSince.Load()) > g.shutdown.Refuse
}

// timeLeft returns the time until the requests in progress are refused, or false if the daemon
// is not draining.
func (g *Gateway) timeLeft() (time.Duration, bool) {
	if !g.draining.Load() {
		return 0, false
	}
	return time.Until(g.drainingSince.Load().Add(g.shutdown.End)), true
}

// discardLogger drops fasthttp's log lines about callers' connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func (g *Gateway) serveReadiness(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != g.dialect.ReadinessPath() {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err := g.Ready(); err != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(err.Error())
	}
}

// Ready implements kernel.Service. Once ready, the gateway stays ready until it
// drains.
func (g *Gateway) Ready() error {
	if g.draining.Load() {
		return errors.New("shutting down")
	}
	if g.ready.Load() {
		return nil
	}
	if err := g.checkReady(time.Since(g.started)); err != nil {
		return err
	}
	g.ready.Store(true)
	g.log.Info("ready", zap.Duration("after", time.Since(g.started)))
	return nil
}

// checkReady returns nil if requests can be served: a configuration is known, and
// so are the owners of the keys of all keyed services. The owners are no longer
// required once the daemon has been up for maxOwnersWait.
func (g *Gateway) checkReady(uptime time.Duration) error {
	snapshot := g.catalog.Load()
	if snapshot.Configuration == nil {
		return errors.New("no configuration received yet")
	}
	for _, service := range snapshot.Configuration.KeyedServices() {
		if snapshot.Owners[service.Name] == nil && uptime < maxOwnersWait {
			return errors.Errorf("owners of the keys of service %s not received yet", service.Name)
		}
	}
	return nil
}

// BeginShutdown implements kernel.ShutdownObserver. The time for which requests are
// accepted is counted from here, whatever the other services wait for when they drain.
func (g *Gateway) BeginShutdown() {
	now := time.Now()
	g.drainingSince.Store(&now)
	g.draining.Store(true)
}

// Drain implements kernel.Drainer. Connections are accepted until the load balancer
// has had time to notice that the daemon is not ready; then the requests in
// progress are finished.
func (g *Gateway) Drain(ctx context.Context) error {
	noticed := g.drainingSince.Load().Add(g.shutdown.Noticed)
	select {
	case <-time.After(time.Until(noticed)):
	case <-ctx.Done():
	}
	err := g.finishCalls(ctx)
	if err == nil {
		return nil
	}
	cut := g.activeCalls.Load()
	g.log.Error("requests cut off at shutdown", zap.String("step", "drain"), zap.Int64("requests", cut), zap.Error(err))
	return errors.Wrapf(err, "finish requests in progress: %d were cut off", cut)
}

// errGraceOver is the cause with which requests in progress end at the end of the grace
// period.
var errGraceOver = errors.New("the daemon ends and can't wait longer")

// finishCalls closes the listener and waits for the requests in progress. Those that are
// still there when ctx ends are refused: each gets an answer before its connection closes.
func (g *Gateway) finishCalls(ctx context.Context) error {
	answered, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		g.log.Warn("grace period is over, refusing the requests in progress", zap.Int64("requests", g.activeCalls.Load()))
		g.watch.CancelAll(errGraceOver)
		time.AfterFunc(g.shutdown.LastAnswers, cancel)
	})
	defer stop()
	return g.callerServer.ShutdownWithContext(answered)
}

// Stop implements kernel.Service.
func (g *Gateway) Stop(ctx context.Context) error {
	err := g.callerServer.ShutdownWithContext(ctx)
	if readinessErr := g.readinessServer.ShutdownWithContext(ctx); err == nil {
		err = readinessErr
	}
	g.watch.Stop()
	g.background.Stop()
	g.backends.Close()
	return errors.Wrap(err, "close the listeners for callers and readiness checks")
}
