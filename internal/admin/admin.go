// Package admin serves the operators' HTTP API on the admin address: health,
// readiness, counters, views of the fleet, settings changes and draining of servers.
package admin

import (
	"context"
	"encoding/json"
	"expvar"
	"net"

	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/buildinfo"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/inspect"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/settingstore"
)

// ServiceName is the admin service's name in the kernel.
const ServiceName kernel.Name = "admin"

// Paths of the admin API.
const (
	PathHealth  = "/healthz"      // GET: status 200 while the process responds
	PathReady   = "/readyz"       // GET: status 503 while a service is not ready
	PathVars    = "/debug/vars"   // GET the expvar variables
	PathFaults  = "/debug/faults" // PUT the network faults to inject; only when the settings enable it
	PathStatus  = "/v1/status"    // GET this daemon's state
	PathFleet   = "/v1/fleet"     // GET the reports of all daemons
	PathPools   = "/v1/pools"     // GET the pools with their servers
	PathRoutes  = "/v1/routes"    // GET the routes in force
	PathOwners  = "/v1/owners"    // GET ?key=&pool=: the owners of a key, in one pool or in every keyed pool
	PathExplain = "/v1/explain"   // GET ?what=: what was recorded about a request (by ID) or a key
	// PathEvents serves GET ?pool=&kind=&subject=&limit=: the control decisions of all
	// daemons, or those of a pool, of a journal.Kind or about a subject such as a server.
	PathEvents   = "/v1/events"
	PathTop      = "/v1/top"              // GET the request counters of all daemons, added up
	PathDrain    = "/v1/drain"            // POST a DrainRequest
	PathSettings = "/v1/settings"         // GET ?version=: the current settings or an old version; POST a settingstore.Change
	PathCheck    = "/v1/settings/check"   // POST a settingstore.Change to validate it without making it
	PathHistory  = "/v1/settings/history" // GET the retained versions of the settings, without their texts
)

// ReadinessSource returns the readiness of each of the daemon's services.
type ReadinessSource func() []kernel.Readiness

// Admin is the service that listens on the admin address.
type Admin struct {
	config    *config.Config
	network   *netx.Network
	directory *directory.Directory
	metrics   *metrics.Registry
	store     *settingstore.Store
	inspector *inspect.Inspector
	readiness ReadinessSource
	denied    *expvar.Int // calls rejected with status 401 or 403
	log       *zap.Logger
	tokens    *Tokens // nil when none are configured
	http      *fasthttp.Server
}

// New returns an admin service that has not been started.
func New(
	c *config.Config,
	network *netx.Network,
	dir *directory.Directory,
	registry *metrics.Registry,
	store *settingstore.Store,
	inspector *inspect.Inspector,
	readiness ReadinessSource,
	log *zap.Logger,
) *Admin {
	return &Admin{
		config:    c,
		network:   network,
		directory: dir,
		metrics:   registry,
		store:     store,
		inspector: inspector,
		readiness: readiness,
		denied:    registry.Int("admin_denied"),
		log:       log.Named(string(ServiceName)),
	}
}

// Name implements kernel.Service.
func (a *Admin) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (a *Admin) After() []kernel.Name { return nil }

// Ready implements kernel.Service.
func (a *Admin) Ready() error { return nil }

// Start implements kernel.Service.
func (a *Admin) Start(context.Context) error {
	if auth := a.config.AdminAuth; auth != nil && auth.TokensFile != "" {
		tokens, err := LoadTokens(auth.TokensFile)
		if err != nil {
			return err
		}
		a.tokens = tokens
	}
	listener, err := a.network.Listen(a.config.AdminAddress)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	a.config.AdminAddress = listener.Addr().String()
	a.http = &fasthttp.Server{Handler: a.routes(), NoDefaultServerHeader: true, CloseOnShutdown: true, MaxRequestBodySize: maxBodyBytes}
	go a.serve(listener)
	return nil
}

// maxBodyBytes bounds a request body. The largest one holds a whole settings tree as
// a JSON string, for whose escapes four times the tree's size is allowed.
const maxBodyBytes = 4 * settings.MaxTreeBytes

