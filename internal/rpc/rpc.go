// Package rpc carries typed JSON-RPC 2.0 calls between daemons over TCP. It
// keeps one connection per peer and counts messages and bytes in each direction.
package rpc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/creachadair/jrpc2/handler"
	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/netx"
)

// Limits of calls.
const (
	DefaultTimeout = time.Second // of a call whose context has no deadline
	concurrency    = 64          // calls served concurrently on one connection
)

// Method names a remote method.
type Method string

// Server serves the methods that the daemon's services have registered.
type Server struct {
	meter *meter

	mu       sync.Mutex
	methods  handler.Map
	listener net.Listener
	conns    map[net.Conn]*jrpc2.Server
	closed   bool
}

// NewServer returns a server without methods.
func NewServer(registry *metrics.Registry) *Server {
	return &Server{
		meter:   newMeter(registry),
		methods: handler.Map{string(methodCancel): serveCancel},
		conns:   map[net.Conn]*jrpc2.Server{},
	}
}

// Handle registers f as the implementation of a method. It must be called before Serve.
func Handle[Req, Resp any](s *Server, method Method, f func(context.Context, *Req) (*Resp, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.methods[string(method)] = handler.New(f)
}

// Serve accepts connections on the listener and serves them until Close.
func (s *Server) Serve(listener net.Listener) {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	metered := &meteredConn{Conn: conn, meter: s.meter}
	server := jrpc2.NewServer(s.methods, &jrpc2.ServerOptions{Concurrency: concurrency, DisableBuiltin: true})
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = conn.Close()
		return
	}
	s.conns[conn] = server
	s.mu.Unlock()
	_ = server.Start(channel.Line(metered, metered)).Wait()
	_ = conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	listener := s.listener
	conns := make([]net.Conn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// Client calls methods of other daemons. It keeps one connection per address and is
// safe for concurrent use.
type Client struct {
	network *netx.Network
	meter   *meter
	metrics *metrics.Registry

	mu    sync.Mutex
	peers map[string]*peer
}

// NewClient returns a client that dials through network.
func NewClient(network *netx.Network, registry *metrics.Registry) *Client {
	return &Client{network: network, meter: newMeter(registry), metrics: registry, peers: map[string]*peer{}}
}

// RemoteError is the error that the peer returned for a call.
type RemoteError struct {
	Peer    string
	Method  Method
	Message string
}

// Error implements the error interface.
func (e *RemoteError) Error() string {
	return string(e.Method) + " at " + e.Peer + ": " + e.Message
}

// Call calls a method of the peer at address (ip:port). Errors name the method and
// the peer. A *RemoteError means that the peer answered with an error. jrpc2.InternalError
// is the code with which the client itself reports a connection that failed during a call.
// The connection, which other calls share, outlasts a call whose context ends, unless it
// does not work any more.
func Call[Resp, Req any](ctx context.Context, c *Client, address string, method Method, req *Req) (*Resp, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	p := c.peer(address)
	conn, err := p.connect(ctx, c, address)
	if err != nil {
		return nil, errors.Wrapf(err, "%s: dial %s", method, address)
	}
	began := time.Now()
	defer func() { c.duration(method).Update(time.Since(began).Seconds()) }()
	stop := context.AfterFunc(ctx, func() { p.dropBroken(conn, began, ctx.Err()) })
	defer stop()
	resp := new(Resp)
	err = conn.client.CallResult(ctx, string(method), req, resp)
	if err == nil {
		return resp, nil
	}
	var remote *jrpc2.Error
	if errors.As(err, &remote) && remote.Code != jrpc2.InternalError && ctx.Err() == nil {
		return nil, &RemoteError{Peer: address, Method: method, Message: remote.Message}
	}
	if ctx.Err() == nil {
		p.drop(conn)
	}
	return nil, errors.Wrapf(err, "%s: call %s", method, address)
}

// duration returns the histogram of the durations of calls of a method, waits that they ask for
// included.
func (c *Client) duration(method Method) *metrics.Histogram {
	return c.metrics.Histogram(fmt.Sprintf(`control_call_seconds{method=%q}`, method))
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = &peer{}
		c.peers[address] = p
	}
	return p
}

// ClosePeer closes the connection to an address that is no longer in use.
func (c *Client) ClosePeer(address string) {
	c.mu.Lock()
	p, ok := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if ok {
		p.close()
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	peers := c.peers
	c.peers = map[string]*peer{}
	c.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
}
