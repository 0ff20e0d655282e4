package experiment

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// callerConnections bounds the connections of an experiment's callers to one address.
const callerConnections = 4096

// caller sends requests as callers do, each once.
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

// answer is what a caller got.
type answer struct {
	ok     bool
	server string
	// reason is set on refusals by a daemon.
	reason reason.Code
	// notRun says that a server refused the request without running it.
	notRun bool
}

// get sends a GET request and reads the whole answer.
func (c *caller) get(address, path string) answer {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	if err := c.client.DoTimeout(request, response, c.timeout); err != nil {
		return answer{}
	}
	return answer{
		ok:     response.StatusCode() == fasthttp.StatusOK,
		server: string(response.Header.Peek(wire.HeaderServer)),
		reason: reason.Code(response.Header.Peek(wire.HeaderReason)),
		notRun: len(response.Header.Peek(wire.HeaderNotRun)) > 0,
	}
}
