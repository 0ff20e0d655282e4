// Package fenced is a stand-in of the users' backend servers: it registers
// itself in the store, owns keys by grants with fences and times, and answers as
// the published protocol says, with faults that tests switch on. A ledger that
// all servers share notes each breach of sole ownership.
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

// Headers and calls of the published protocol.
const (
	headerID        = "Chicorylug-Attempt-Id"
	headerPatience  = "Chicorylug-Request-Deadline-Ms"
	headerSignature = "Chicorylug-Server-Signature"
	headerExpected  = "Chicorylug-Expected-Instance"
	headerNotRun    = "Chicorylug-Not-Executed"
	headerServer    = "Chicorylug-Instance-Id"
	headerLoad      = "Chicorylug-Instance-Load"
	headerKey       = "Chicorylug-Shard-Key"
	headerState     = "Chicorylug-Handover"
	callGrant       = "/-/grant"
	callRelease     = "/-/release"
	callHealth      = "/healthz"
)

// Options describe one server.
type Options struct {
	ID          string
	Service     string
	Zone        string
	Address     string // ip:port; port 0 picks one
	Slots       int
	ServiceTime time.Duration
	Keyed       bool
	Store       *platformd.Server
	Ledger      *Ledger
}

// Faults are switched on by tests. The zero value is a healthy server.
type Faults struct {
	// ResetAfterRun cuts the connection of each request that has run.
	ResetAfterRun bool
	// ShedAll refuses every request as not run.
	ShedAll bool
	// WrongAttemptID answers with the id of another request.
	WrongAttemptID bool
	// Unframed answers without length and ends the connection.
	Unframed bool
	// Unresponsive answers nothing and does nothing, while its connections stay open.
	Unresponsive bool
	// ExtraServiceTime makes each run longer.
	ExtraServiceTime time.Duration
	// CrashOnPath ends the process when a request's path contains it.
	CrashOnPath string
	// DropGrantResponses is the number of grants yet that are carried out and not answered.
	DropGrantResponses int
	// FailAll answers each request that has run with status 500.
	FailAll bool
}

// Server is one life of a backend server.
type Server struct {
	options  Options
	born     int64
	listener net.Listener
	http     *fasthttp.Server

	mu       sync.Mutex
	faults   Faults
	running  int
	held     [65536]holding
	seen     [65536]uint64 // highest fence by key
	inKeys   map[int]int   // running requests by key
	conns    map[net.Conn]fasthttp.ConnState
	runs     map[string]int
	patience []time.Duration
	ended    bool
	sequence int
}

type holding struct {
	fence uint64
	until time.Time
}

// Start starts a server and registers it.
func Start(o Options) (*Server, error) {
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "server %s: listen", o.ID)
	}
	s := &Server{
		options: o, born: time.Now().UnixMilli(), listener: listener,
		inKeys: map[int]int{}, conns: map[net.Conn]fasthttp.ConnState{}, runs: map[string]int{},
	}
	s.http = &fasthttp.Server{Handler: s.handle, ConnState: s.track, NoDefaultServerHeader: true, Logger: quiet{}}
	go func() { _ = s.http.Serve(listener) }()
	s.register("ready")
	return s, nil
}

type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

func (s *Server) register(state string) {
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"Service": s.options.Service, "Address": s.Address(), "Zone": s.options.Zone, "Version": "v1",
		"Capacity": s.options.Slots, "State": state, "WarmupLeftS": 0, "Sequence": s.sequence, "born": s.born,
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

// Register registers the server anew, as its next report does.
func (s *Server) Register() { s.register("ready") }

// Drain registers the server as draining.
func (s *Server) Drain() { s.register("draining") }

// Unregister drops the registration, as its lease does.
func (s *Server) Unregister() { s.options.Store.DeleteRow("servers", s.options.ID) }

// StopListening takes no connections any more and closes those without a request,
// as a server does at the end of its leaving. What runs goes on.
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

// Crash ends the process at once. The registration stays.
func (s *Server) Crash() {
	s.mu.Lock()
	s.ended = true
	conns := s.conns
	s.conns = map[net.Conn]fasthttp.ConnState{}
	s.mu.Unlock()
	_ = s.listener.Close()
	for conn := range conns {
		reset(conn)
	}
	s.options.Ledger.gone(s)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *Server) track(conn net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == fasthttp.StateClosed {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = state
}

// Runs returns how often a request ran here.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// TotalRuns returns the number of runs.
func (s *Server) TotalRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, runs := range s.runs {
		total += runs
	}
	return total
}

// Owns reports that the server owns a key now.
func (s *Server) Owns(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holds(key, time.Now())
}

func (s *Server) holds(key int, now time.Time) bool {
	return !s.ended && s.held[key].fence > 0 && now.Before(s.held[key].until)
}

// awaitLight blocks while the server is dark.
func (s *Server) awaitLight() {
	for s.isDark() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *Server) isDark() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Unresponsive && !s.ended
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	s.awaitLight()
	h := &ctx.Request.Header
	ctx.Response.Header.Set(headerServer, s.options.ID)
	if expected := string(h.Peek(headerExpected)); expected != "" && expected != s.options.ID {
		s.notRun(ctx, fasthttp.StatusMisdirectedRequest)
		return
	}
	switch string(ctx.Path()) {
	case callGrant:
		s.grant(ctx, arrived)
	case callRelease:
		s.release(ctx)
	case callHealth:
	default:
		s.request(ctx)
	}
}

