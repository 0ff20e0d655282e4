// Package fenced implements a simulated backend server that follows the platform's HTTP
// protocol for exclusive key ownership. The server registers itself in the store and
// owns a range of keys while it has an unexpired grant for it. Each grant carries a
// fence, a number that rises with every change of owner, so that the server can reject
// a delayed older grant. Tests inject faults, and a Ledger that all servers share
// records every violation of exclusive ownership.
package fenced

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

// Options configure one server.
type Options struct {
	ID          string
	Service     string
	Zone        string
	Address     string            // ip:port; port 0 picks one
	Slots       int               // requests that the server runs concurrently
	ServiceTime time.Duration     // of each request
	AnswerBytes int               // size of the body of each answer; 0 for a short text that names the request
	Keyed       bool              // the server runs a request only while it owns the request's key
	Store       *platformd.Server // in which the server registers
	Ledger      *Ledger           // shared by all servers of a test
	Reached     func(Arrival)     // called at the end of each request that reached the server; nil for none
	// ColdBound is the number of requests that the server may get within a second while it
	// is cold; zero if there is no bound.
	ColdBound int
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
	cold         coldState
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
	s := newServer(o, listener)
	s.http = &fasthttp.Server{
		Handler: s.handle, ConnState: s.trackConn, MaxRequestBodySize: maxBodyBytes,
		NoDefaultServerHeader: true, Logger: discardLogger{},
	}
	go func() { _ = s.http.Serve(&lateCopyListener{Listener: listener, server: s}) }()
	s.register("ready")
	return s, nil
}

// newServer returns a server that does not serve and is not registered yet.
func newServer(o Options, listener net.Listener) *Server {
	return &Server{
		options: o, startedMS: time.Now().UnixMilli(), listener: listener,
		runningByKey: map[int]int{}, conns: map[net.Conn]fasthttp.ConnState{}, runs: map[string]int{},
	}
}

// maxBodyBytes is the size limit of a request's body.
const maxBodyBytes = 64 << 20

// discardLogger discards the HTTP library's log lines about connections that daemons abort.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Address returns ip:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ID returns the server's id.
func (s *Server) ID() string { return s.options.ID }

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
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
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
