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
	maxBufferedUploadBytes = 64 * 1024 // a body up to this size is buffered, so that it can be sent again
	hexSHA256Length        = 64        // characters

	maxDiscardBytes = 16 * 1024 * 1024 // of a refused upload, at most this much is still read
	discardTimeout  = 2 * time.Second  // limit for reading it
)

// upload is the body of a caller's request. It is either buffered in memory, or a
// stream that can be sent only once.
type upload struct {
	buffered     []byte
	stream       *verifyingReader
	length       int    // bytes, or unknownLength
	statedSHA256 string // hex SHA-256 that the caller stated
}

// readUpload validates the headers that describe the body and reads the body into
// memory if it is small.
func readUpload(ctx *fasthttp.RequestCtx, route *settings.Route, deadline time.Time) (*upload, *reason.Error) {
	u := &upload{length: max(ctx.Request.Header.ContentLength(), unknownLength)}
	if refusal := u.checkHeaders(ctx, route); refusal != nil {
		return nil, refusal
	}
	if ctx.RequestBodyStream() == nil {
		u.buffered = ctx.Request.Body()
		return u, u.verifyBuffered()
	}
	_ = ctx.SetReadDeadline(deadline)
	source := newVerifyingReader(ctx.RequestBodyStream(), int64(u.length), route.MaxBodyBytes, u.statedSHA256)
	if u.length > maxBufferedUploadBytes {
		u.stream = source
		return u, nil
	}
	return u, u.buffer(source)
}

func (u *upload) checkHeaders(ctx *fasthttp.RequestCtx, route *settings.Route) *reason.Error {
	if int64(u.length) > route.MaxBodyBytes {
		return reason.New(reason.BodyTooLarge, "upload", "", "the body has %d bytes, the route allows %d", u.length, route.MaxBodyBytes)
	}
	if len(ctx.Request.Header.Peek(fasthttp.HeaderTrailer)) > 0 {
		return badRequest("request trailers are not supported")
	}
	u.statedSHA256 = strings.ToLower(string(ctx.Request.Header.Peek(wire.HeaderBodySHA256)))
	if u.statedSHA256 == "" {
		return nil
	}
	if _, err := hex.DecodeString(u.statedSHA256); err != nil || len(u.statedSHA256) != hexSHA256Length {
		return badRequest("%s is not a hex SHA-256", wire.HeaderBodySHA256)
	}
	return nil
}

// buffer reads a small body, or the start of a chunked one. A chunked body that is
// larger than the limit becomes a stream of the buffered start and the rest.
func (u *upload) buffer(source *verifyingReader) *reason.Error {
	var content bytes.Buffer
	_, err := io.CopyN(&content, source, maxBufferedUploadBytes+1)
	if errors.Is(err, io.EOF) {
		u.buffered = content.Bytes()
		u.length = len(u.buffered)
		return nil
	}
	if err != nil {
		return uploadRefusal(err)
	}
	u.stream = &verifyingReader{source: io.MultiReader(&content, source), remaining: unknownLength, allowance: source.allowance + int64(content.Len())}
	u.length = unknownLength
	return nil
}

func (u *upload) verifyBuffered() *reason.Error {
	if u.statedSHA256 == "" || digestOf(u.buffered) == u.statedSHA256 {
		return nil
	}
	return uploadRefusal(errDigestMismatch)
}

// resendable reports whether the body can still be sent from its start.
func (u *upload) resendable() bool { return u.stream == nil || !u.stream.started }

// readError returns the error at which reading the caller's body stopped, or nil.
func (u *upload) readError() error {
	if u.stream == nil || u.stream.err == nil || errors.Is(u.stream.err, io.EOF) {
		return nil
	}
	return u.stream.err
}

// attach sets the body of a forwarded request.
func (u *upload) attach(request *fasthttp.Request) {
	if u.stream == nil {
		request.SetBodyRaw(u.buffered)
		return
	}
	request.SetBodyStream(u.stream, u.length)
}

// contentID identifies the body for fingerprints by what is available before it is
// sent: its SHA-256, or only its length for a stream without a stated SHA-256.
func (u *upload) contentID() string {
	switch {
	case u.statedSHA256 != "":
		return u.statedSHA256
	case u.stream == nil:
		return digestOf(u.buffered)
	default:
		return "length " + strconv.Itoa(u.length)
	}
}

// discardUpload reads and discards the rest of a refused upload. Closing a
// connection with unread bytes resets it, and the caller might not receive the
// refusal.
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

// uploadRefusal returns the refusal for a body that is too large, incomplete or
// does not match its stated SHA-256. Its outcome is "not run"; once part of the body
// was forwarded, the caller of uploadRefusal sets another.
func uploadRefusal(err error) *reason.Error {
	return reason.New(uploadCode(err), "upload", "", "%v", err)
}

func uploadCode(err error) reason.Code {
	switch {
	case errors.Is(err, errDigestMismatch):
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
