package httplink

import "github.com/pkg/errors"

// Stage is the part of an exchange in which it failed.
type Stage string

// Stages of an exchange.
const (
	StageDial  Stage = "dial"
	StageWrite Stage = "write"
	StageRead  Stage = "read"
	StageBody  Stage = "body"
)

// Failure describes a failed exchange.
type Failure struct {
	Stage Stage
	Peer  string
	// Sent says whether a byte of the request may have reached the peer.
	Sent bool
	// ShortUpload says whether the request's body ended early, before it was sent completely.
	ShortUpload bool
	Err         error
}

// Error implements the error interface.
func (f *Failure) Error() string {
	return string(f.Stage) + " " + f.Peer + ": " + f.Err.Error()
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// Errors of an exchange.
var (
	// ErrPoolFull is returned if as many connections to the peer as allowed are in use.
	ErrPoolFull = errors.New("httplink: all allowed connections to the peer are in use")
	// ErrUnframed is returned for a response with neither a length nor chunked
	// encoding: a truncated one could not be distinguished from a complete one.
	ErrUnframed = errors.New("httplink: response has neither a length nor chunked encoding")
	// ErrRequestNotTaken is returned if the peer ended the connection, and with it a response
	// without another end, before it had taken the whole request.
	ErrRequestNotTaken = errors.New("httplink: peer ended its response before it had taken the whole request")
	// ErrStatusLine is returned for bytes that do not begin a response, or one with a status
	// that HTTP does not define or the request did not ask for.
	ErrStatusLine = errors.New("httplink: no valid status line")
	// ErrHead is returned for bytes in the head of a response that HTTP does not allow there.
	ErrHead = errors.New("httplink: malformed response head")
	// ErrFraming is returned for a response whose head leaves open where its body ends.
	ErrFraming = errors.New("httplink: response with contradictory framing")
	// ErrClosed is returned for a read of a response body after its exchange was closed.
	ErrClosed = errors.New("httplink: exchange is closed")
	// ErrInterim is returned for too many interim responses.
	ErrInterim = errors.New("httplink: too many interim responses")
)
