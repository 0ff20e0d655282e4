package dispatcher

import (
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// forwardResponse forwards the server's response to the entry, or returns a refusal
// when the response says that the server did not run the request.
func (r *request) forwardResponse() *reason.Error {
	r.dispatcher.reportResponse(r.server, &r.response.Header, "request answered")
	if string(r.response.Header.Peek(wire.HeaderNotRun)) == "1" {
		return r.notRunRefusal()
	}
	r.server.limit.recordLatency(time.Since(r.began), r.server.queue.saturated(), time.Now())
	r.copyHeader()
	if length := r.exchange.Length(); length >= 0 && length <= maxBufferedBytes {
		return r.forwardBuffered()
	}
	r.streaming = true
	if r.work.Trace {
		r.trace("answered", "streamed, status "+strconv.Itoa(r.response.StatusCode()))
	}
	r.http.Response.SetBodyStream(&responseBody{request: r}, r.exchange.Length())
	return nil
}

// notRunRefusal ends the attempt and returns the refusal for a response that says
// that the server did not run the request. Its connection ends: nothing in these responses
// states the request, and a second copy of it would be taken for that to the next one.
func (r *request) notRunRefusal() *reason.Error {
	peer := r.work.Server.String()
	draining := string(r.response.Header.Peek(wire.HeaderDraining)) == "1"
	r.exchange.DoNotReuse()
	_ = r.exchange.Discard()
	r.stopAbortHook()
	r.ticket.MarkAnswered()
	r.release(0)
	r.releaseResponse()
	if draining {
		return reason.New(reason.ServerDraining, "send", peer, "the server is leaving and did not run the request")
	}
	r.server.limit.recordShed(time.Now())
	return reason.New(reason.ServerShed, "send", peer, "the server did not run the request")
}

// copyHeader copies the server's headers to the response to the entry, without the one
// that marks a dispatcher's refusal. It adds the request ID, which the entry checks,
// and where the request ran.
func (r *request) copyHeader() {
	r.response.Header.CopyTo(&r.http.Response.Header)
	header := &r.http.Response.Header
	header.ResetConnectionClose()
	header.Del(wire.HeaderReason)
	header.Set(wire.HeaderServer, string(r.work.Server.Server))
	header.Set(wire.HeaderEpoch, strconv.FormatUint(uint64(r.work.Epoch), 10))
	header.Set(wire.HeaderDispatcher, string(r.dispatcher.config.Name))
	header.Set(wire.HeaderRequestID, string(r.work.Request))
}

// forwardBuffered reads a small response completely, so that the slot is released
// without waiting for the entry.
func (r *request) forwardBuffered() *reason.Error {
	body := make([]byte, r.exchange.Length())
	_, err := io.ReadFull(r.exchange, body)
	if err != nil {
		refusal := r.truncatedResponse(err)
		r.finishIncomplete()
		r.releaseResponse()
		return refusal
	}
	if r.work.Trace {
		r.trace("answered", "held, status "+strconv.Itoa(r.response.StatusCode()))
	}
	r.finishComplete()
	r.releaseResponse()
	r.http.Response.SetBodyRaw(body)
	return nil
}

// truncatedResponse returns the refusal for a response that ended early: the attempt
// ended, the server crashed, or the server sent too few bytes.
func (r *request) truncatedResponse(err error) *reason.Error {
	if r.attemptOver() {
		refusal := r.attemptRefusal(err.Error())
		refusal.Outcome = reason.Unknown
		return refusal
	}
	refusal := r.connectionLost(err)
	if refusal.CrashID == "" {
		refusal.Code = reason.ShortAnswer
	}
	return refusal
}

// responseBody streams the body of a response to the entry and ends the attempt
// after it.
type responseBody struct {
	request  *request
	finished bool // the attempt has ended
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	r := b.request
	count, err := r.exchange.Read(p)
	switch {
	case err == nil && !r.exchange.Complete():
	case err == nil || errors.Is(err, io.EOF):
		b.finish(r.finishComplete)
	default:
		refusal := r.truncatedResponse(err)
		r.dispatcher.metrics.CountRefusal(refusal.Code)
		r.trace("answer cut off", refusal.Error())
		b.finish(r.finishIncomplete)
		return 0, err
	}
	return count, err
}

func (b *responseBody) finish(release func()) {
	if b.finished {
		return
	}
	b.finished = true
	release()
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.finish(b.request.finishIncomplete)
	b.request.releaseResponse()
	b.request.close()
	return nil
}

// drainGrace is the time for which requests are still sent to a server that has
// announced draining, while the control side moves its shards elsewhere.
const drainGrace = 2 * time.Second

// drainingRefusal returns a refusal if the server announced draining at least
// drainGrace ago, and nil otherwise.
func (s *server) drainingRefusal(now time.Time) *reason.Error {
	since, draining := s.health.drainingSince()
	if !draining || now.Sub(since) < drainGrace {
		return nil
	}
	return reason.New(reason.ServerDraining, "dispatch", s.ref.String(), "the server is leaving")
}
