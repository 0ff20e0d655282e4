// Package backend is a small stand-in of a backend server: a number of slots,
// reported load, optional grant checks, drain, cold start, shedding, deadlines,
// freezes and crashes, with a record of every run for tests to assert on.
package backend

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
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

// Faults are switched on by tests. The zero value is a healthy server.
type Faults struct {
	// Frozen holds every request, health checks included, until it is cleared.
	Frozen bool `json:"frozen"`
	// Draining announces that the server is leaving.
	Draining bool `json:"draining"`
	// ShedAll answers every request as shed and not run.
	ShedAll bool `json:"shed_all"`
	// ReportedLoad replaces the true load report when not empty ("in-use/slots").
	ReportedLoad string `json:"reported_load"`
	// SickHealth fails health checks although requests are served.
	SickHealth bool `json:"sick_health"`
	// CrashMarker stops the server when a path, key or body contains it.
	CrashMarker string `json:"crash_marker"`
	// IgnoreDeadline runs requests whose deadline has passed.
	IgnoreDeadline bool `json:"ignore_deadline"`
	// CutAfterBytes closes the connection after that many bytes of a response body.
	CutAfterBytes int `json:"cut_after_bytes"`
	// ServiceMS replaces the service time when positive.
	ServiceMS float64 `json:"service_ms"`
	// ColdMS adds to the service time of the first ColdRequests requests.
	ColdMS       float64 `json:"cold_ms"`
	ColdRequests int     `json:"cold_requests"`
}

// Run records one request that the server began to run.
type Run struct {
	Server      model.ServerID  `json:"server"`
	Pool        model.PoolName  `json:"pool"`
	RequestID   model.RequestID `json:"request_id"`
	Idempotency string          `json:"idempotency_key,omitempty"`
	Method      string          `json:"method"`
	Path        string          `json:"path"`
	Key         model.Key       `json:"key,omitempty"`
	Shard       model.ShardID   `json:"shard"`
	Term        model.Term      `json:"term"`
	Epoch       model.Epoch     `json:"epoch"`
	Rank        model.Rank      `json:"rank"`
	Dispatcher  string          `json:"dispatcher"`
	BodyBytes   int             `json:"body_bytes"`
	BodySHA256  string          `json:"body_sha256,omitempty"`
	// InUse counts the requests that ran at the start, this one included.
	InUse int       `json:"in_use"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
	// Whole says that the request ran to its end and was answered.
	Whole bool `json:"whole"`
	// Stopped says why a run ended early: "killed", "deadline" or "cancelled".
	Stopped string `json:"stopped,omitempty"`
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

// SetFaults replaces the faults and wakes frozen requests.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.thawed.Broadcast()
}

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

// endRuns marks the runs in progress as killed. It runs under the lock.
func (s *Server) endRuns() {
	now := time.Now()
	for _, run := range s.runs {
		if run.End.IsZero() {
			run.End = now
			run.Stopped = stoppedKilled
		}
	}
	s.inUse = 0
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

// Runs returns a copy of the record.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]Run, 0, len(s.runs))
	for _, run := range s.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Stats sums up the record.
type Stats struct {
	Runs        int `json:"runs"`
	InUse       int `json:"in_use"`
	MaxInUse    int `json:"max_in_use"`
	Connections int `json:"connections"`
	Refused     int `json:"refused"`
}

// Stats returns the sums.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Runs: len(s.runs), InUse: s.inUse, MaxInUse: s.maxInUse, Connections: len(s.conns), Refused: s.refused}
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
	sick := s.faults.SickHealth
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

func (s *Server) newRun(ctx *fasthttp.RequestCtx) *Run {
	header := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	number := func(name string) uint64 {
		value, _ := strconv.ParseUint(header(name), 10, 64)
		return value
	}
	shard, err := strconv.Atoi(header(wire.HeaderShard))
	if err != nil {
		shard = int(model.NoShard)
	}
	body := ctx.PostBody()
	run := &Run{
		Server:      s.options.ID,
		Pool:        s.options.Pool,
		RequestID:   model.RequestID(header(wire.HeaderRequestID)),
		Idempotency: header(wire.HeaderIdempotencyKey),
		Method:      string(ctx.Method()),
		Path:        string(ctx.Path()),
		Key:         model.Key(header(wire.HeaderKey)),
		Shard:       model.ShardID(shard),
		Term:        model.Term(number(wire.HeaderTerm)),
		Epoch:       model.Epoch(number(wire.HeaderEpoch)),
		Rank:        model.Rank(header(wire.HeaderRank)),
		Dispatcher:  header(wire.HeaderDispatcher),
		BodyBytes:   len(body),
	}
	if len(body) > 0 {
		run.BodySHA256 = hexDigest(body)
	}
	return run
}

func hexDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func (s *Server) crashes(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	marker := s.faults.CrashMarker
	s.mu.Unlock()
	if marker == "" {
		return false
	}
	return strings.Contains(string(ctx.RequestURI()), marker) || bytes.Contains(ctx.PostBody(), []byte(marker))
}

func deadlineOf(ctx *fasthttp.RequestCtx) time.Time {
	ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(wire.HeaderDeadline)), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// refusal returns why the request is not run, or "".
func (s *Server) refusal(run *Run, deadline time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.ShedAll:
		return "shed: by fault"
	case !s.faults.IgnoreDeadline && !deadline.IsZero() && time.Now().After(deadline):
		return "deadline passed"
	case s.options.ChecksGrants && !s.granted(run):
		return "grant refused"
	default:
		return ""
	}
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

// serviceTime runs under the lock.
func (s *Server) serviceTime() time.Duration {
	ms := s.options.ServiceMS
	if s.faults.ServiceMS > 0 {
		ms = s.faults.ServiceMS
	}
	if len(s.runs) <= s.faults.ColdRequests {
		ms += s.faults.ColdMS
	}
	return time.Duration(ms * float64(time.Millisecond))
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
	run.Whole = stopped == ""
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

// cutAnswer sends the header and a part of the body, then closes the connection.
func (s *Server) cutAnswer(ctx *fasthttp.RequestCtx, body []byte, cut int) {
	ctx.HijackSetNoResponse(true)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	ctx.Hijack(func(conn net.Conn) {
		_, _ = conn.Write(append([]byte(head), body[:cut]...))
		_ = conn.Close()
	})
}

// Body returns the answer to a run: its identity on the first line, then filler up to size bytes.
func Body(run *Run, size int) []byte {
	line := fmt.Sprintf("request=%s server=%s path=%s epoch=%d\n", run.RequestID, run.Server, run.Path, run.Epoch)
	if len(line) >= size {
		return []byte(line)
	}
	return append([]byte(line), bytes.Repeat([]byte("."), size-len(line))...)
}
