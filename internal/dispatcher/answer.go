package dispatcher

import (
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// pass hands the server's answer to the entry, or returns the server's word
// that it did not run the request.
func (r *request) pass() *reason.Error {
	r.dispatcher.answered(r.server, &r.answer.Header, "request answered")
	if string(r.answer.Header.Peek(wire.HeaderNotRun)) == "1" {
		return r.notRun()
	}
	r.server.limit.answered(time.Since(r.began), r.server.queue.full(), time.Now())
	r.copyHeader()
	if length := r.exchange.Length(); length >= 0 && length <= maxHeldBytes {
		return r.hold()
	}
	r.streams = true
	if r.work.Trace {
		r.trace("answered", "streamed, status "+strconv.Itoa(r.answer.StatusCode()))
	}
	r.http.Response.SetBodyStream(&relay{request: r}, r.exchange.Length())
	return nil
}

// notRun reads the server's own word that it did not run the request.
func (r *request) notRun() *reason.Error {
	peer := r.work.Server.String()
	draining := string(r.answer.Header.Peek(wire.HeaderDraining)) == "1"
	_ = r.exchange.Discard()
	r.unhook()
	r.ticket.MarkAnswered()
	r.free(0)
	r.releaseAnswer()
	if draining {
		return reason.New(reason.ServerDraining, "send", peer, "the server is leaving and did not run the request")
	}
	r.server.limit.shed(time.Now())
	return reason.New(reason.ServerShed, "send", peer, "the server did not run the request")
}

func (r *request) copyHeader() {
	r.answer.Header.CopyTo(&r.http.Response.Header)
	header := &r.http.Response.Header
	header.ResetConnectionClose()
	header.Del(wire.HeaderReason)
	header.Set(wire.HeaderServer, string(r.work.Server.Server))
	header.Set(wire.HeaderEpoch, strconv.FormatUint(uint64(r.work.Epoch), 10))
	header.Set(wire.HeaderDispatcher, string(r.dispatcher.config.Name))
	header.Set(wire.HeaderRequestID, string(r.work.Request))
}

// hold reads a small answer to its end, so that the slot is free at once.
func (r *request) hold() *reason.Error {
	body := make([]byte, r.exchange.Length())
	_, err := io.ReadFull(r.exchange, body)
	if err != nil {
		refusal := r.short(err)
		r.abandon()
		r.releaseAnswer()
		return refusal
	}
	if r.work.Trace {
		r.trace("answered", "held, status "+strconv.Itoa(r.answer.StatusCode()))
	}
	r.done()
	r.releaseAnswer()
	r.http.Response.SetBodyRaw(body)
	return nil
}

// short tells why an answer is not whole.
func (r *request) short(err error) *reason.Error {
	if r.attempt.Err() != nil {
		refusal := r.stopped(err.Error())
		refusal.Outcome = reason.Unknown
		return refusal
	}
	refusal := r.broken(err)
	if refusal.CrashID == "" {
		refusal.Code = reason.ShortAnswer
	}
	return refusal
}

// relay reads an answer's body and frees what the request holds.
type relay struct {
	request *request
	ended   bool
}

// Read implements io.Reader.
func (s *relay) Read(p []byte) (int, error) {
	r := s.request
	count, err := r.exchange.Read(p)
	switch {
	case err == nil && !r.exchange.Complete():
	case err == nil || errors.Is(err, io.EOF):
		s.finish(r.done)
	default:
		refusal := r.short(err)
		r.dispatcher.metrics.Refused(refusal.Code)
		r.trace("answer cut off", refusal.Error())
		s.finish(r.abandon)
		return 0, err
	}
	return count, err
}

func (s *relay) finish(end func()) {
	if s.ended {
		return
	}
	s.ended = true
	end()
}

// Close implements io.Closer.
func (s *relay) Close() error {
	s.finish(s.request.abandon)
	s.request.releaseAnswer()
	s.request.end()
	return nil
}

const drainGrace = 2 * time.Second // time after a server's notice in which control moves its work

// leaving refuses work for a server that announced a while ago that it leaves.
func (s *server) leaving(now time.Time) *reason.Error {
	since, draining := s.health.drainingSince()
	if !draining || now.Sub(since) < drainGrace {
		return nil
	}
	return reason.New(reason.ServerDraining, "dispatch", s.ref.String(), "the server is leaving")
}
