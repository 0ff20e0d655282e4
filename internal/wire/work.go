package wire

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Work describes a request on its way from an entry to a dispatcher and on to
// a server. It travels in headers beside the caller's own.
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
	// Trace asks each daemon on the way to keep the steps of the request.
	Trace bool
	// CrashID names the death of a server under which an earlier attempt ran.
	CrashID string
}

// Write sets the headers.
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

// ReadWork reads the headers. Errors name the header.
func ReadWork(h *fasthttp.RequestHeader) (*Work, error) {
	r := headerReader{header: h}
	w := &Work{
		Request:        model.RequestID(r.text(HeaderRequestID)),
		Route:          model.RouteName(r.optional(HeaderRoute)),
		Server:         model.ServerRef{Pool: model.PoolName(r.text(HeaderPool)), Server: model.ServerID(r.text(HeaderServer))},
		Rank:           model.Rank(r.text(HeaderRank)),
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

// headerReader keeps the first error.
type headerReader struct {
	header *fasthttp.RequestHeader
	err    error
}

func (r *headerReader) optional(name string) string { return string(r.header.Peek(name)) }

func (r *headerReader) text(name string) string {
	value := r.optional(name)
	if value == "" && r.err == nil {
		r.err = errors.Errorf("header %s is missing", name)
	}
	return value
}

func (r *headerReader) signed(name string, bits int) int64 {
	value, err := strconv.ParseInt(r.text(name), 10, bits)
	r.keep(name, err)
	return value
}

func (r *headerReader) unsigned(name string) uint64 {
	value, err := strconv.ParseUint(r.text(name), 10, 64)
	r.keep(name, err)
	return value
}

func (r *headerReader) keep(name string, err error) {
	if err != nil && r.err == nil {
		r.err = errors.Wrapf(err, "header %s", name)
	}
}
