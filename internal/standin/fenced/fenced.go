// Package fenced implements a simulated backend server that follows the platform's HTTP
// protocol for exclusive key ownership. The server registers itself in the store and
// owns a range of keys while it has an unexpired grant for it. Each grant carries a
// fence, a number that rises with every change of owner, so that the server can reject
// a delayed older grant. Tests inject faults, and a Ledger that all servers share
// records every violation of exclusive ownership.
package fenced

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

// Headers and paths of the platform's HTTP protocol.
const (
	headerAttemptID        = "Chicorylug-Attempt-Id"
	headerDeadline         = "Chicorylug-Request-Deadline-Ms"
	headerSignature        = "Chicorylug-Server-Signature"
	headerExpectedInstance = "Chicorylug-Expected-Instance"
	headerNotRun           = "Chicorylug-Not-Executed"
	headerInstance         = "Chicorylug-Instance-Id"
	headerLoad             = "Chicorylug-Instance-Load"
	headerKey              = "Chicorylug-Shard-Key"
	headerHandover         = "Chicorylug-Handover"
	headerLeaving          = "Server-Leaving"
	pathGrant              = "/-/grant"
	pathRelease            = "/-/release"
	pathHealth             = "/healthz"
)

// Options configure one server.
type Options struct {
	ID          string
	Service     string
	Zone        string
	Address     string            // ip:port; port 0 picks one
	Slots       int               // requests that the server runs concurrently
	ServiceTime time.Duration     // of each request
	Keyed       bool              // the server runs a request only while it owns the request's key
	Store       *platformd.Server // in which the server registers
	Ledger      *Ledger           // shared by all servers of a test
	Reached     func(Arrival)     // called at the end of each request that reached the server; nil for none
}

// Arrival is a request that reached a server, and what the answer to it says. Grants,
// releases and health checks are none, nor are requests for another server.
type Arrival struct {
	ID       string // attempt ID
	Arrived  time.Time
	Answered time.Time
	Status   int           // zero if the server sent no proper answer
	Leaving  bool          // the answer says that the server is about to shut down
	Pause    time.Duration // Retry-After of the answer; zero if it has none
}

// Faults are the failures that a test can inject. The zero value is a healthy server.
type Faults struct {
	// ResetAfterRun resets the connection instead of answering a request that has run.
	ResetAfterRun bool
	// ShedAll rejects every request as shed and not run.
	ShedAll bool
	// SayLeaving says in each response that the server is about to shut down.
	SayLeaving bool
	// Pause, if not empty, rejects every request with this Retry-After value.
	Pause string
	// PauseAfterRun, if not empty, answers each request with status 503 and this Retry-After
	// value after it has run.
	PauseAfterRun string
	// WrongAttemptID sends the attempt id of another request in each response.
	WrongAttemptID bool
	// Unframed sends responses without a length, whose end is the end of the connection.
	Unframed bool
	// Unresponsive blocks every request, while connections stay open, until it is cleared.
	Unresponsive bool
	// ExtraServiceTime is added to the service time of each run.
	ExtraServiceTime time.Duration
	// CrashOnPath crashes the server when a request's path contains it.
	CrashOnPath string
	// DropGrantResponses is the number of further grants that take effect without an answer.
	DropGrantResponses int
	// FailAll answers each request with status 500 after it has run.
	FailAll bool
	// HangWhenFull never answers a request that finds all slots taken, nor any later one
	// on its connection, instead of shedding it.
	HangWhenFull bool
	// Flood, if set, answers each request with bytes without end of that kind, until the
	// daemon closes the connection.
	Flood FloodKind
}

// Server is one process of a simulated backend server, from its start to its end. A
// restart is a new Server.
type Server struct {
	options   Options
	startedMS int64
	listener  net.Listener
	http      *fasthttp.Server

	mu           sync.Mutex
	faults       Faults
	running      int
	grants       [65536]keyGrant // by key
	highestFence [65536]uint64   // highest accepted fence of each key
	runningByKey map[int]int     // running requests of each key
	conns        map[net.Conn]fasthttp.ConnState
	runs         map[string]int  // number of runs by attempt id
	deadlines    []time.Duration // time limits that the run requests stated
	stopped      bool
	sequence     int    // number of the last registration
	state        string // of the last registration; empty once it is removed
	arrivals     int    // requests that reached the server, whether they ran or not
}

