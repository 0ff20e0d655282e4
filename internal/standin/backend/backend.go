// Package backend implements a simulated backend server for tests and experiments.
// It has a fixed number of slots, reports its load, optionally checks grants, drains,
// starts cold, sheds load and honours deadlines. Tests can freeze and crash it, and
// assert on its record of runs. A run is one request that the server began to execute.
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

// Options configure one simulated server.
type Options struct {
	ID           model.ServerID `json:"id"`
	Pool         model.PoolName `json:"pool"`
	Zone         model.Zone     `json:"zone"`
	Address      string         `json:"address"`       // of the request listener
	Control      string         `json:"control"`       // of the test control interface; empty for none
	Slots        int            `json:"slots"`         // requests that run concurrently; 0 means no limit
	ServiceMS    float64        `json:"service_ms"`    // service time of a request, in milliseconds
	BodyBytes    int            `json:"body_bytes"`    // size of a response body
	ChecksGrants bool           `json:"checks_grants"` // refuse requests without a valid grant
	// DiscardRuns turns off the record of runs, which would grow without bound in long measurements.
	DiscardRuns bool `json:"discard_runs,omitempty"`
}

// Server is one simulated backend server.
type Server struct {
	options Options

	mu       sync.Mutex
	thawed   *sync.Cond // signaled when the faults change or the server is killed
	faults   Faults
	runs     []*Run
	inUse    int // slots in use
	maxInUse int
	refused  int // requests refused without being run
	grants   map[model.ShardID]Grant
	conns    map[net.Conn]struct{}
	stopped  bool

	listener    net.Listener
	http        *fasthttp.Server
	control     *fasthttp.Server
	controlAddr string
}

// Start serves requests on options.Address and, when it is set, the test control
// interface on options.Control. Both are host:port. It returns an error if a listener
// cannot be opened.
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
		Logger:             discardLogger{},
	}
	go func() { _ = s.http.Serve(listener) }()
	return nil
}

// discardLogger discards the HTTP library's log lines about connections that daemons abort.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

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

// ID returns the server's identifier.
func (s *Server) ID() model.ServerID { return s.options.ID }

// Kill closes the listener and resets all connections at once, as happens when the
// process of a server is killed. The control interface stays up.
func (s *Server) Kill() {
	s.mu.Lock()
	s.stopped = true
	s.thawed.Broadcast()
	s.markRunsKilled()
	conns := s.conns
	s.conns = map[net.Conn]struct{}{}
	s.mu.Unlock()
	_ = s.listener.Close()
	for conn := range conns {
		abort(conn)
	}
}

// abort closes a TCP connection with a reset instead of a regular close.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Restart serves again on the same address after Kill, without faults or grants.
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
	if !s.waitWhileFrozen() {
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

// waitWhileFrozen blocks while the server is frozen. It returns false if the server was killed.
func (s *Server) waitWhileFrozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.faults.Frozen && !s.stopped {
		s.thawed.Wait()
	}
	return !s.stopped
}

func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	unhealthy := s.faults.FailHealthChecks
	s.mu.Unlock()
	s.setLoadHeaders(ctx)
	if unhealthy {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

func (s *Server) setLoadHeaders(ctx *fasthttp.RequestCtx) {
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
	if s.matchesCrashMarker(ctx) {
		s.startRun(run, true)
		s.Kill()
		ctx.SetConnectionClose()
		abort(ctx.Conn())
		return
	}
	deadline := requestDeadline(ctx)
	if refusal := s.refusal(run, deadline); refusal != "" {
		s.refuse(ctx, refusal)
		return
	}
	service, started := s.startRun(run, false)
	if !started {
		s.refuse(ctx, "shed: all slots in use")
		return
	}
	stopped := s.simulateWork(ctx.Conn(), service, deadline)
	s.endRun(run, stopped, deadline)
	if stopped != "" {
		ctx.SetConnectionClose()
		abort(ctx.Conn())
		return
	}
	s.respond(ctx, run)
}

// startRun occupies a slot, records the run and returns its service time. It returns
// false if no slot is free, unless force is set.
func (s *Server) startRun(run *Run, force bool) (time.Duration, bool) {
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

// endRun frees the slot of a run and records its end, unless Kill already ended it.
func (s *Server) endRun(run *Run, stopped string, deadline time.Time) {
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
	s.setLoadHeaders(ctx)
	ctx.Response.Header.Set(wire.HeaderNotRun, "1")
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(why)
}

func (s *Server) respond(ctx *fasthttp.RequestCtx, run *Run) {
	s.setLoadHeaders(ctx)
	body := Body(run, s.options.BodyBytes)
	ctx.Response.Header.Set(wire.HeaderBodySHA256, hexDigest(body))
	ctx.SetContentType("application/octet-stream")
	s.mu.Lock()
	cut := s.faults.CutAfterBytes
	s.mu.Unlock()
	if cut > 0 && cut < len(body) {
		s.sendTruncated(ctx, body, cut)
		return
	}
	ctx.SetBody(body)
}
