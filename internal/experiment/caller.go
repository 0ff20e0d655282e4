package experiment

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// callerConnections bounds the connections of an experiment's callers to one address.
const callerConnections = 4096

// caller sends HTTP requests as the system's callers do. It never retries.
type caller struct {
	client  *fasthttp.Client
	timeout time.Duration
}

func newCaller(timeout time.Duration) *caller {
	return &caller{
		timeout: timeout,
		client: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxConnsPerHost:           callerConnections,
		},
	}
}

// callResult is the outcome of one request. The zero value means that no complete response
// was received.
type callResult struct {
	ok     bool
	server string
	// reason is the reason code of a daemon's refusal; otherwise empty.
	reason reason.Code
	// notRun is set when the response says that the request was refused without being run.
	notRun bool
}

// get sends a GET request and reads the whole response.
func (c *caller) get(address, path string) callResult {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	if err := c.client.DoTimeout(request, response, c.timeout); err != nil {
		return callResult{}
	}
	return callResult{
		ok:     response.StatusCode() == fasthttp.StatusOK,
		server: string(response.Header.Peek(wire.HeaderServer)),
		reason: reason.Code(response.Header.Peek(wire.HeaderReason)),
		notRun: len(response.Header.Peek(wire.HeaderNotRun)) > 0,
	}
}