func (a *Admin) serve(listener net.Listener) {
	var err error
	if auth := a.config.AdminAuth; auth != nil && auth.CertFile != "" {
		err = a.http.ServeTLS(listener, auth.CertFile, auth.KeyFile)
	} else {
		err = a.http.Serve(listener)
	}
	if err != nil {
		a.log.Error("admin HTTP server failed; the admin address is closed", zap.String("step", "serve"), zap.Error(err))
	}
}

// Stop implements kernel.Service.
func (a *Admin) Stop(ctx context.Context) error {
	return errors.Wrap(a.http.ShutdownWithContext(ctx), "close the admin address")
}

func (a *Admin) routes() fasthttp.RequestHandler {
	r := router.New()
	r.GET(PathHealth, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET(PathReady, a.ready)
	for path, handler := range map[string]authorizedHandler{
		PathVars:     a.vars,
		PathStatus:   a.status,
		PathFleet:    a.fleet,
		PathPools:    a.pools,
		PathRoutes:   a.routeList,
		PathOwners:   a.owners,
		PathExplain:  a.explain,
		PathEvents:   a.events,
		PathTop:      a.top,
		PathSettings: a.getSettings,
		PathHistory:  a.settingsHistory,
	} {
		r.GET(path, a.authorized(handler))
	}
	r.POST(PathSettings, a.authorized(a.changeSettings))
	r.POST(PathCheck, a.authorized(a.checkSettings))
	r.POST(PathDrain, a.authorized(a.drain))
	if a.config.TestFaults {
		r.PUT(PathFaults, a.faults)
	}
	return r.Handler
}

func (a *Admin) ready(ctx *fasthttp.RequestCtx) {
	states := a.readiness()
	for _, state := range states {
		if !state.Ready {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}
	writeJSON(ctx, states)
}

func (a *Admin) vars(ctx *fasthttp.RequestCtx, _ Principal) {
	ctx.SetContentType("application/json")
	ctx.SetBody(a.metrics.JSON())
}

// Status is the response of PathStatus: one daemon's state and its view of the fleet.
type Status struct {
	Daemon   directory.Daemon   `json:"daemon"`
	Version  string             `json:"version"`          // of the program
	Settings settings.Version   `json:"settings_version"` // in force on this daemon; 0 when none is
	Services []kernel.Readiness `json:"services"`
	Daemons  int                `json:"daemons"` // number of daemons in the fleet, as this daemon's directory has it
	Pools    []PoolStatus       `json:"pools"`
}

// PoolStatus summarizes the assignment of one pool that the daemon holds: its term and
// sequence number and how many servers and shards it has.
type PoolStatus struct {
	Pool    string `json:"pool"`
	Term    uint64 `json:"term"`
	Seq     uint64 `json:"seq"`
	Servers int    `json:"servers"`
	Shards  int    `json:"shards"`
}

func (a *Admin) status(ctx *fasthttp.RequestCtx, _ Principal) {
	snapshot := a.directory.Load()
	status := Status{
		Daemon:   snapshot.Daemons[a.config.Name],
		Version:  buildinfo.Version,
		Services: a.readiness(),
		Daemons:  len(snapshot.Daemons),
	}
	if snapshot.Settings != nil {
		status.Settings = snapshot.Settings.Version
	}
	for name, assignment := range snapshot.Pools {
		status.Pools = append(status.Pools, PoolStatus{
			Pool:    string(name),
			Term:    uint64(assignment.Term),
			Seq:     uint64(assignment.Seq),
			Servers: len(assignment.Servers),
			Shards:  len(assignment.Shards),
		})
	}
	writeJSON(ctx, status)
}

// faults injects network faults. It accepts them from loopback only.
func (a *Admin) faults(ctx *fasthttp.RequestCtx) {
	if !ctx.RemoteIP().IsLoopback() {
		ctx.SetStatusCode(fasthttp.StatusForbidden)
		return
	}
	var faults netx.Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	a.network.SetFaults(faults)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
