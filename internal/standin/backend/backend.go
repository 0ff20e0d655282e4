// Package backend is a small stand-in of a backend server: a number of slots,
// reported load, optional grant checks, drain, cold start, shedding, deadlines,
// freezes and crashes, with a record of every run for tests to assert on.
package backend

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// Options describe one stand-in server.
type Options struct {
	ID           model.ServerID `json:"id"`
	Pool         model.PoolName `json:"pool"`
	Zone         model.Zone     `json:"zone"`
	Address      string         `json:"address"`
	Control      string         `json:"control"`
	Slots        int            `json:"slots"`
	ServiceMS    float64        `json:"service_ms"`
	BodyBytes    int            `json:"body_bytes"`
	ChecksGrants bool           `json:"checks_grants"`
	// DiscardRuns keeps no record of finished runs, for long measurements.
	DiscardRuns bool `json:"discard_runs,omitempty"`
}

// Server is one stand-in backend server.
type Server struct {
	options Options

	mu       sync.Mutex
	thawed   *sync.Cond
	faults   Faults
	runs     []*Run
	inUse    int
	maxInUse int
	refused  int
	grants   map[model.ShardID]Grant
	conns    map[net.Conn]struct{}
	stopped  bool

	listener net.Listener
	http     *fasthttp.Server
	control  *fasthttp.Server
	ctlAddr  string
}

// Start serves requests on options.Address and, when set, test controls on options.Control.
func Start(options Options) (*Server, error) {
	s := &Server{
		options: options,
		grants:  map[model.ShardID]Grant{},
		conns:   map[net.Conn]struct{}{},
	}
	s.thawed = sync.NewCond(&s.mu)
	if options.Control != "" {
		if err := s.startControl(options.Control); err != nil {
			return nil, err
		}
	}
	return s, s.listen(options.Address)
}

func (s *Server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = listener
	s.http = &fasthttp.Server{
		Handler:            s.handle,
		ConnState:          s.trackConn,
		MaxRequestBodySize: 1 << 30,
		Concurrency:        4096,
		Logger:             noLog{},
	}
	go func() { _ = s.http.Serve(listener) }()
	return nil
}

// noLog drops what the HTTP library logs of connections that daemons abandon.
type noLog struct{}

// Printf implements fasthttp.Logger.
func (noLog) Printf(string, ...any) {}

func (s *Server) trackConn(conn net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.conns[conn] = struct{}{}
	case fasthttp.StateClosed:
		delete(s.conns, conn)
	}
}

// Address returns host:port of the request listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Pool returns the server's pool.
func (s *Server) Pool() model.PoolName { return s.options.Pool }

// ID returns the server's name.
func (s *Server) ID() model.ServerID { return s.options.ID }

// Kill closes the listener and all connections at once, as a lost process does.
func (s *Server) Kill() {
	s.mu.Lock()
	s.stopped = true
	s.thawed.Broadcast()
	s.endRuns()
	conns := s.conns
	s.conns = map[net.Conn]struct{}{}
	s.mu.Unlock()
	_ = s.listener.Close()
	for conn := range conns {
		abort(conn)
	}
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Restart serves again on the same address after Kill, with no grants.
func (s *Server) Restart() error {
	address := s.Address()
	s.mu.Lock()
	s.stopped = false
	s.faults = Faults{}
	s.grants = map[model.ShardID]Grant{}
	s.mu.Unlock()
	return s.listen(address)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !s.waitThawed() {
		ctx.SetConnectionClose()
		abort(ctx.Conn())
		return
	}
	switch string(ctx.Path()) {
	case wire.PathHealth:
		s.handleHealth(ctx)
	case wire.PathGrant:
		s.handleGrant(ctx)
	default:
		s.handleRequest(ctx)
	}
}

// waitThawed blocks while the server is frozen. It reports false when the server was killed.
func (s *Server) waitThawed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.faults.Frozen && !s.stopped {
		s.thawed.Wait()
	}
	return !s.stopped
}

func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	sick := s.faults.FailHealthChecks
	s.mu.Unlock()
	s.reportLoad(ctx)
	if sick {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

func (s *Server) reportLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.faults.ReportedLoad
	if load == "" {
		load = fmt.Sprintf("%d/%d", s.inUse, s.options.Slots)
	}
	ctx.Response.Header.Set(wire.HeaderLoad, load)
	if s.faults.Draining {
		ctx.Response.Header.Set(wire.HeaderDraining, "1")
	}
}

func (s *Server) handleRequest(ctx *fasthttp.RequestCtx) {
	run := s.newRun(ctx)
	if s.crashes(ctx) {
		s.begin(run, true)
		s.Kill()
		ctx.SetConnectionClose()
		abort(ctx.Conn())
		return
	}
	deadline := deadlineOf(ctx)
	if refusal := s.refusal(run, deadline); refusal != "" {
		s.refuse(ctx, refusal)
		return
	}
	service, began := s.begin(run, false)
	if !began {
		s.refuse(ctx, "shed: all slots in use")
		return
	}
	stopped := s.work(ctx.Conn(), service, deadline)
	s.finish(run, stopped, deadline)
	if stopped != "" {
		ctx.SetConnectionClose()
		abort(ctx.Conn())
		return
	}
	s.answer(ctx, run)
}

// begin takes a slot and records the run. It reports false when no slot is free.
func (s *Server) begin(run *Run, force bool) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !force && s.options.Slots > 0 && s.inUse >= s.options.Slots {
		return 0, false
	}
	s.inUse++
	s.maxInUse = max(s.maxInUse, s.inUse)
	run.InUse = s.inUse
	run.Start = time.Now()
	if !s.options.DiscardRuns {
		s.runs = append(s.runs, run)
	}
	return s.serviceTime(), true
}

// finish ends a run, unless Kill ended it already.
func (s *Server) finish(run *Run, stopped string, deadline time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !run.End.IsZero() {
		return
	}
	s.inUse--
	run.End = time.Now()
	run.Completed = stopped == ""
	run.Stopped = stopped
	if stopped == stoppedDeadline {
		run.End = deadline
	}
}

func (s *Server) refuse(ctx *fasthttp.RequestCtx, why string) {
	s.mu.Lock()
	s.refused++
	s.mu.Unlock()
	s.reportLoad(ctx)
	ctx.Response.Header.Set(wire.HeaderNotRun, "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(why)
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, run *Run) {
	s.reportLoad(ctx)
	body := Body(run, s.options.BodyBytes)
	ctx.Response.Header.Set(wire.HeaderBodySHA256, hexDigest(body))
	ctx.SetContentType("application/octet-stream")
	s.mu.Lock()
	cut := s.faults.CutAfterBytes
	s.mu.Unlock()
	if cut > 0 && cut < len(body) {
		s.cutAnswer(ctx, body, cut)
		return
	}
	ctx.SetBody(body)
}
