package entry

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/claim"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

const (
	maxBufferedResponseBytes = 64 * 1024 // a larger response is streamed
	maxRefusalBytes          = 64 * 1024 // largest refusal that is read from a dispatcher
	maxResponseBytes         = 1 << 62   // in effect no limit for streamed responses
)

// response is a dispatcher's response that is passed on to the caller. It is
// either buffered as a whole or streamed; when it is streamed, the response is
// the io.ReadCloser from which fasthttp reads the caller's body.
type response struct {
	call     *call
	exchange *httplink.Exchange
	received *fasthttp.Response
	peer     string // name of the dispatcher's daemon
	body     *verifyingReader
	reader   io.Reader // source of a streamed body: body, or the buffered start of it followed by body
	closed   bool      // end was called
}

// deliver sets the caller's response, or returns a refusal: the dispatcher's own,
// or one for a response that is not valid.
func (r *response) deliver() *reason.Error {
	if len(r.received.Header.Peek(wire.HeaderReason)) > 0 {
		defer r.end()
		return r.readRefusal()
	}
	if string(r.received.Header.Peek(wire.HeaderRequestID)) != string(r.call.work.Request) {
		defer r.end()
		return reason.NewUnknown(reason.DispatcherLost, "answer", r.peer, "the answer is not for this request")
	}
	r.body = newVerifyingReader(r.exchange, int64(r.exchange.Length()), maxResponseBytes, r.statedSHA256())
	r.reader = r.body
	if r.exchange.Length() > r.bufferLimit() || !r.bufferable() {
		r.stream()
		return nil
	}
	return r.buffer()
}

// statedSHA256 returns the hex SHA-256 that the server stated for the body, or ""
// when it stated none or the response to a HEAD request has no body.
func (r *response) statedSHA256() string {
	if r.call.ctx.IsHead() {
		return ""
	}
	return string(r.received.Header.Peek(wire.HeaderBodySHA256))
}

// bufferLimit returns the size in bytes up to which the response is buffered. It
// is larger for at-most-once requests, whose responses are stored for repeats.
func (r *response) bufferLimit() int {
	if r.call.work.AtMostOnce {
		return claim.MaxObjectBodyBytes
	}
	return maxBufferedResponseBytes
}

// bufferable reports whether the response may be buffered: its length is known,
// or it is to be stored for repeats.
func (r *response) bufferable() bool {
	return r.exchange.Length() != unknownLength || r.call.work.AtMostOnce
}

// buffer reads the whole response before any of it is sent to the caller. It
// falls back to streaming when the rank has no buffer space or the body is longer
// than the limit.
func (r *response) buffer() *reason.Error {
	limit := r.bufferLimit()
	space := r.exchange.Length()
	if space == unknownLength {
		space = limit
	}
	if refusal := r.call.reserve(int64(space)); refusal != nil {
		r.stream()
		return nil
	}
	var content bytes.Buffer
	if r.exchange.Length() != unknownLength {
		content.Grow(space + bytes.MinRead)
	}
	_, err := io.CopyN(&content, r.body, int64(limit)+1)
	if err == nil {
		r.reader = io.MultiReader(&content, r.body)
		r.stream()
		return nil
	}
	defer r.end()
	if !errors.Is(err, io.EOF) {
		r.call.release(int64(space))
		return r.readFailure(err)
	}
	copyResponseHeader(&r.received.Header, &r.call.ctx.Response.Header)
	r.call.ctx.Response.SetBodyRaw(content.Bytes())
	r.call.trace("answered", "held")
	return nil
}

// stream passes the response on while it arrives. The call then ends in Close.
func (r *response) stream() {
	r.call.streaming = true
	r.call.entry.watch.IgnoreCaller(r.call.watched)
	r.call.trace("answered", "streamed")
	copyResponseHeader(&r.received.Header, &r.call.ctx.Response.Header)
	_ = r.call.ctx.SetWriteDeadline(r.call.work.Deadline)
	r.call.ctx.Response.SetBodyStream(r, r.exchange.Length())
}

// Read implements io.Reader. For an incomplete body it returns an error, at which
// fasthttp closes the caller's connection.
func (r *response) Read(p []byte) (int, error) {
	count, err := r.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.call.entry.recordTruncated(r.call, r.readFailure(err))
	}
	return count, err
}

// Close implements io.Closer. fasthttp calls it after the last read of a streamed
// body; it ends the call.
func (r *response) Close() error {
	if r.closed {
		return nil
	}
	r.end()
	r.call.end()
	return nil
}

// end releases the dispatcher's response. Further calls have no effect.
func (r *response) end() {
	if r.closed {
		return
	}
	r.closed = true
	_ = r.exchange.Close()
	fasthttp.ReleaseResponse(r.received)
}

// readFailure returns the refusal for a response that could not be read to its end.
func (r *response) readFailure(err error) *reason.Error {
	if r.call.context.Err() != nil {
		return r.call.contextEnded(reason.Unknown, r.peer, "while the answer was read")
	}
	code := reason.ShortAnswer
	if errors.Is(err, errDigestMismatch) {
		code = reason.DigestMismatch
	}
	return reason.NewUnknown(code, "answer", r.peer, "%v", err)
}

// readRefusal returns the refusal that the dispatcher sent.
func (r *response) readRefusal() *reason.Error {
	body, err := io.ReadAll(io.LimitReader(r.exchange, maxRefusalBytes))
	if err != nil {
		return reason.NewUnknown(reason.DispatcherLost, "forward", r.peer, "read refusal: %v", err)
	}
	refusal, err := reason.Parse(body)
	if err != nil {
		return reason.NewUnknown(reason.DispatcherLost, "forward", r.peer, "parse refusal: %v", err)
	}
	if refusal.RequestID != r.call.work.Request {
		return reason.NewUnknown(reason.DispatcherLost, "forward", r.peer, "the refusal is for request %q", refusal.RequestID)
	}
	return refusal
}
