package backend

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// Run is the record of one request that the server began to execute.
type Run struct {
	Server         model.ServerID  `json:"server"`
	Pool           model.PoolName  `json:"pool"`
	RequestID      model.RequestID `json:"request_id"`
	IdempotencyKey string          `json:"idempotency_key,omitempty"`
	Method         string          `json:"method"`
	Path           string          `json:"path"`
	Key            model.Key       `json:"key,omitempty"`
	Shard          model.ShardID   `json:"shard"`
	Term           model.Term      `json:"term"`
	Epoch          model.Epoch     `json:"epoch"`
	Rank           model.Rank      `json:"rank"`
	Dispatcher     string          `json:"dispatcher"`
	BodyBytes      int             `json:"body_bytes"`
	BodySHA256     string          `json:"body_sha256,omitempty"`
	// InUse is the number of requests that were running when this one started, itself included.
	InUse int       `json:"in_use"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
	// Completed is set when the request ran to its end. Only such a run is answered.
	Completed bool `json:"whole"`
	// Stopped is why the run ended early: "killed", "deadline" or "cancelled".
	Stopped string `json:"stopped,omitempty"`
}

// markRunsKilled marks the runs in progress as killed. The caller must hold s.mu.
func (s *Server) markRunsKilled() {
	now := time.Now()
	for _, run := range s.runs {
		if run.End.IsZero() {
			run.End = now
			run.Stopped = stoppedKilled
		}
	}
	s.inUse = 0
}

// Runs returns a copy of the recorded runs, in the order of their starts.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]Run, 0, len(s.runs))
	for _, run := range s.runs {
		runs = append(runs, *run)
	}
	return runs
}

// Stats holds the counters of a server: recorded runs, slots in use now and at most,
// open connections and refused requests.
type Stats struct {
	Runs        int `json:"runs"`
	InUse       int `json:"in_use"`
	MaxInUse    int `json:"max_in_use"`
	Connections int `json:"connections"`
	Refused     int `json:"refused"`
}

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Runs: len(s.runs), InUse: s.inUse, MaxInUse: s.maxInUse, Connections: len(s.conns), Refused: s.refused}
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
		Server:         s.options.ID,
		Pool:           s.options.Pool,
		RequestID:      model.RequestID(header(wire.HeaderRequestID)),
		IdempotencyKey: header(wire.HeaderIdempotencyKey),
		Method:         string(ctx.Method()),
		Path:           string(ctx.Path()),
		Key:            model.Key(header(wire.HeaderKey)),
		Shard:          model.ShardID(shard),
		Term:           model.Term(number(wire.HeaderTerm)),
		Epoch:          model.Epoch(number(wire.HeaderEpoch)),
		Rank:           model.Rank(header(wire.HeaderRank)),
		Dispatcher:     header(wire.HeaderDispatcher),
		BodyBytes:      len(body),
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

// Body returns the response body of a run: a first line that identifies the run, then
// padding up to size bytes. A longer first line is not cut.
func Body(run *Run, size int) []byte {
	line := fmt.Sprintf("request=%s server=%s path=%s epoch=%d\n", run.RequestID, run.Server, run.Path, run.Epoch)
	if len(line) >= size {
		return []byte(line)
	}
	return append([]byte(line), bytes.Repeat([]byte("."), size-len(line))...)
}
