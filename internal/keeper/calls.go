package keeper

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/netx"
)

const callConnections = 2 * releasesAtOnce // connections for calls to one server

// errNotListening says that the server does not listen at its address. Its
// process has ended, or works off its last requests before it ends.
var errNotListening = errors.New("keeper: the server does not listen any more")

// caller makes the calls about keys to one life of a server.
type caller struct {
	dialect dialect.Dialect
	server  *catalog.Server
	pool    *httplink.Pool
}

func newCaller(d dialect.Dialect, network *netx.Network, server *catalog.Server) *caller {
	dial := func(address string) (net.Conn, error) {
		conn, err := network.Dial(address)
		if err != nil {
			return nil, err
		}
		// A connection that is given up must not deliver later what it still holds.
		if tcp, ok := conn.(interface{ NetConn() *net.TCPConn }); ok {
			_ = tcp.NetConn().SetLinger(0)
		}
		return conn, nil
	}
	return &caller{dialect: d, server: server, pool: httplink.NewPool(server.Address, callConnections, dial)}
}

// callResult says what became of a call.
type callResult struct {
	status int
	// sent says that the call may have reached the server.
	sent  bool
	state string
	err   error
}

func (c *caller) do(ctx context.Context, timeout time.Duration, fill func(*fasthttp.Request)) (*fasthttp.Response, callResult) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	fill(request)
	request.Header.SetHost(c.server.Address)
	answer := fasthttp.AcquireResponse()
	exchange, failure := c.pool.Do(ctx, request, answer)
	if failure != nil {
		fasthttp.ReleaseResponse(answer)
		err := error(failure)
		if failure.Stage == httplink.StageDial && errors.Is(failure, syscall.ECONNREFUSED) {
			err = errors.Wrap(errNotListening, failure.Error())
		}
		return nil, callResult{sent: failure.Sent, err: err}
	}
	defer exchange.Close()
	if err := exchange.Discard(); err != nil {
		fasthttp.ReleaseResponse(answer)
		return nil, callResult{sent: true, err: err}
	}
	return answer, callResult{sent: true, status: answer.StatusCode()}
}

// grant gives or renews a range.
func (c *caller) grant(ctx context.Context, g dialect.Grant) (dialect.GrantOutcome, callResult) {
	answer, result := c.do(ctx, grantTimeout, func(r *fasthttp.Request) { c.dialect.WriteGrant(r, c.server.ID, g) })
	if result.err != nil {
		return dialect.GrantRefused, result
	}
	defer fasthttp.ReleaseResponse(answer)
	outcome := c.dialect.ReadGrant(result.status)
	if outcome == dialect.GrantElsewhere {
		result.err = errors.Wrap(errNotListening, "another server answers at its address")
	}
	return outcome, result
}

// check returns nil when the server answers at its address, whatever it says.
func (c *caller) check(ctx context.Context, healthPath string) error {
	answer, result := c.do(ctx, grantTimeout, func(r *fasthttp.Request) { r.SetRequestURI(healthPath) })
	if result.err != nil {
		return result.err
	}
	defer fasthttp.ReleaseResponse(answer)
	if id := c.dialect.ReadServer(answer).ServerID; id != c.server.ID {
		return errors.Wrapf(errNotListening, "server %s answers at its address", id)
	}
	return nil
}

// release takes a run of keys back. The answer comes when the work on them has ended.
func (c *caller) release(ctx context.Context, timeout time.Duration, from, to int, fence catalog.Fence) callResult {
	answer, result := c.do(ctx, timeout, func(r *fasthttp.Request) { c.dialect.WriteRelease(r, c.server.ID, from, to, fence) })
	if result.err != nil {
		return result
	}
	defer fasthttp.ReleaseResponse(answer)
	state, ok := c.dialect.ReadRelease(answer)
	result.state = state
	if !ok {
		result.err = errors.Errorf("release answered with status %d", result.status)
	}
	return result
}
