package entry

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/netx"
)

// ServiceName is the entry's name in the kernel.
const ServiceName kernel.Name = "entry"

const linksPerDispatcher = 1024 // connections to one dispatcher

// Entry serves callers on the caller address.
type Entry struct {
	config    *config.Config
	network   *netx.Network
	directory *directory.Directory
	metrics   *metrics.Registry
	journal   *journal.Journal
	log       *zap.Logger
	routes    routeTable

	mu    sync.Mutex
	links map[string]*httplink.Pool

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
	log *zap.Logger,
) *Entry {
	return &Entry{
		config:    c,
		network:   network,
		directory: dir,
		metrics:   registry,
		journal:   j,
		log:       log.Named(string(ServiceName)),
		links:     map[string]*httplink.Pool{},
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
	e.config.CallerAddress = listener.Addr().String()
	e.http = &fasthttp.Server{
		Handler:               e.handle,
		StreamRequestBody:     true,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	go func() { _ = e.http.Serve(listener) }()
	return nil
}

// Ready implements kernel.Service.
func (e *Entry) Ready() error {
	snapshot := e.directory.Load()
	if snapshot.Settings == nil {
		return errors.New("no settings in force")
	}
	for name := range snapshot.Settings.Pools {
		if snapshot.Pools[name] == nil {
			return errors.Errorf("pool %s has no assignment yet", name)
		}
	}
	return nil
}

// Stop implements kernel.Service. It waits for the requests in progress.
func (e *Entry) Stop(ctx context.Context) error {
	return errors.Wrap(e.http.ShutdownWithContext(ctx), "finish requests in progress")
}

// link returns the connections to a dispatcher.
func (e *Entry) link(address string) *httplink.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	pool, ok := e.links[address]
	if !ok {
		pool = httplink.NewPool(address, linksPerDispatcher, e.network.Dial)
		e.links[address] = pool
	}
	return pool
}
