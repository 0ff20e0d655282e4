package wire

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Work holds the routing data of a request that is forwarded from an entry daemon to
// a dispatcher and from there to a server. It is sent in headers in addition to the
// caller's headers.
type Work struct {
	Request        model.RequestID
	Route          model.RouteName
	Server         model.ServerRef
	Rank           model.Rank
	Shard          model.ShardID
	Key            model.Key
	Term           model.Term
	Epoch          model.Epoch
	AtMostOnce     bool
	IdempotencyKey string
	Deadline       time.Time
	// Trace makes each daemon that handles the request record its steps.
	Trace bool
	// CrashID is the ID of the server crash during which an earlier attempt of the
	// request was running; empty if there was none.
	CrashID string
}

// Write sets the headers of w.
func (w *Work) Write(h *fasthttp.RequestHeader) {
	h.Set(HeaderRequestID, string(w.Request))
	h.Set(HeaderRoute, string(w.Route))
	h.Set(HeaderPool, string(w.Server.Pool))
	h.Set(HeaderServer, string(w.Server.Server))
	h.Set(HeaderRank, string(w.Rank))
	h.Set(HeaderShard, strconv.Itoa(int(w.Shard)))
	h.Set(HeaderKey, string(w.Key))
	h.Set(HeaderTerm, strconv.FormatUint(uint64(w.Term), 10))
	h.Set(HeaderEpoch, strconv.FormatUint(uint64(w.Epoch), 10))
	h.Set(HeaderDeadline, strconv.FormatInt(w.Deadline.UnixMilli(), 10))
	if w.AtMostOnce {
		h.Set(HeaderAtMostOnce, "1")
	}
	if w.Trace {
		h.Set(HeaderTrace, "1")
	}
	if w.CrashID != "" {
		h.Set(HeaderCrashID, w.CrashID)
	}
	if w.IdempotencyKey != "" {
		h.Set(HeaderIdempotencyKey, w.IdempotencyKey)
	}
}

// ReadWork decodes the headers that Write sets. An error names the first header that
// is missing or malformed.
func ReadWork(h *fasthttp.RequestHeader) (*Work, error) {
	r := headerReader{header: h}
	w := &Work{
		Request:        model.RequestID(r.required(HeaderRequestID)),
		Route:          model.RouteName(r.optional(HeaderRoute)),
		Server:         model.ServerRef{Pool: model.PoolName(r.required(HeaderPool)), Server: model.ServerID(r.required(HeaderServer))},
		Rank:           model.Rank(r.required(HeaderRank)),
		Shard:          model.ShardID(r.signed(HeaderShard, 32)),
		Key:            model.Key(r.optional(HeaderKey)),
		Term:           model.Term(r.unsigned(HeaderTerm)),
		Epoch:          model.Epoch(r.unsigned(HeaderEpoch)),
		AtMostOnce:     r.optional(HeaderAtMostOnce) == "1",
		IdempotencyKey: r.optional(HeaderIdempotencyKey),
		Deadline:       time.UnixMilli(r.signed(HeaderDeadline, 64)),
		Trace:          r.optional(HeaderTrace) == "1",
		CrashID:        r.optional(HeaderCrashID),
	}
	return w, r.err
}

// headerReader decodes headers and records the first error.
type headerReader struct {
	header *fasthttp.RequestHeader
	err    error
}

func (r *headerReader) optional(name string) string { return string(r.header.Peek(name)) }

func (r *headerReader) required(name string) string {
	value := r.optional(name)
	if value == "" && r.err == nil {
		r.err = errors.Errorf("header %s is missing", name)
	}
	return value
}

func (r *headerReader) signed(name string, bits int) int64 {
	value, err := strconv.ParseInt(r.required(name), 10, bits)
	r.recordError(name, err)
	return value
}

func (r *headerReader) unsigned(name string) uint64 {
	value, err := strconv.ParseUint(r.required(name), 10, 64)
	r.recordError(name, err)
	return value
}

func (r *headerReader) recordError(name string, err error) {
	if err != nil && r.err == nil {
		r.err = errors.Wrapf(err, "header %s", name)
	}
}
