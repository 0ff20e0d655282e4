// Package platformd implements a simulated platform for tests and experiments: an
// in-memory store of rows and objects that is served over the platform's HTTP protocol, with
// faults that tests inject. The store can also return to an older copy of itself. The instance list, which names the registered backend
// servers and daemons, is kept as rows of the store, as it is on the platform.
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

// Paths of the test control interface, which is not part of the platform's protocol.
const (
	PathFaults   = "/standin/faults"   // PUT a Faults
	PathRegister = "/standin/register" // POST an Instance; a state of "gone" removes it
	PathCounts   = "/standin/counts"   // GET a Counts
	PathRestore  = "/standin/restore"  // POST a Restoration
)

// StateGone is the state with which Register removes an instance from the list.
const StateGone platform.InstanceState = "gone"

// Faults are the failures that a test can inject. The zero value is a healthy platform.
type Faults struct {
	// Down refuses every call of the row and object store, except those about the instance list.
	Down bool `json:"down"`
	// DelayMS delays every call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// DropWriteResponses is the number of further transactions after which the connection
	// is closed without an answer although they took effect.
	DropWriteResponses int `json:"lose_answers"`
	// DropWriteResponsesPrefix limits DropWriteResponses to transactions that set a row with
	// this key prefix. Only the last row that a transaction sets is compared.
	DropWriteResponsesPrefix string `json:"lose_answers_prefix,omitempty"`
	// ListLagMS delays changes of the instance list that Register makes, in milliseconds.
	ListLagMS int `json:"list_lag_ms"`
	// ListDown refuses reads of the instance list.
	ListDown bool `json:"list_down"`
	// HistoryGone answers each wait for changes that the history is no longer kept (status 410).
	HistoryGone bool `json:"history_gone,omitempty"`
}

// Counts are the numbers of operations served since the start. Reads leaves out reads of
// the instance list; ListReads counts reads of its server table.
type Counts struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	ListReads int64 `json:"list_reads"`
	Conflicts int64 `json:"conflicts"`
}

// Server is the simulated platform.
type Server struct {
	mu            sync.Mutex
	era           uint64 // 1, plus the number of restores
	store         rowStore
	objects       map[string][]byte
	objectWrites  []objectWrite           // within maxCopyAge, oldest first
	pending       []listChange            // changes of the instance list that are not visible yet
	registrations map[string]registration // newest of each instance, by its ID
	faults        Faults

	reads, writes, listReads, conflicts atomic.Int64

	listener net.Listener
	http     *fasthttp.Server
}

// listChange is a change of the instance list that becomes visible at a later time.
type listChange struct {
	at       time.Time
	instance platform.Instance
}

// Start serves the platform's protocol on address (host:port; port 0 picks a free port).
// It returns an error if the listener cannot be opened.
func Start(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		era: 1, store: newRowStore(), objects: map[string][]byte{},
		registrations: map[string]registration{}, listener: listener,
	}
	s.http = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: 64 * 1024 * 1024, Logger: discardLogger{}}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// discardLogger discards the HTTP library's log lines about connections that daemons abort.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Address returns host:port of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener, then closes each connection once it is idle.
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

// Register adds or changes an instance, or removes it if its state is StateGone. The
// instance list shows the change after Faults.ListLagMS.
func (s *Server) Register(instance platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(time.Duration(s.faults.ListLagMS) * time.Millisecond)
	s.registrations[instance.ID] = registration{at: at, instance: instance}
	if s.faults.ListLagMS == 0 {
		s.writeInstance(instance)
		return
	}
	s.pending = append(s.pending, listChange{at: at, instance: instance})
}

// writeInstance writes or removes the row of an instance. The caller must hold s.mu.
func (s *Server) writeInstance(instance platform.Instance) {
	row := instanceRow(instance)
	row.Tombstone = instance.State == StateGone
	s.store.write(row)
}

// applyPending applies the changes of the instance list that are due. The caller must hold s.mu.
func (s *Server) applyPending(now time.Time) {
	var later []listChange
	for _, change := range s.pending {
		if change.at.After(now) {
			later = append(later, change)
			continue
		}
		s.writeInstance(change.instance)
	}
	s.pending = later
}

// PutRow writes a row unconditionally, as operators and backend servers do.
func (s *Server) PutRow(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.write(Row{Table: table, Key: key, Value: value})
}

// Value returns the value of a row and whether the row exists.
func (s *Server) Value(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.store.rows[rowName{table: table, key: key}]
	return row.Value, ok
}

// DeleteRow removes a row unconditionally, as the platform does when the row's lease expires.
func (s *Server) DeleteRow(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.write(Row{Table: table, Key: key, Tombstone: true})
}

// Counts returns the numbers of operations served since the start.
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
	s.mu.Lock()
	s.setEra(ctx)
	s.mu.Unlock()
	if faults.refusesTable(string(ctx.QueryArgs().Peek("Table"))) {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	switch {
	case path == pathTransact:
		s.transact(ctx)
	case path == pathRead:
		s.readRows(ctx)
	case path == pathChanges:
		s.waitChanges(ctx, faults)
	case strings.HasPrefix(path, pathPutObject):
		s.putObject(ctx, strings.TrimPrefix(path, pathPutObject))
	case strings.HasPrefix(path, pathGetObject):
		s.getObject(ctx, strings.TrimPrefix(path, pathGetObject))
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
}

// refusesTable reports whether calls about a table are refused. ListDown applies to the
// tables of the instance list, Down to all others.
func (f Faults) refusesTable(table string) bool {
	if isInstanceTable(table) {
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
	case PathRestore:
		var r Restoration
		if !decode(ctx, &r) {
			return
		}
		s.Restore(time.Duration(r.AgeMS) * time.Millisecond)
	case PathCounts:
		writeJSON(ctx, s.Counts())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func decode(ctx *fasthttp.RequestCtx, out any) bool {
	if err := json.Unmarshal(ctx.PostBody(), out); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err)
		return false
	}
	return true
}

// fail answers with an error. It keeps the headers that are set, unlike ctx.Error.
func fail(ctx *fasthttp.RequestCtx, status int, err error) {
	ctx.SetStatusCode(status)
	ctx.SetBodyString(err.Error())
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