func (s *Server) notRun(ctx *fasthttp.RequestCtx, status int) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(headerNotRun, "1")
}

func (s *Server) request(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(headerID))
	key := -1
	if number, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerKey))); err == nil {
		key = number
	}
	s.mu.Lock()
	f := s.faults
	if s.options.Keyed && (key < 0 || !s.holds(key, time.Now())) {
		s.mu.Unlock()
		s.notRun(ctx, fasthttp.StatusMisdirectedRequest)
		return
	}
	if f.ShedAll || s.running >= s.options.Slots {
		s.mu.Unlock()
		s.notRun(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	s.running++
	s.inKeys[key]++
	s.runs[id]++
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(headerPatience))); err == nil {
		s.patience = append(s.patience, time.Duration(ms)*time.Millisecond)
	}
	load := fmt.Sprintf("%d,0,%d", s.running, s.options.Slots)
	s.mu.Unlock()
	if f.CrashOnPath != "" && strings.Contains(string(ctx.Path()), f.CrashOnPath) {
		s.Crash()
		return
	}
	s.options.Ledger.ran(s, key)
	time.Sleep(s.options.ServiceTime + f.ExtraServiceTime)
	s.options.Ledger.over(s, key)
	s.mu.Lock()
	s.running--
	s.inKeys[key]--
	s.mu.Unlock()
	s.answer(ctx, f, id, load)
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, f Faults, id, load string) {
	body := fmt.Sprintf("%s %s %s %d", s.options.ID, ctx.Method(), ctx.RequestURI(), len(ctx.PostBody()))
	switch {
	case f.ResetAfterRun:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) { reset(conn) })
		return
	case f.Unframed:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\n\r\n%s", headerID, id, headerSignature, body)
		})
		return
	case f.WrongAttemptID:
		id = "another"
	case f.FailAll:
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	ctx.Response.Header.Set(headerID, id)
	ctx.Response.Header.Set(headerSignature, "signed."+s.options.ID)
	ctx.Response.Header.Set(headerLoad, load)
	ctx.SetBodyString(body)
}

type keyCall struct {
	From, To int
	Fence    uint64  `json:"fence"`
	HoldS    float64 `json:"HoldS"`
	Handover string  `json:"Handover"`
}

// grant takes a grant. Its time counts from the arrival of the call.
func (s *Server) grant(ctx *fasthttp.RequestCtx, arrived time.Time) {
	var g keyCall
	if json.Unmarshal(ctx.PostBody(), &g) != nil || g.From < 0 || g.To > 65535 || g.From > g.To {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := g.From; key <= g.To; key++ {
		if s.seen[key] > g.Fence {
			ctx.SetStatusCode(fasthttp.StatusConflict)
			return
		}
	}
	until := arrived.Add(time.Duration(g.HoldS * float64(time.Second)))
	if time.Now().After(until) {
		return // it has run out on its way
	}
	for key := g.From; key <= g.To; key++ {
		s.seen[key] = g.Fence
		s.held[key] = holding{fence: g.Fence, until: until}
	}
	s.options.Ledger.granted(s, g.From, g.To, g.Fence, until)
	if s.faults.DropGrantResponses > 0 {
		s.faults.DropGrantResponses--
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) { reset(conn) })
	}
}

func (s *Server) release(ctx *fasthttp.RequestCtx) {
	var g keyCall
	if json.Unmarshal(ctx.PostBody(), &g) != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	held := s.held[g.From].fence > 0
	for key := g.From; key <= g.To; key++ {
		s.held[key] = holding{}
	}
	s.options.Ledger.released(s, g.From, g.To)
	s.mu.Unlock()
	// Only the release that takes the keys waits for the work on them.
	for held && s.busy(g.From, g.To) {
		time.Sleep(time.Millisecond)
	}
	ctx.Response.Header.Set(headerState, fmt.Sprintf("%s-%d-%d", s.options.ID, g.From, g.To))
}

func (s *Server) busy(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, running := range s.inKeys {
		if key >= from && key <= to && running > 0 {
			return true
		}
	}
	return false
}
