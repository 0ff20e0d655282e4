// Package platformd is a small stand-in of the users' platform: its store of
// rows and objects over the published protocol, kept in memory, with faults that
// tests switch on. Registered instances stand in the store as they do on the
// platform.
package platformd

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// Control paths, outside the platform's protocol, for tests.
const (
	PathFaults   = "/standin/faults"   // PUT a Faults
	PathRegister = "/standin/register" // POST an Instance; a state of "gone" removes it
	PathCounts   = "/standin/counts"   // GET a Counts
)

// StateGone removes an instance from the list.
const StateGone platform.InstanceState = "gone"

// Faults are switched on by tests. The zero value is a healthy platform.
type Faults struct {
	// Down refuses every call of the table and the object store.
	Down bool `json:"down"`
	// DelayMS delays every call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// DropWriteResponses answers that many writes with a timeout after they took effect.
	DropWriteResponses int `json:"lose_answers"`
	// DropWriteResponsesPrefix limits LoseAnswers to rows with this key prefix.
	DropWriteResponsesPrefix string `json:"lose_answers_prefix,omitempty"`
	// ListLagMS delays changes of the instance list, in milliseconds.
	ListLagMS int `json:"list_lag_ms"`
	// ListDown refuses reads of the instance list.
	ListDown bool `json:"list_down"`
	// HistoryGone answers each wait for changes that the history is gone.
	HistoryGone bool `json:"history_gone,omitempty"`
}

// Counts are the operations served since the start.
type Counts struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	ListReads int64 `json:"list_reads"`
	Conflicts int64 `json:"conflicts"`
}

// Server is the stand-in platform.
type Server struct {
	mu      sync.Mutex
	store   rowStore
	objects map[string][]byte
	pending []listChange
	faults  Faults

	reads, writes, listReads, conflicts atomic.Int64

	listener net.Listener
	http     *fasthttp.Server
}

// listChange is a change of the instance list that is not yet seen.
type listChange struct {
	at       time.Time
	instance platform.Instance
}

// Start serves the platform's protocol on address (host:port; port 0 picks one).
func Start(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{store: newRowStore(), objects: map[string][]byte{}, listener: listener}
	s.http = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: 64 * 1024 * 1024, Logger: quiet{}}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// quiet drops what the HTTP library logs of connections that daemons abandon.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Address returns host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and, once idle, the connections.
func (s *Server) Stop() {
	_ = s.listener.Close()
	_ = s.http.Shutdown()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Register adds, changes or (with StateGone) removes an instance. The list
// shows it after the configured lag.
func (s *Server) Register(instance platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := time.Duration(s.faults.ListLagMS) * time.Millisecond
	if lag == 0 {
		s.list(instance)
		return
	}
	s.pending = append(s.pending, listChange{at: time.Now().Add(lag), instance: instance})
}

// list writes an instance as the platform keeps it. It runs under the lock.
func (s *Server) list(instance platform.Instance) {
	row := rowOf(instance)
	row.Tombstone = instance.State == StateGone
	s.store.write(row)
}

// applyPending shows the changes of the instance list that are due. It runs under the lock.
func (s *Server) applyPending(now time.Time) {
	var later []listChange
	for _, change := range s.pending {
		if change.at.After(now) {
			later = append(later, change)
			continue
		}
		s.list(change.instance)
	}
	s.pending = later
}

// PutRow writes a row without a condition, as the operator and the servers do.
func (s *Server) PutRow(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.write(Row{Table: table, Key: key, Value: value})
}

// Value returns the value of a row.
func (s *Server) Value(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.store.rows[rowName{table: table, key: key}]
	return row.Value, ok
}

// DeleteRow removes a row, as an end of a lease does.
func (s *Server) DeleteRow(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.write(Row{Table: table, Key: key, Tombstone: true})
}

// Counts returns the operations served since the start.
func (s *Server) Counts() Counts {
	return Counts{
		Reads:     s.reads.Load(),
		Writes:    s.writes.Load(),
		ListReads: s.listReads.Load(),
		Conflicts: s.conflicts.Load(),
	}
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/standin/") {
		s.handleControl(ctx, path)
		return
	}
	faults := s.currentFaults()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.refuses(string(ctx.QueryArgs().Peek("Table"))) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	switch {
	case path == callTransact:
		s.transact(ctx)
	case path == callRead:
		s.readRows(ctx)
	case path == callChanges:
		s.waitChanges(ctx, faults)
	case strings.HasPrefix(path, callPut):
		s.putObject(ctx, strings.TrimPrefix(path, callPut))
	case strings.HasPrefix(path, callGet):
		s.getObject(ctx, strings.TrimPrefix(path, callGet))
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
}

// refuses reports that a call about a table is refused. The tables of the
// instance list have a fault of their own.
func (f Faults) refuses(table string) bool {
	if listed(table) {
		return f.ListDown
	}
	return f.Down
}

func (s *Server) handleControl(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case PathFaults:
		var f Faults
		if !decode(ctx, &f) {
			return
		}
		s.SetFaults(f)
	case PathRegister:
		var instance platform.Instance
		if !decode(ctx, &instance) {
			return
		}
		s.Register(instance)
	case PathCounts:
		writeJSON(ctx, s.Counts())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func decode(ctx *fasthttp.RequestCtx, out any) bool {
	if err := json.Unmarshal(ctx.PostBody(), out); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
