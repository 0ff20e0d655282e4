package platformd

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// Calls of the platform's store.
const (
	callTransact = "/-/rows-tx"
	callRead     = "/-/rows-get"
	callChanges  = "/-/rows-feed"
	callPut      = "/-/blob-put/"
	callGet      = "/-/blob-get/"
)

// Tables of the instance list.
const (
	tableServers = "servers"
	tableDaemons = "chicorylug"
	daemonPrefix = "daemon/"
)

const (
	mostRows = 500                  // rows of one answer
	lookWait = 5 * time.Millisecond // period at which a wait for changes looks
	mostWait = 30 * time.Second     // longest wait for changes
	noLimit  = int(^uint(0) >> 1)   // of rows
)

// Row is a row of the store in the published form.
type Row struct {
	Table     string  `json:"Table"`
	Part      string  `json:"part"`
	Key       string  `json:"Key"`
	Value     []byte  `json:"Value,omitempty"`
	Ver       *uint64 `json:"Ver,omitempty"`
	Tombstone bool    `json:"Tombstone,omitempty"`
}

type rowName struct{ table, part, key string }

func (r Row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// rowStore keeps rows and their changes.
type rowStore struct {
	version uint64
	rows    map[rowName]Row
	changes []Row // oldest first
	began   time.Time
}

func newRowStore() rowStore { return rowStore{rows: map[rowName]Row{}, began: time.Now()} }

// write applies one row in a transaction of its own.
func (s *rowStore) write(row Row) {
	s.version++
	s.apply(row)
}

// apply sets or removes a row under the current version.
func (s *rowStore) apply(row Row) {
	version := s.version
	row.Ver = &version
	if row.Tombstone {
		row.Value = nil
		delete(s.rows, row.name())
	} else {
		s.rows[row.name()] = row
	}
	s.changes = append(s.changes, row)
}

// holds reports that a condition is met.
func (s *rowStore) holds(condition Row) bool {
	want := uint64(0)
	if condition.Ver != nil {
		want = *condition.Ver
	}
	held, ok := s.rows[condition.name()]
	if !ok {
		return want == 0
	}
	return *held.Ver == want
}

// listed reports that a table belongs to the instance list.
func listed(table string) bool { return table == tableServers || table == tableDaemons }

// rowOf returns an instance as the platform keeps it.
func rowOf(instance platform.Instance) Row {
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
		"Service": instance.Pool, "Address": instance.Address, "Zone": instance.Zone, "Capacity": 1, "State": state, "Sequence": 1,
	})}
}

func encode(value map[string]any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // maps of strings, numbers and booleans always encode
	}
	return body
}

type transaction struct {
	ExpectedRev []Row `json:"ExpectedRev"`
	SetKeys     []Row `json:"SetKeys"`
	Remove      []Row `json:"Remove"`
}

type rowsAnswer struct {
	Rows    []Row   `json:"Rows"`
	HasMore bool    `json:"HasMore"`
	Ver     uint64  `json:"Ver"`
	NowS    float64 `json:"NowS"`
}

// answer runs under the lock.
func (s *Server) answer(rows []Row, more bool) rowsAnswer {
	return rowsAnswer{Rows: rows, HasMore: more, Ver: s.store.version, NowS: time.Since(s.store.began).Seconds()}
}

func (s *Server) transact(ctx *fasthttp.RequestCtx) {
	s.writes.Add(1)
	var tx transaction
	if !decode(ctx, &tx) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range tx.ExpectedRev {
		if !s.store.holds(condition) {
			s.conflicts.Add(1)
			ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
			return
		}
	}
	s.store.version++
	keys := ""
	for _, row := range tx.SetKeys {
		s.store.apply(row)
		keys = row.Key
	}
	for _, row := range tx.Remove {
		row.Tombstone = true
		s.store.apply(row)
	}
	if s.losesAnswer(keys) {
		// The connection ends without an answer.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConn)
		return
	}
	writeJSON(ctx, s.answer(nil, false))
}

// losesAnswer runs under the lock.
func (s *Server) losesAnswer(key string) bool {
	if s.faults.DropWriteResponses == 0 || !strings.HasPrefix(key, s.faults.DropWriteResponsesPrefix) {
		return false
	}
	s.faults.DropWriteResponses--
	return true
}

func (s *Server) readRows(ctx *fasthttp.RequestCtx) {
	arguments := ctx.QueryArgs()
	table, from, to := string(arguments.Peek("Table")), string(arguments.Peek("From")), string(arguments.Peek("To"))
	s.count(table)
	limit := noLimit
	if arguments.Has("Limit") {
		limit = arguments.GetUintOrZero("Limit")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyPending(time.Now())
	var rows []Row
	for _, row := range s.store.rows {
		if row.Table == table && row.Part == string(arguments.Peek("part")) && row.Key >= from && (to == "" || row.Key < to) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	limit = min(limit, mostRows)
	more := len(rows) > limit
	writeJSON(ctx, s.answer(rows[:min(limit, len(rows))], more))
}

// count counts a read; those of the instance list apart.
func (s *Server) count(table string) {
	if table == tableServers {
		s.listReads.Add(1)
	} else if !listed(table) {
		s.reads.Add(1)
	}
}

func (s *Server) waitChanges(ctx *fasthttp.RequestCtx, faults Faults) {
	arguments := ctx.QueryArgs()
	table := string(arguments.Peek("Table"))
	after := uint64(arguments.GetUintOrZero("after"))
	s.count(table)
	if faults.HistoryGone {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	end := time.Now().Add(min(time.Duration(arguments.GetUintOrZero("WaitMs"))*time.Millisecond, mostWait))
	for {
		answer := s.changesAfter(table, after)
		if len(answer.Rows) > 0 || time.Now().After(end) {
			writeJSON(ctx, answer)
			return
		}
		time.Sleep(lookWait)
	}
}

func (s *Server) changesAfter(table string, after uint64) rowsAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyPending(time.Now())
	var rows []Row
	for _, row := range s.store.changes {
		if row.Table == table && *row.Ver > after {
			rows = append(rows, row)
		}
	}
	return s.answer(rows, false)
}
