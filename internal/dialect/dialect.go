// Package dialect defines what the system must know of the way in which callers
// and backend servers speak: which header carries what, and how a server is told
// which keys it owns. An adapter implements it.
package dialect

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// NoKey marks a request without a key.
const NoKey = -1

// CallerRequest is what the headers of a caller's request say.
type CallerRequest struct {
	ID model.RequestID
	// Timeout is the time for which the caller waits; zero when it does not say.
	Timeout time.Duration
	// Key is the key that the request concerns, or NoKey.
	Key int
}

// Load is a server's word on its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ServerResponse is what the headers of a server's answer say.
type ServerResponse struct {
	// ID is the request that the answer is for; empty when the server does not say.
	ID model.RequestID
	// Signed says that the answer bears the server's signature.
	Signed bool
	// NotRun says that the server did not run the request.
	NotRun bool
	// Misdirected says that another server was expected or that the server does
	// not own the key; the request did not run.
	Misdirected bool
	// ServerID is the id of the server that answered, where it says so.
	ServerID model.ServerID
	Load     Load
	HasLoad  bool
	// IdleTimeout is how long the server keeps an idle connection; zero when unsaid.
	IdleTimeout time.Duration
}

// Grant permits a server to run the requests of a range of keys.
type Grant struct {
	From, To int // inclusive
	Fence    catalog.Fence
	// Duration is the time, from the arrival of the call, for which the permission lasts.
	Duration time.Duration
	// State names what the range's last owner handed over; empty when it did not.
	State string
}

// GrantOutcome is a server's answer to a grant.
type GrantOutcome int

// Outcomes of a grant.
const (
	GrantAccepted GrantOutcome = iota
	// GrantStale says that the server has seen a higher fence.
	GrantStale
	// GrantMisdirected says that another server answers at the address.
	GrantMisdirected
	// GrantRefused says that the server can't take the grant.
	GrantRefused
)

// Dialect translates between the system and callers, servers and the store.
type Dialect interface {
	// ReadCallerRequest decodes the headers of a caller's request.
	ReadCallerRequest(h *fasthttp.RequestHeader) CallerRequest
	// WriteServerRequest sets the headers of a request to a server: the time left to it
	// and, unless empty, the server that must run it.
	WriteServerRequest(h *fasthttp.RequestHeader, left time.Duration, expected model.ServerID)
	// ReadServerResponse decodes the headers of a server's answer.
	ReadServerResponse(resp *fasthttp.Response) ServerResponse
	// StripResponse removes the headers that only the system reads.
	StripResponse(h *fasthttp.ResponseHeader)
	// SetRequestID sets the id of the request on an answer of the system's own.
	SetRequestID(h *fasthttp.ResponseHeader, id model.RequestID)

	// WriteGrant and ReadGrant encode a grant for a server and decode its answer.
	WriteGrant(req *fasthttp.Request, server model.ServerID, g Grant)
	ReadGrantResponse(status int) GrantOutcome
	// WriteRelease and ReadRelease encode the end of a grant and decode the
	// answer: the name of the state that was handed over.
	WriteRelease(req *fasthttp.Request, server model.ServerID, from, to int, fence catalog.Fence)
	ReadReleaseResponse(resp *fasthttp.Response) (state string, ok bool)

	// DecodeConfiguration decodes an operator's configuration.
	DecodeConfiguration(r platform.Record) (*catalog.Configuration, error)
	// DecodeServer decodes a registration. now is the time at which it was learned.
	DecodeServer(r platform.Record, now time.Time) (*catalog.Server, error)
	// IsConfiguration reports that the record holds the configuration in force.
	IsConfiguration(name string) bool
	// ReadinessPath is the path at which the balancer asks for readiness.
	ReadinessPath() string
}
