// Package dialect defines the interface between the daemon and the conventions of
// its environment: which HTTP headers callers and backend servers use, how a
// server is granted ownership of keys, and how the records in the platform's store
// are encoded. An adapter implements it for one environment.
package dialect

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// NoKey is the value of CallerRequest.Key for a request without a key.
const NoKey = -1

// CallerRequest holds the information in the headers of a caller's request.
type CallerRequest struct {
	ID model.RequestID
	// Timeout is the time for which the caller waits for a response, or zero if the
	// request does not state it.
	Timeout time.Duration
	// Key is the key that the request is for, or NoKey.
	Key int
}

// Load is the load that a server reports: the numbers of its running and waiting
// requests and of its slots.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes at the moment on the machine that the server shares
	// with others, relative to the usual time: 1 is as usual. Zero if not stated.
	Slowness float64
}

// ServerResponse holds the information in the status and headers of a server's
// response.
type ServerResponse struct {
	// ID is the request that the response is for, or empty if not stated.
	ID model.RequestID
	// Signed says that the response has a server signature. Without one, it may
	// come from something other than the server.
	Signed bool
	// NotRun says that the server did not run the request.
	NotRun bool
	// Misdirected says that the request was for another server or that the server
	// does not own the key. The request did not run.
	Misdirected bool
	// ServerID is the id of the server that responded, or empty if not stated.
	ServerID model.ServerID
	// Load is valid if HasLoad is set.
	Load    Load
	HasLoad bool
	// WarmUpLeft is the time for which the server stays cold. It is valid if HasWarmUp is
	// set; only responses to health checks state it.
	WarmUpLeft time.Duration
	HasWarmUp  bool
	// IdleTimeout is the time after which the server closes an idle connection, or
	// zero if not stated.
	IdleTimeout time.Duration
	// Leaving says that the server is about to shut down.
	Leaving bool
	// HasPause says that the server rejected the request and wants none for the time
	// Pause. PauseErr says why the time, or one of several, could not be read; Pause is
	// valid all the same.
	HasPause bool
	Pause    time.Duration
	PauseErr error
}

// Grant permits a server to run the requests of a range of keys for a limited time.
type Grant struct {
	From, To int // keys, both inclusive
	// Fence is the fencing token by which the server rejects outdated grants.
	Fence catalog.Fence
	// Duration is the time for which the permission lasts, counted from the arrival
	// of the grant at the server.
	Duration time.Duration
	// State identifies the state that the range's last owner handed over, or is
	// empty if it handed over none.
	State string
}

// GrantOutcome is the result of a grant, as the server reports it.
type GrantOutcome int

// Outcomes of a grant.
const (
	GrantAccepted GrantOutcome = iota
	// GrantStale says that the server has seen a higher fence for a key of the range.
	GrantStale
	// GrantMisdirected says that the grant reached another server than the one that
	// it is for.
	GrantMisdirected
	// GrantRefused says that the server, or another one at its address, did not accept the
	// grant for another reason.
	GrantRefused
	// GrantUnknown says that the server may have accepted the grant.
	GrantUnknown
)

// Dialect encodes and decodes the messages exchanged with callers and servers, and
// decodes the records of the store.
type Dialect interface {
	// ReadCallerRequest decodes the headers of a caller's request.
	ReadCallerRequest(h *fasthttp.RequestHeader) CallerRequest
	// WriteServerRequest sets the headers of a request to a server: the time that
	// remains until the request times out and, unless empty, the server that must
	// run it.
	WriteServerRequest(h *fasthttp.RequestHeader, remaining time.Duration, expected model.ServerID)
	// ReadServerResponse decodes the status and headers of a server's response.
	ReadServerResponse(resp *fasthttp.Response) ServerResponse
	// StripResponse removes the headers that are for the daemon only from a response
	// to a caller.
	StripResponse(h *fasthttp.ResponseHeader)
	// SetRequestID sets the id of the request on a response that the daemon itself
	// generates.
	SetRequestID(h *fasthttp.ResponseHeader, id model.RequestID)

	// WriteGrant encodes the request that sends a grant to a server.
	WriteGrant(req *fasthttp.Request, server model.ServerID, g Grant)
	// ReadGrantResponse returns the outcome that the HTTP status of the response to
	// a grant stands for.
	ReadGrantResponse(status int) GrantOutcome
	// WriteRelease encodes the request that ends the grant of the keys from to to,
	// both inclusive.
	WriteRelease(req *fasthttp.Request, server model.ServerID, from, to int, fence catalog.Fence)
	// ReadReleaseResponse decodes the response to a release. It returns the
	// identifier of the state that the server handed over, if any, and whether the
	// server accepted the release.
	ReadReleaseResponse(resp *fasthttp.Response) (state string, ok bool)

	// DecodeConfiguration decodes the operators' configuration of the fleet.
	DecodeConfiguration(r platform.Record) (*catalog.Configuration, error)
	// DecodeServer decodes the registration of a server that was read at time now.
	DecodeServer(r platform.Record, now time.Time) (*catalog.Server, error)
	// IsConfiguration reports whether name is the name of the record that holds the
	// configuration in force.
	IsConfiguration(name string) bool
	// EvacuatedZone returns the availability zone whose evacuation the record of that name
	// asks for, or false for another record.
	EvacuatedZone(name string) (model.Zone, bool)
	// ReadinessPath returns the HTTP path of the load balancer's readiness checks.
	ReadinessPath() string
}
