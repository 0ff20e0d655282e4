package httplink

import "github.com/pkg/errors"

// Stage names the part of an exchange in which it failed.
type Stage string

// Stages.
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
	// Sent says that a byte of the request may have reached the peer.
	Sent bool
	// ShortUpload says that the request body ended early on the caller's side.
	ShortUpload bool
	Err         error
}

// Error implements the error interface.
func (f *Failure) Error() string {
	return string(f.Stage) + " " + f.Peer + ": " + f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Errors of an exchange.
var (
	// ErrPoolFull says that all connections to the peer are in use.
	ErrPoolFull = errors.New("httplink: all connections in use")
	// ErrUnframed says that an answer has neither a length nor chunks, so that
	// a short one could not be told from a whole one.
	ErrUnframed = errors.New("httplink: answer without length")
)
