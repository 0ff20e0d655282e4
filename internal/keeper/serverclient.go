package keeper

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/netx"
)

const maxCallConnections = maxConcurrentReleases + 1 // per server: one for each release and one for a probe

// errNotListening says that the server is not listening at its address. Its process
// has ended, or is finishing its last requests before it exits.
var errNotListening = errors.New("keeper: server is not listening at its address")

// serverClient makes the calls about keys to one process of a server.
type serverClient interface {
	// grant gives or renews a grant of a key range.
	grant(ctx context.Context, g dialect.Grant) (dialect.GrantOutcome, callResult)
	// release revokes the grants of a key range. The server answers when its work on
	// these keys has ended.
	release(ctx context.Context, timeout time.Duration, from, to int, fence catalog.Fence) callResult
	// probe returns nil if the server answers at its address, with any status.
	probe(ctx context.Context, healthPath string) error
	// close closes all connections.
	close()
}

// httpClient is the serverClient that calls over HTTP.
type httpClient struct {
	dialect dialect.Dialect
	server  *catalog.Server
	// backends keeps what responses say about further requests to the server.
	backends *backends.Backends
	// grantConns lead to the process that received the first grant, pool to any
	// process that listens at the address.
	grantConns *processConns
	// pool has connections that carry one call each.
	pool *httplink.Pool
}

func newHTTPClient(d dialect.Dialect, network *netx.Network, server *catalog.Server, b *backends.Backends) *httpClient {
	dial := func(address string) (net.Conn, error) {
		conn, err := network.Dial(address)
		if err != nil {
			return nil, err
		}
		// Data that is still unsent when the connection is closed must not be delivered later.
		if tcp, ok := conn.(interface{ NetConn() *net.TCPConn }); ok {
			_ = tcp.NetConn().SetLinger(0)
		}
		return conn, nil
	}
	return &httpClient{
		dialect: d, server: server, backends: b,
		grantConns: newProcessConns(server.Address, dial), pool: httplink.NewPool(server.Address, maxCallConnections, dial),
	}
}

// callResult is the outcome of a call. Its status is valid if err is nil.
type callResult struct {
	status int
	// sent says that the call may have reached the server.
	sent bool
	// connSpent says that the connection must not carry another call.
	connSpent bool
	// state names what the server handed over in a release; empty if nothing.
	state string
	err   error
}

// do makes one call. It returns a response, which must be released, only if the result
// has no error. Responses do not say to which call they belong, and a server may send one twice:
// the second copy would be taken for the response to the next call on the connection. mayReuse
// says for the status of a response whether that does no harm; else the connection is closed.
func (c *httpClient) do(ctx context.Context, pool *httplink.Pool, timeout time.Duration, mayReuse func(status int) bool, fill func(*fasthttp.Request)) (*fasthttp.Response, callResult) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	fill(request)
	request.Header.SetHost(c.server.Address)
	response := fasthttp.AcquireResponse()
	exchange, failure := pool.Do(ctx, request, response)
	if failure != nil {
		fasthttp.ReleaseResponse(response)
		return nil, callResult{sent: failure.Sent, err: dialError(failure)}
	}
	defer exchange.Close()
	spent := !mayReuse(response.StatusCode())
	if spent {
		exchange.DoNotReuse()
	}
	signs := c.dialect.ReadServerResponse(response)
	c.backends.RecordSigns(c.server, "", &signs)
	if err := discardBody(exchange); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, callResult{sent: true, err: err}
	}
	return response, callResult{sent: true, connSpent: spent, status: response.StatusCode()}
}

// maxBodyBytes is the size limit of the body of a response to a call, which is not used.
const maxBodyBytes = 64 << 10

var errBodyTooLarge = errors.Errorf("keeper: body of the response exceeds %d bytes", maxBodyBytes)

// discardBody reads the body of a response. It fails if that ends early or is too large, and
// then closes the connection.
func discardBody(exchange *httplink.Exchange) error {
	_, err := io.CopyN(io.Discard, exchange, maxBodyBytes+1)
	if errors.Is(err, io.EOF) {
		return nil
	}
	exchange.Abort()
	if err == nil {
		return errBodyTooLarge
	}
	return err
}

// never is the mayReuse of calls whose response decides alone: releases and probes.
func never(int) bool { return false }

// mayReuseAfterGrant keeps the connections whose grants were all accepted. A copy of such a
// response can only hide that a later grant was not: the keeper then takes the server to hold
// keys for longer than it does.
func (c *httpClient) mayReuseAfterGrant(status int) bool {
	return c.dialect.ReadGrantResponse(status) == dialect.GrantAccepted
}

// dialError wraps a refused connection in errNotListening and returns other errors
// unchanged.
func dialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Wrap(errNotListening, err.Error())
	}
	return err
}

// close implements serverClient.
func (c *httpClient) close() {
	c.grantConns.close()
	c.pool.Close()
}

// grant implements serverClient.
func (c *httpClient) grant(ctx context.Context, g dialect.Grant) (dialect.GrantOutcome, callResult) {
	response, result := c.grantConns.exchange(ctx, func(pool *httplink.Pool) (*fasthttp.Response, callResult) {
		return c.do(ctx, pool, grantTimeout, c.mayReuseAfterGrant, func(r *fasthttp.Request) { c.dialect.WriteGrant(r, c.server.ID, g) })
	})
	if result.err != nil {
		return dialect.GrantUnknown, result
	}
	defer fasthttp.ReleaseResponse(response)
	outcome := c.dialect.ReadGrantResponse(result.status)
	if outcome == dialect.GrantMisdirected {
		result.err = errors.Wrap(errNotListening, "another server answered the grant at its address")
	}
	return outcome, result
}

// probe implements serverClient. It does not ask a server that asked for a pause.
func (c *httpClient) probe(ctx context.Context, healthPath string) error {
	if pause := c.backends.Paused(c.server, time.Now()); pause != nil {
		return pause
	}
	response, result := c.do(ctx, c.pool, grantTimeout, never, func(r *fasthttp.Request) { r.SetRequestURI(healthPath) })
	if result.err != nil {
		return result.err
	}
	defer fasthttp.ReleaseResponse(response)
	if id := c.dialect.ReadServerResponse(response).ServerID; id != c.server.ID {
		return errors.Wrapf(errNotListening, "server %s answered at the address of %s", id, c.server.ID)
	}
	return nil
}

// release implements serverClient.
func (c *httpClient) release(ctx context.Context, timeout time.Duration, from, to int, fence catalog.Fence) callResult {
	response, result := c.do(ctx, c.pool, timeout, never, func(r *fasthttp.Request) { c.dialect.WriteRelease(r, c.server.ID, from, to, fence) })
	if result.err != nil {
		return result
	}
	defer fasthttp.ReleaseResponse(response)
	state, ok := c.dialect.ReadReleaseResponse(response)
	result.state = state
	if !ok {
		result.err = errors.Errorf("server %s answered the release of keys %d to %d with status %d", c.server.ID, from, to, result.status)
	}
	return result
}
