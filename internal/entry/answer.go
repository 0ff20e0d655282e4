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
	maxHeldAnswer   = 64 * 1024 // an answer up to this size is read whole before it is passed on
	maxRefusalBytes = 64 * 1024 // a dispatcher's refusal
	maxAnswerBytes  = 1 << 62   // streamed answers have no bound of their own
)

// answer is a dispatcher's answer on its way to the caller. It is the body
// stream of the caller's answer when it is not held.
type answer struct {
	call     *call
	exchange *httplink.Exchange
	received *fasthttp.Response
	peer     string
	body     *verified
	rest     io.Reader // what is streamed: the body, or its held beginning and the rest
	ended    bool
}

// pass sets the caller's answer, or returns the dispatcher's refusal.
func (a *answer) pass() *reason.Error {
	if len(a.received.Header.Peek(wire.HeaderReason)) > 0 {
		defer a.end()
		return a.refusal()
	}
	if string(a.received.Header.Peek(wire.HeaderRequestID)) != string(a.call.work.Request) {
		defer a.end()
		return reason.NewUnknown(reason.DispatcherLost, "answer", a.peer, "the answer is not for this request")
	}
	a.body = newVerified(a.exchange, int64(a.exchange.Length()), maxAnswerBytes, a.stated())
	a.rest = a.body
	if a.exchange.Length() > a.holdLimit() || !a.holdable() {
		a.stream()
		return nil
	}
	return a.hold()
}

// stated returns the SHA-256 that the server stated for a body that follows.
func (a *answer) stated() string {
	if a.call.ctx.IsHead() {
		return ""
	}
	return string(a.received.Header.Peek(wire.HeaderBodySHA256))
}

// holdLimit is the size up to which the answer is held: more for a request whose
// answer is recorded.
func (a *answer) holdLimit() int {
	if a.call.work.Once {
		return claim.MaxObjectBodyBytes
	}
	return maxHeldAnswer
}

// holdable reports that the answer may be held: its length is known, or it is
// to be recorded.
func (a *answer) holdable() bool {
	return a.exchange.Length() != unknownLength || a.call.work.Once
}

// hold reads the whole answer before the caller sees a byte of it.
func (a *answer) hold() *reason.Error {
	limit := a.holdLimit()
	space := a.exchange.Length()
	if space == unknownLength {
		space = limit
	}
	if refusal := a.call.reserve(int64(space)); refusal != nil {
		a.stream()
		return nil
	}
	var held bytes.Buffer
	if a.exchange.Length() != unknownLength {
		held.Grow(space + bytes.MinRead)
	}
	_, err := io.CopyN(&held, a.body, int64(limit)+1)
	if err == nil {
		a.rest = io.MultiReader(&held, a.body)
		a.stream()
		return nil
	}
	defer a.end()
	if !errors.Is(err, io.EOF) {
		a.call.release(int64(space))
		return a.broken(err)
	}
	copyAnswer(&a.received.Header, &a.call.ctx.Response.Header)
	a.call.ctx.Response.SetBodyRaw(held.Bytes())
	a.call.trace("answered", "held")
	return nil
}

// stream passes the answer on while it arrives. The call ends with the stream.
func (a *answer) stream() {
	a.call.streams = true
	a.call.entry.watch.IgnoreCaller(a.call.watched)
	a.call.trace("answered", "streamed")
	copyAnswer(&a.received.Header, &a.call.ctx.Response.Header)
	_ = a.call.ctx.SetWriteDeadline(a.call.work.Deadline)
	a.call.ctx.Response.SetBodyStream(a, a.exchange.Length())
}

// Read implements io.Reader. A body that is not whole ends with an error, at
// which the caller's connection is cut.
func (a *answer) Read(p []byte) (int, error) {
	count, err := a.rest.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		a.call.entry.cut(a.call, a.broken(err))
	}
	return count, err
}

// Close implements io.Closer.
func (a *answer) Close() error {
	if a.ended {
		return nil
	}
	a.end()
	a.call.end()
	return nil
}

func (a *answer) end() {
	if a.ended {
		return
	}
	a.ended = true
	_ = a.exchange.Close()
	fasthttp.ReleaseResponse(a.received)
}

// broken tells why an answer is not whole.
func (a *answer) broken(err error) *reason.Error {
	if a.call.context.Err() != nil {
		return a.call.ended(reason.Unknown, a.peer, "while the answer was read")
	}
	code := reason.ShortAnswer
	if errors.Is(err, errMismatch) {
		code = reason.DigestMismatch
	}
	return reason.NewUnknown(code, "answer", a.peer, "%v", err)
}

// refusal reads the dispatcher's refusal.
func (a *answer) refusal() *reason.Error {
	body, err := io.ReadAll(io.LimitReader(a.exchange, maxRefusalBytes))
	if err != nil {
		return reason.NewUnknown(reason.DispatcherLost, "forward", a.peer, "read refusal: %v", err)
	}
	refusal, err := reason.Parse(body)
	if err != nil {
		return reason.NewUnknown(reason.DispatcherLost, "forward", a.peer, "parse refusal: %v", err)
	}
	if refusal.RequestID != a.call.work.Request {
		return reason.NewUnknown(reason.DispatcherLost, "forward", a.peer, "the refusal is for request %q", refusal.RequestID)
	}
	return refusal
}
