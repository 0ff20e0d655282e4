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

// ServiceName is the dispatcher's name in the kernel.
const ServiceName kernel.Name = "dispatcher"

// maxHeaderBytes bounds the headers of an entry's request: those that an entry
// accepts and its own.
const maxHeaderBytes = 20 * 1024

// Dispatcher serves entries on the dispatch address.
type Dispatcher struct {
	config    *config.Config
	network   *netx.Network
	gate      *ownership.Gate
	directory *directory.Directory
	metrics   *metrics.Registry
	journal   *journal.Journal
	board     *observe.Board
	poison    *poison.Table
	log       *zap.Logger

	mu        sync.Mutex // held while servers are replaced
	servers   atomic.Pointer[map[model.ServerRef]*server]
	callers   *callers
	newcomers *newcomers

	listener  net.Listener
	http      *fasthttp.Server
	busy      busyConns
	stopWatch context.CancelFunc
	watchDone chan struct{}
	// permitsChanged wakes the watch.
	permitsChanged chan struct{}
}

// New returns a dispatcher that is not yet started.
func New(
	c *config.Config,
	network *netx.Network,
	gate *ownership.Gate,
	dir *directory.Directory,
	registry *metrics.Registry,
	j *journal.Journal,
	board *observe.Board,
	suspects *poison.Table,
	log *zap.Logger,
) *Dispatcher {
	d := &Dispatcher{
		config:    c,
		network:   network,
		gate:      gate,
		directory: dir,
		metrics:   registry,
		journal:   j,
		board:     board,
		log:       log.Named(string(ServiceName)),
		poison:    suspects,
		callers:   newCallers(),
		newcomers: newNewcomers(),
		watchDone: make(chan struct{}),

		permitsChanged: make(chan struct{}, 1),
	}
	d.servers.Store(&map[model.ServerRef]*server{})
	registry.Func("servers", d.loads)
	gate.OnChange(d.wake)
	return d
}

// wake lets the watch look at once.
func (d *Dispatcher) wake() {
	select {
	case d.permitsChanged <- struct{}{}:
	default:
	}
}

// loads returns the slots and queues of the permitted servers, for operators.
func (d *Dispatcher) loads() any {
	loads := map[string]Load{}
	for ref, s := range *d.servers.Load() {
		loads[ref.String()] = s.queue.Load(len(s.config.Load().settings.RankIndex))
	}
	return loads
}

// Name implements kernel.Service.
func (d *Dispatcher) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (d *Dispatcher) After() []kernel.Name { return nil }

// Start implements kernel.Service.
func (d *Dispatcher) Start(context.Context) error {
	listener, err := d.network.Listen(d.config.DispatchAddress)
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	d.listener = listener
	d.config.DispatchAddress = listener.Addr().String()
	d.http = &fasthttp.Server{
		Handler:           d.handle,
		ReadBufferSize:    maxHeaderBytes,
		ConnState:         d.busy.change,
		StreamRequestBody: true,
		// Forms are passed on as they are, never unpacked to files.
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

// Stop implements kernel.Service. It waits for the requests in progress.
func (d *Dispatcher) Stop(ctx context.Context) error {
	defer func() {
		d.stopWatch()
		<-d.watchDone
	}()
	return errors.Wrap(d.http.ShutdownWithContext(ctx), "finish requests in progress")
}

// report passes evidence of a server to control.
func (d *Dispatcher) report(ref model.ServerRef, kind ownership.EvidenceKind, detail string) {
	d.board.Report(ownership.Evidence{Server: ref, Kind: kind, At: time.Now(), Detail: detail})
}
