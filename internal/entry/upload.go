package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/wire"
)

const (
	maxReplayBytes = 64 * 1024 // a body up to this size is held, so that it can be sent again
	hexDigestBytes = 64        // length of a hex SHA-256

	maxDiscardBytes = 16 * 1024 * 1024 // rest of a refused upload that is still read
	discardTimeout  = 2 * time.Second  // time for which it is read
)

// upload is the body of a caller's request: held in memory, or a stream that
// can be sent once.
type upload struct {
	held   []byte
	stream *verified
	length int
	stated string // hex SHA-256 that the caller stated
}

// readUpload checks and, when it is small, reads the body.
func readUpload(ctx *fasthttp.RequestCtx, route *settings.Route, deadline time.Time) (*upload, *reason.Error) {
	u := &upload{length: max(ctx.Request.Header.ContentLength(), unknownLength)}
	if refusal := u.checkHeaders(ctx, route); refusal != nil {
		return nil, refusal
	}
	if ctx.RequestBodyStream() == nil {
		u.held = ctx.Request.Body()
		return u, u.checkHeld()
	}
	_ = ctx.SetReadDeadline(deadline)
	source := newVerified(ctx.RequestBodyStream(), int64(u.length), route.MaxBodyBytes, u.stated)
	if u.length > maxReplayBytes {
		u.stream = source
		return u, nil
	}
	return u, u.hold(source)
}

func (u *upload) checkHeaders(ctx *fasthttp.RequestCtx, route *settings.Route) *reason.Error {
	if int64(u.length) > route.MaxBodyBytes {
		return reason.New(reason.BodyTooLarge, "upload", "", "the body has %d bytes, the route allows %d", u.length, route.MaxBodyBytes)
	}
	if len(ctx.Request.Header.Peek(fasthttp.HeaderTrailer)) > 0 {
		return badRequest("request trailers are not supported")
	}
	u.stated = strings.ToLower(string(ctx.Request.Header.Peek(wire.HeaderBodySHA256)))
	if u.stated == "" {
		return nil
	}
	if _, err := hex.DecodeString(u.stated); err != nil || len(u.stated) != hexDigestBytes {
		return badRequest("%s is not a hex SHA-256", wire.HeaderBodySHA256)
	}
	return nil
}

// hold reads a body that is small, or a chunked one as far as it is small.
func (u *upload) hold(source *verified) *reason.Error {
	var held bytes.Buffer
	_, err := io.CopyN(&held, source, maxReplayBytes+1)
	if errors.Is(err, io.EOF) {
		u.held = held.Bytes()
		u.length = len(u.held)
		return nil
	}
	if err != nil {
		return uploadRefusal(err)
	}
	u.stream = &verified{source: io.MultiReader(&held, source), left: unknownLength, limit: source.limit + int64(held.Len())}
	u.length = unknownLength
	return nil
}

func (u *upload) checkHeld() *reason.Error {
	if u.stated == "" || digestOf(u.held) == u.stated {
		return nil
	}
	return uploadRefusal(errMismatch)
}

// replayable reports that the body can be sent (again).
func (u *upload) replayable() bool { return u.stream == nil || !u.stream.began }

// failed returns why the caller's body could not be read to its end, or nil.
func (u *upload) failed() error {
	if u.stream == nil || u.stream.err == nil || errors.Is(u.stream.err, io.EOF) {
		return nil
	}
	return u.stream.err
}

// attach sets the body of a forwarded request.
func (u *upload) attach(request *fasthttp.Request) {
	if u.stream == nil {
		request.SetBodyRaw(u.held)
		return
	}
	request.SetBodyStream(u.stream, u.length)
}

// identity is what is known of the body before it is sent, for fingerprints.
func (u *upload) identity() string {
	switch {
	case u.stated != "":
		return u.stated
	case u.stream == nil:
		return digestOf(u.held)
	default:
		return "length " + strconv.Itoa(u.length)
	}
}

// discardUpload reads what a refused caller still sends. A connection that is
// closed over unread bytes is reset, and the caller may not see the refusal.
func discardUpload(ctx *fasthttp.RequestCtx) {
	stream := ctx.RequestBodyStream()
	if stream == nil || ctx.Request.Header.ContentLength() > maxDiscardBytes {
		return
	}
	_ = ctx.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, stream, maxDiscardBytes)
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// uploadRefusal tells a caller what is wrong with its body. Nothing was sent on.
func uploadRefusal(err error) *reason.Error {
	return reason.New(uploadCode(err), "upload", "", "%v", err)
}

func uploadCode(err error) reason.Code {
	switch {
	case errors.Is(err, errMismatch):
		return reason.DigestMismatch
	case errors.Is(err, errTooLong):
		return reason.BodyTooLarge
	default:
		return reason.ShortUpload
	}
}

func badRequest(format string, args ...any) *reason.Error {
	return reason.New(reason.BadRequest, "check", "", format, args...)
}
