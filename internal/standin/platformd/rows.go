package platformd

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// Paths of the store's calls.
const (
	pathTransact  = "/-/rows-tx"
	pathRead      = "/-/rows-get"
	pathChanges   = "/-/rows-feed"
	pathPutObject = "/-/blob-put/"
	pathGetObject = "/-/blob-get/"
)

// Tables of the instance list.
const (
	tableServers = "servers"
	tableDaemons = "chicorylug"
	daemonPrefix = "daemon/" // key of a daemon's row, followed by the daemon's ID
)

const (
	maxRows          = 500                  // in one response
	changePollPeriod = 5 * time.Millisecond // how often a waiting call checks for changes
	maxChangeWait    = 30 * time.Second     // upper bound of a call's wait for changes
	noRowLimit       = int(^uint(0) >> 1)   // on the number of rows
)

// Row is a row of the store as it is encoded in the platform's HTTP protocol. Table, Part
// and Key together identify it.
type Row struct {
	Table string `json:"Table"`
	// Part is the name of the part of the table that holds the row; empty for the
	// unnamed part, the only one that daemons use.
	Part  string `json:"part"`
	Key   string `json:"Key"`
	Value []byte `json:"Value,omitempty"`
	// Ver is the version of the store at which the row was written; nil in a row that a
	// client asks to write or remove. In a condition of a transaction it is the version
	// that the row must have; 0 or nil means that the row must not exist.
	Ver *uint64 `json:"Ver,omitempty"`
	// Tombstone says that the row was removed. Such a row is only part of the history.
	Tombstone bool `json:"Tombstone,omitempty"`
}

// rowName identifies a row.
type rowName struct{ table, part, key string }

func (r Row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// rowStore holds the current rows and the history of their changes. Each transaction
// increments version.
type rowStore struct {
	version   uint64
	rows      map[rowName]Row
	changes   []Row    // oldest first
	commits   []commit // within maxCopyAge, oldest first
	forgotten uint64   // version of the newest transaction that is not in commits any more
	startedAt time.Time
}

func newRowStore() rowStore { return rowStore{rows: map[rowName]Row{}, startedAt: time.Now()} }

// write applies one row as a separate transaction.
func (s *rowStore) write(row Row) {
	s.commit(time.Now())
	s.apply(row)
}

// apply sets or removes a row at the current version.
func (s *rowStore) apply(row Row) {
	version := s.version
	row.Ver = &version
	s.record(row)
}

// record keeps a row with its version as the newest change.
func (s *rowStore) record(row Row) {
	if row.Tombstone {
		row.Value = nil
		delete(s.rows, row.name())
	} else {
		s.rows[row.name()] = row
	}
	s.changes = append(s.changes, row)
}

// conditionMet reports whether a row has the version that a condition expects. Version 0
// expects that the row does not exist.
func (s *rowStore) conditionMet(condition Row) bool {
	want := uint64(0)
	if condition.Ver != nil {
		want = *condition.Ver
	}
	current, ok := s.rows[condition.name()]
	if !ok {
		return want == 0
	}
	return *current.Ver == want
}

// isInstanceTable reports whether a table belongs to the instance list.
func isInstanceTable(table string) bool { return table == tableServers || table == tableDaemons }

// instanceRow returns the row that the platform keeps for an instance.
func instanceRow(instance platform.Instance) Row {
	if instance.Kind == platform.KindDaemon {
		return Row{Table: tableDaemons, Key: daemonPrefix + instance.ID, Value: encode(map[string]any{
			"name": instance.ID, "zone": instance.Zone, "control": instance.Address, "leaving": instance.State == platform.StateLeaving,
		})}
	}
	state := "ready"
	if instance.State == platform.StateLeaving {
		state = "draining"
	}
	return Row{Table: tableServers, Key: instance.ID, Value: encode(map[string]any{
		"Service": instance.Pool, "Address": instance.Address, "Zone": instance.Zone, "Version": "v1", "Capacity": 1, "State": state,
		"WarmupLeftS": 0,
		"Sequence":    1, // number of the server's registration, part of the format; daemons don't read it
	})}
}

func encode(value map[string]any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // maps of strings, numbers and booleans always encode
	}
	return body
}

// transaction is an atomic change of rows. It takes effect only if all its conditions are met.
type transaction struct {
	ExpectedRev []Row `json:"ExpectedRev"` // conditions, see Row.Ver
	SetKeys     []Row `json:"SetKeys"`     // rows to write
	Remove      []Row `json:"Remove"`      // rows to remove
}

