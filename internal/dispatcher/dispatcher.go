package dispatcher

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/observe"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/poison"
)

// ServiceName is the name of the dispatcher in the kernel.
const ServiceName kernel.Name = "dispatcher"

// maxHeaderBytes is the maximum size of the headers that an entry sends: those
// that it accepts from a caller and those that it adds.
const maxHeaderBytes = 20 * 1024

// Dispatcher accepts requests from entries on the dispatch address and forwards
// them to backend servers.
type Dispatcher struct {
	config       *config.Config
	network      *netx.Network
	gate         *ownership.Gate
	directory    *directory.Directory
	metrics      *metrics.Registry
	journal      *journal.Journal
	observations *observe.Table
	poison       *poison.Table
	log          *zap.Logger

	mu          sync.Mutex // held while the map of servers is replaced
	servers     atomic.Pointer[map[model.ServerRef]*server]
	disconnects *disconnectWatcher
	joins       *joinTracker // when servers joined their pools

	listener    net.Listener
	http        *fasthttp.Server
	activeConns activeConns
	stopWatch   context.CancelFunc
	watchDone   chan struct{} // closed when watch has returned
	// permitsChanged makes watch update the servers at once.
	permitsChanged chan struct{}
}

// New returns a dispatcher that is not yet started. It publishes the queues of the
// servers in registry under "servers".
func New(
	c *config.Config,
	network *netx.Network,
	gate *ownership.Gate,
	dir *directory.Directory,
	registry *metrics.Registry,
	j *journal.Journal,
	observations *observe.Table,
	poisonTable *poison.Table,
	log *zap.Logger,
) *Dispatcher {
	d := &Dispatcher{
		config:       c,
		network:      network,
		gate:         gate,
		directory:    dir,
		metrics:      registry,
		journal:      j,
		observations: observations,
		log:          log.Named(string(ServiceName)),
		poison:       poisonTable,
		disconnects:  newDisconnectWatcher(),
		joins:        newJoinTracker(),
		watchDone:    make(chan struct{}),

		permitsChanged: make(chan struct{}, 1),
	}
	d.servers.Store(&map[model.ServerRef]*server{})
	registry.Func("servers", d.queueStats)
	gate.OnChange(d.signalPermitsChanged)
	return d
}

// signalPermitsChanged makes watch update the servers at once. It does not block.
func (d *Dispatcher) signalPermitsChanged() {
	select {
	case d.permitsChanged <- struct{}{}:
	default:
	}
}

// queueStats returns the QueueStats of each server by its name, for operators.
func (d *Dispatcher) queueStats() any {
	stats := map[string]QueueStats{}
	for ref, s := range *d.servers.Load() {
		stats[ref.String()] = s.queue.Stats(len(s.config.Load().settings.RankIndex))
	}
	return stats
}

// Name implements kernel.Service.
func (d *Dispatcher) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (d *Dispatcher) After() []kernel.Name { return nil }

// Start implements kernel.Service.
func (d *Dispatcher) Start(context.Context) error {
	listener, err := d.network.Listen(d.config.DispatchAddress)
	if err != nil {
		return errors.Wrap(err, "listen on the dispatch address")
	}
	d.listener = listener
	d.config.DispatchAddress = listener.Addr().String()
	d.http = &fasthttp.Server{
		Handler:           d.handle,
		ReadBufferSize:    maxHeaderBytes,
		ConnState:         d.activeConns.setState,
		StreamRequestBody: true,
		// Multipart forms are forwarded unchanged and never parsed into files.
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
	}
	go func() { _ = d.http.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	d.stopWatch = cancel
	go d.watch(ctx)
	return nil
}

// Ready implements kernel.Service.
func (d *Dispatcher) Ready() error { return nil }

// Stop implements kernel.Service. It waits for the requests in progress until ctx ends.
func (d *Dispatcher) Stop(ctx context.Context) error {
	defer func() {
		d.stopWatch()
		<-d.watchDone
	}()
	return errors.Wrap(d.http.ShutdownWithContext(ctx), "finish requests in progress")
}

// report sends an observation of a server to the control side of the daemon.
func (d *Dispatcher) report(ref model.ServerRef, kind ownership.EvidenceKind, detail string) {
	d.observations.Report(ownership.Evidence{Server: ref, Kind: kind, At: time.Now(), Detail: detail})
}
