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

const callConnections = releasesAtOnce + 1 // connections for releases and a check to one server

// errNotListening says that the server does not listen at its address. Its
// process has ended, or works off its last requests before it ends.
var errNotListening = errors.New("keeper: the server does not listen any more")

// calls are the calls about keys to one life of a server.
type calls interface {
	// grant gives or renews a range.
	grant(ctx context.Context, g dialect.Grant) (dialect.GrantOutcome, callResult)
	// release takes a run of keys back. The answer comes when the work on them has ended.
	release(ctx context.Context, timeout time.Duration, from, to int, fence catalog.Fence) callResult
	// check returns nil when the server answers at its address, whatever it says.
	check(ctx context.Context, healthPath string) error
	// close ends the connections on which grants are given.
	close()
}

// caller makes the calls about keys to one life of a server.
type caller struct {
	dialect dialect.Dialect
	server  *catalog.Server
	// grants leads to the process that got the first of them; pool to whatever
	// process listens at the address.
	grants *lineage
	pool   *httplink.Pool
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
	return &caller{dialect: d, server: server, grants: newLineage(server.Address, dial), pool: httplink.NewPool(server.Address, callConnections, dial)}
}

// callResult says what became of a call.
type callResult struct {
	status int
	// sent says that the call may have reached the server.
	sent  bool
	state string
	err   error
}

func (c *caller) do(ctx context.Context, pool *httplink.Pool, timeout time.Duration, fill func(*fasthttp.Request)) (*fasthttp.Response, callResult) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	fill(request)
	request.Header.SetHost(c.server.Address)
	answer := fasthttp.AcquireResponse()
	exchange, failure := pool.Do(ctx, request, answer)
	if failure != nil {
		fasthttp.ReleaseResponse(answer)
		return nil, callResult{sent: failure.Sent, err: dialError(failure)}
	}
	defer exchange.Close()
	if err := exchange.Discard(); err != nil {
		fasthttp.ReleaseResponse(answer)
		return nil, callResult{sent: true, err: err}
	}
	return answer, callResult{sent: true, status: answer.StatusCode()}
}

// dialError tells a refused connection from other failures.
func dialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Wrap(errNotListening, err.Error())
	}
	return err
}

// close implements calls.
func (c *caller) close() {
	c.grants.close()
	c.pool.Close()
}

// grant implements calls.
func (c *caller) grant(ctx context.Context, g dialect.Grant) (dialect.GrantOutcome, callResult) {
	answer, result := c.grants.exchange(ctx, func(pool *httplink.Pool) (*fasthttp.Response, callResult) {
		return c.do(ctx, pool, grantTimeout, func(r *fasthttp.Request) { c.dialect.WriteGrant(r, c.server.ID, g) })
	})
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

// check implements calls.
func (c *caller) check(ctx context.Context, healthPath string) error {
	answer, result := c.do(ctx, c.pool, grantTimeout, func(r *fasthttp.Request) { r.SetRequestURI(healthPath) })
	if result.err != nil {
		return result.err
	}
	defer fasthttp.ReleaseResponse(answer)
	if id := c.dialect.ReadServer(answer).ServerID; id != c.server.ID {
		return errors.Wrapf(errNotListening, "server %s answers at its address", id)
	}
	return nil
}

// release implements calls.
func (c *caller) release(ctx context.Context, timeout time.Duration, from, to int, fence catalog.Fence) callResult {
	answer, result := c.do(ctx, c.pool, timeout, func(r *fasthttp.Request) { c.dialect.WriteRelease(r, c.server.ID, from, to, fence) })
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