// keyGrant is the server's grant for one key. The zero value is no grant.
type keyGrant struct {
	fence      uint64
	validUntil time.Time
}

// Start starts a server and registers it as ready. It returns an error if the listener
// cannot be opened.
func Start(o Options) (*Server, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "server %s: listen", o.ID)
	}
	s := &Server{
		options: o, startedMS: time.Now().UnixMilli(), listener: listener,
		runningByKey: map[int]int{}, conns: map[net.Conn]fasthttp.ConnState{}, runs: map[string]int{},
	}
	s.http = &fasthttp.Server{Handler: s.handle, ConnState: s.trackConn, NoDefaultServerHeader: true, Logger: discardLogger{}}
	go func() { _ = s.http.Serve(listener) }()
	s.register("ready")
	return s, nil
}

// discardLogger discards the HTTP library's log lines about connections that daemons abort.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func (s *Server) register(state string) {
	s.sequence++
	s.state = state
	body, err := json.Marshal(map[string]any{
		"Service": s.options.Service, "Address": s.Address(), "Zone": s.options.Zone, "Version": "v1",
		"Capacity": s.options.Slots, "State": state, "WarmupLeftS": 0, "Sequence": s.sequence, "born": s.startedMS,
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	s.options.Store.PutRow("servers", s.options.ID, body)
}

// Address returns ip:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ID returns the server's id.
func (s *Server) ID() string { return s.options.ID }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Register registers the server again as ready, as a server's periodic report does.
func (s *Server) Register() { s.register("ready") }

// Drain registers the server as draining.
func (s *Server) Drain() { s.register("draining") }

// Unregister removes the registration, as the store does when the registration's lease expires.
func (s *Server) Unregister() {
	s.state = ""
	s.options.Store.DeleteRow("servers", s.options.ID)
}

// RegisterAgain writes the registration again in its last state, as a server does after the
// store has returned from an older copy. A registration that was removed is removed again,
// and so is that of a crashed server, whose lease runs out.
func (s *Server) RegisterAgain() {
	s.mu.Lock()
	stopped := s.stopped
	s.mu.Unlock()
	if stopped || s.state == "" {
		s.Unregister()
		return
	}
	s.register(s.state)
}

// StopListening accepts no new connections and closes the idle ones, as a server does
// at the end of its drain. Running requests continue.
func (s *Server) StopListening() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, state := range s.conns {
		if state != fasthttp.StateActive {
			_ = conn.Close()
		}
	}
}

// Crash simulates a crash of the process: it closes the listener and resets all
// connections. The registration stays in the store.
func (s *Server) Crash() {
	s.mu.Lock()
	s.stopped = true
	conns := s.conns
	s.conns = map[net.Conn]fasthttp.ConnState{}
	s.mu.Unlock()
	_ = s.listener.Close()
	for conn := range conns {
		resetConn(conn)
	}
	s.options.Ledger.serverStopped(s)
}

// resetConn closes a TCP connection with a reset instead of a regular close.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *Server) trackConn(conn net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == fasthttp.StateClosed {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = state
}

// Runs returns how often the request with an attempt id ran on this server.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// TotalRuns returns the number of runs of all requests.
func (s *Server) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, runs := range s.runs {
		total += runs
	}
	return total
}

// Arrivals returns the number of requests that reached the server, whether they ran or
// not. Grants, releases and health checks do not count.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// Owns reports whether the server owns a key now.
func (s *Server) Owns(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownsAt(key, time.Now())
}

// ownsAt reports whether the server owns a key at a time. The caller must hold s.mu.
func (s *Server) ownsAt(key int, now time.Time) bool {
	return !s.stopped && s.grants[key].fence > 0 && now.Before(s.grants[key].validUntil)
}

// waitWhileUnresponsive blocks while the fault Unresponsive is set, unless the server crashes.
func (s *Server) waitWhileUnresponsive() {
	for s.isUnresponsive() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *Server) isUnresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Unresponsive && !s.stopped
}

