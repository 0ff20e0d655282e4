// Package platformd is a small stand-in of the platform: table, object store
// and instance list over the HTTP protocol of package platform, kept in
// memory, with faults that tests switch on.
package platformd

import (
	"encoding/json"
	"net"
	"sort"
	"strconv"
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
	// LoseAnswers answers that many writes with a timeout after they took effect.
	LoseAnswers int `json:"lose_answers"`
	// LoseAnswersPrefix limits LoseAnswers to rows with this key prefix.
	LoseAnswersPrefix string `json:"lose_answers_prefix,omitempty"`
	// ListLagMS delays changes of the instance list, in milliseconds.
	ListLagMS int `json:"list_lag_ms"`
	// ListDown refuses reads of the instance list.
	ListDown bool `json:"list_down"`
}

// Counts are the operations served since the start.
type Counts struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	ListReads int64 `json:"list_reads"`
	Conflicts int64 `json:"conflicts"`
}

type listChange struct {
	at       time.Time
	instance platform.Instance
}

// Server is the stand-in platform.
type Server struct {
	mu        sync.Mutex
	rows      map[string]platform.Row
	objects   map[string][]byte
	instances map[string]platform.Instance
	pending   []listChange
	faults    Faults

	reads, writes, listReads, conflicts atomic.Int64

	listener net.Listener
	http     *fasthttp.Server
}

// Start serves the platform's protocol on address (host:port; port 0 picks one).
func Start(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		rows:      map[string]platform.Row{},
		objects:   map[string][]byte{},
		instances: map[string]platform.Instance{},
		listener:  listener,
	}
	s.http = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: 64 * 1024 * 1024}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

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
	s.pending = append(s.pending, listChange{at: time.Now().Add(lag), instance: instance})
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
	if path == platform.PathInstances {
		s.handleInstances(ctx, faults)
		return
	}
	if faults.Down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	switch path {
	case platform.PathRow:
		s.handleRow(ctx)
	case platform.PathRows:
		s.handleRows(ctx)
	case platform.PathObject:
		s.handleObject(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
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

func (s *Server) handleInstances(ctx *fasthttp.RequestCtx, faults Faults) {
	s.listReads.Add(1)
	if faults.ListDown {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.applyPending(time.Now())
	list := make([]platform.Instance, 0, len(s.instances))
	for _, instance := range s.instances {
		list = append(list, instance)
	}
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	writeJSON(ctx, list)
}

func (s *Server) applyPending(now time.Time) {
	var later []listChange
	for _, change := range s.pending {
		switch {
		case change.at.After(now):
			later = append(later, change)
		case change.instance.State == StateGone:
			delete(s.instances, change.instance.ID)
		default:
			s.instances[change.instance.ID] = change.instance
		}
	}
	s.pending = later
}

func (s *Server) handleRow(ctx *fasthttp.RequestCtx) {
	switch {
	case ctx.IsGet():
		s.getRow(ctx)
	case ctx.IsPost():
		s.writeRow(ctx)
	case ctx.IsDelete():
		s.deleteRow(ctx)
	}
}

func (s *Server) getRow(ctx *fasthttp.RequestCtx) {
	s.reads.Add(1)
	s.mu.Lock()
	row, ok := s.rows[string(ctx.QueryArgs().Peek("key"))]
	s.mu.Unlock()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	writeJSON(ctx, row)
}

func (s *Server) writeRow(ctx *fasthttp.RequestCtx) {
	s.writes.Add(1)
	var w platform.Write
	if !decode(ctx, &w) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.rows[w.Key]
	if current.Version != w.Expect {
		s.conflicts.Add(1)
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	row := platform.Row{Key: w.Key, Value: w.Value, Version: current.Version + 1, WriteID: w.WriteID}
	s.rows[w.Key] = row
	if s.losesAnswer(w.Key) {
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		return
	}
	writeJSON(ctx, platform.Row{Key: row.Key, Version: row.Version, WriteID: row.WriteID})
}

// losesAnswer runs under the lock.
func (s *Server) losesAnswer(key string) bool {
	if s.faults.LoseAnswers == 0 || !strings.HasPrefix(key, s.faults.LoseAnswersPrefix) {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *Server) deleteRow(ctx *fasthttp.RequestCtx) {
	s.writes.Add(1)
	key := string(ctx.QueryArgs().Peek("key"))
	expect, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("expect")), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows[key].Version != platform.RowVersion(expect) {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	delete(s.rows, key)
	writeJSON(ctx, struct{}{})
}

func (s *Server) handleRows(ctx *fasthttp.RequestCtx) {
	s.reads.Add(1)
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	s.mu.Lock()
	rows := []platform.Row{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	writeJSON(ctx, rows[:min(limit, len(rows))])
}

func (s *Server) handleObject(ctx *fasthttp.RequestCtx) {
	name := string(ctx.QueryArgs().Peek("name"))
	if ctx.IsPut() {
		s.writes.Add(1)
		s.mu.Lock()
		s.objects[name] = append([]byte(nil), ctx.PostBody()...)
		s.mu.Unlock()
		return
	}
	s.reads.Add(1)
	s.mu.Lock()
	body, ok := s.objects[name]
	s.mu.Unlock()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(body)
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