// rowsResponse is the body of the responses to calls about rows.
type rowsResponse struct {
	Rows    []Row   `json:"Rows"`
	HasMore bool    `json:"HasMore"` // more rows match than are in Rows
	Ver     uint64  `json:"Ver"`     // the store's version
	NowS    float64 `json:"NowS"`    // seconds since the platform's start
}

// response returns a response at the current version. The caller must hold s.mu.
func (s *Server) response(rows []Row, more bool) rowsResponse {
	return rowsResponse{Rows: rows, HasMore: more, Ver: s.store.version, NowS: time.Since(s.store.startedAt).Seconds()}
}

// transact applies a transaction, or answers with status 412 if a condition is not met.
func (s *Server) transact(ctx *fasthttp.RequestCtx) {
	s.writes.Add(1)
	var tx transaction
	if !decode(ctx, &tx) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(ctx)
	for _, condition := range tx.ExpectedRev {
		if !s.store.conditionMet(condition) {
			s.conflicts.Add(1)
			ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
			return
		}
	}
	s.store.commit(time.Now())
	lastKey := ""
	for _, row := range tx.SetKeys {
		s.store.apply(row)
		lastKey = row.Key
	}
	for _, row := range tx.Remove {
		row.Tombstone = true
		s.store.apply(row)
	}
	if s.dropsResponse(lastKey) {
		// The transaction took effect, but the connection is closed without an answer.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConn)
		return
	}
	writeJSON(ctx, s.response(nil, false))
}

// dropsResponse reports whether the fault DropWriteResponses applies to a transaction, and
// counts it down. The caller must hold s.mu.
func (s *Server) dropsResponse(key string) bool {
	if s.faults.DropWriteResponses == 0 || !strings.HasPrefix(key, s.faults.DropWriteResponsesPrefix) {
		return false
	}
	s.faults.DropWriteResponses--
	return true
}

// readRows answers with the rows of a table whose keys are in a range, sorted by key.
func (s *Server) readRows(ctx *fasthttp.RequestCtx) {
	arguments := ctx.QueryArgs()
	table, from, to := string(arguments.Peek("Table")), string(arguments.Peek("From")), string(arguments.Peek("To"))
	s.countRead(table)
	limit := noRowLimit
	if arguments.Has("Limit") {
		limit = arguments.GetUintOrZero("Limit")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(ctx)
	s.applyPending(time.Now())
	var rows []Row
	for _, row := range s.store.rows {
		if row.Table == table && row.Part == string(arguments.Peek("part")) && row.Key >= from && (to == "" || row.Key < to) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	limit = min(limit, maxRows)
	more := len(rows) > limit
	writeJSON(ctx, s.response(rows[:min(limit, len(rows))], more))
}

// countRead counts a read. Reads of the servers table are counted separately; reads of the
// daemons table are not counted.
func (s *Server) countRead(table string) {
	if table == tableServers {
		s.listReads.Add(1)
	} else if !isInstanceTable(table) {
		s.reads.Add(1)
	}
}

// waitChanges answers with the changes of a table after a version. While there are none, it
// waits for the time that the call asks for, at most maxChangeWait, and then answers with no
// rows. It answers with status 410 if the store is not yet at that version, and with 503 if
// the store is restored during the wait.
func (s *Server) waitChanges(ctx *fasthttp.RequestCtx, faults Faults) {
	arguments := ctx.QueryArgs()
	table := string(arguments.Peek("Table"))
	after := uint64(arguments.GetUintOrZero("after"))
	s.countRead(table)
	if faults.HistoryGone {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	era := s.Era()
	deadline := time.Now().Add(min(time.Duration(arguments.GetUintOrZero("WaitMs"))*time.Millisecond, maxChangeWait))
	for !s.answerChanges(ctx, era, table, after, deadline) {
		time.Sleep(changePollPeriod)
	}
}

// answerChanges answers a call that has waited for changes since the given era, or returns
// false while there is nothing to answer.
func (s *Server) answerChanges(ctx *fasthttp.RequestCtx, era uint64, table string, after uint64, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(ctx)
	s.applyPending(time.Now())
	switch {
	case s.era != era:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return true
	case after > s.store.version:
		ctx.SetStatusCode(fasthttp.StatusGone)
		return true
	}
	rows := s.store.changesAfter(table, after)
	if len(rows) == 0 && time.Now().Before(deadline) {
		return false
	}
	writeJSON(ctx, s.response(rows, false))
	return true
}

// changesAfter returns the changes of a table after a version, oldest first.
func (s *rowStore) changesAfter(table string, after uint64) []Row {
	var rows []Row
	for _, row := range s.changes {
		if row.Table == table && *row.Ver > after {
			rows = append(rows, row)
		}
	}
	return rows
}