func (s *Server) saysLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.SayLeaving
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	s.waitWhileUnresponsive()
	h := &ctx.Request.Header
	if s.saysLeaving() {
		ctx.Response.Header.Set(headerLeaving, "1")
	}
	ctx.Response.Header.Set(headerInstance, s.options.ID)
	if path := string(ctx.Path()); !s.options.Keyed && (path == pathGrant || path == pathRelease) {
		ctx.SetStatusCode(fasthttp.StatusBadRequest) // whichever server the call is for
		return
	}
	if expected := string(h.Peek(headerExpectedInstance)); expected != "" && expected != s.options.ID {
		s.refuse(ctx, fasthttp.StatusMisdirectedRequest)
		return
	}
	switch string(ctx.Path()) {
	case pathGrant:
		s.handleGrant(ctx, arrived)
	case pathRelease:
		s.handleRelease(ctx)
	case pathHealth:
	default:
		s.handleRequest(ctx)
		s.reportArrival(ctx, arrived)
	}
}

// reportArrival reports a request that was handled.
func (s *Server) reportArrival(ctx *fasthttp.RequestCtx, arrived time.Time) {
	if s.options.Reached == nil {
		return
	}
	a := Arrival{ID: string(ctx.Request.Header.Peek(headerAttemptID)), Arrived: arrived, Answered: time.Now()}
	if !ctx.Hijacked() {
		h := &ctx.Response.Header
		a.Status, a.Leaving = h.StatusCode(), len(h.Peek(headerLeaving)) > 0
		seconds, _ := strconv.ParseFloat(string(h.Peek(fasthttp.HeaderRetryAfter)), 64) // zero if there is none
		a.Pause = time.Duration(seconds * float64(time.Second))
	}
	s.options.Reached(a)
}

// refuse answers that the request was not run.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, status int) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(headerNotRun, "1")
}

func (s *Server) handleRequest(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(headerAttemptID))
	key := -1
	if number, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerKey))); err == nil {
		key = number
	}
	s.mu.Lock()
	s.arrivals++
	f := s.faults
	if f.Pause != "" {
		s.mu.Unlock()
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, f.Pause)
		s.refuse(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	if s.options.Keyed && (key < 0 || !s.ownsAt(key, time.Now())) {
		s.mu.Unlock()
		s.refuse(ctx, fasthttp.StatusMisdirectedRequest)
		return
	}
	full := s.running >= s.options.Slots
	if full && f.HangWhenFull {
		s.mu.Unlock()
		hang(ctx)
		return
	}
	if f.ShedAll || full {
		s.mu.Unlock()
		s.refuse(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	s.running++
	s.runningByKey[key]++
	s.runs[id]++
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerDeadline))); err == nil {
		s.deadlines = append(s.deadlines, time.Duration(ms)*time.Millisecond)
	}
	load := fmt.Sprintf("%d,0,%d", s.running, s.options.Slots)
	s.mu.Unlock()
	if f.CrashOnPath != "" && strings.Contains(string(ctx.Path()), f.CrashOnPath) {
		s.Crash()
		return
	}
	s.options.Ledger.runStarted(s, key)
	time.Sleep(s.options.ServiceTime + f.ExtraServiceTime)
	s.options.Ledger.runEnded(s, key)
	s.mu.Lock()
	s.running--
	s.runningByKey[key]--
	s.mu.Unlock()
	s.respond(ctx, f, id, load)
}

func (s *Server) respond(ctx *fasthttp.RequestCtx, f Faults, id, load string) {
	body := fmt.Sprintf("%s %s %s %d", s.options.ID, ctx.Method(), ctx.RequestURI(), len(ctx.PostBody()))
	switch {
	case f.Flood != NoFlood:
		flood(ctx, f.Flood, id)
		return
	case f.ResetAfterRun:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) { resetConn(conn) })
		return
	case f.Unframed:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\n\r\n%s", headerAttemptID, id, headerSignature, body)
		})
		return
	case f.WrongAttemptID:
		id = "another"
	case f.PauseAfterRun != "":
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, f.PauseAfterRun)
	case f.FailAll:
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	ctx.Response.Header.Set(headerAttemptID, id)
	ctx.Response.Header.Set(headerSignature, "signed."+s.options.ID)
	ctx.Response.Header.Set(headerLoad, load)
	ctx.SetBodyString(body)
}
