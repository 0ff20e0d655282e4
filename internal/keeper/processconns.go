package keeper

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/httplink"
)

const (
	maxProcessConns = 2           // connections to one process
	spareDialPeriod = time.Second // between two attempts to open a spare connection
)

// errProcessConnsLost says that no connection is left that certainly leads to the
// process that received the grants so far. The process that listens at the address
// may be a later one of the server, which must not get keys under the fences of an
// earlier one.
var errProcessConnsLost = errors.New("keeper: no connection to the server's process is left")

// errConnClosed says that a connection was closed while it was idle.
var errConnClosed = errors.New("keeper: connection was closed while it was idle")

// processConns holds connections that lead to one process of a server, and not to a
// later process at the same address. The first connection is opened for fences that
// no process has received yet. A further one leads to the same process if an earlier
// connection still answers a call that was made after the further one was opened: it
// is then verified, and may be used for grants.
type processConns struct {
	address string
	dial    httplink.Dial
	sem     chan struct{} // semaphore of one, held during an exchange and by close

	conns         []*processConn
	opened        bool      // no further first connection may be opened: there was one, or close was called
	spareDialedAt time.Time // of the last attempt to open a spare connection
}

// processConn is one connection. Its pool never opens a second one.
type processConn struct {
	pool     *httplink.Pool
	conn     *singleUseConn
	verified bool // certainly leads to the process that received the first grant
}

func newProcessConns(address string, dial httplink.Dial) *processConns {
	return &processConns{address: address, dial: dial, sem: make(chan struct{}, 1)}
}

// exchange makes a call on a verified connection. If it fails before the call was
// sent, the call is made again on another connection; a call that may have been sent
// is not repeated.
func (p *processConns) exchange(ctx context.Context, call func(*httplink.Pool) (*fasthttp.Response, callResult)) (*fasthttp.Response, callResult) {
	select {
	case p.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, callResult{err: ctx.Err()}
	}
	defer func() { <-p.sem }()
	for {
		current, err := p.current()
		if err != nil {
			return nil, callResult{err: err}
		}
		p.openSpare()
		response, result := call(current.pool)
		if result.err == nil {
			p.markVerified(current)
			if result.connSpent {
				p.drop(current)
				p.spareDialedAt = time.Time{} // the spare connection takes its place, and a new one is needed
			}
			return response, result
		}
		p.drop(current)
		if result.sent || ctx.Err() != nil {
			p.dropUnverified()
			return response, result
		}
	}
}

// current returns the connection for the next call. It opens the first one, and
// returns errProcessConnsLost when no verified one is left after that.
func (p *processConns) current() (*processConn, error) {
	if len(p.conns) > 0 && p.conns[0].verified {
		return p.conns[0], nil
	}
	p.dropUnverified()
	if p.opened {
		return nil, errProcessConnsLost
	}
	first, err := p.open()
	if err != nil {
		return nil, dialError(err)
	}
	p.opened = true
	first.verified = true
	p.conns = append(p.conns, first)
	return first, nil
}

func (p *processConns) open() (*processConn, error) {
	conn, err := p.dial(p.address)
	if err != nil {
		return nil, err
	}
	once := &singleUseConn{conn: conn}
	return &processConn{pool: httplink.NewPool(p.address, 1, once.take), conn: once}, nil
}

// openSpare opens another connection, so that the process can still be reached when
// the server closes one. Without a spare connection the server would then need new
// fences.
func (p *processConns) openSpare() {
	if len(p.conns) >= maxProcessConns || time.Since(p.spareDialedAt) < spareDialPeriod {
		return
	}
	p.spareDialedAt = time.Now()
	if spare, err := p.open(); err == nil {
		p.conns = append(p.conns, spare)
	}
}

// markVerified records that a connection answered a call: all connections that were
// opened before the call lead to the same process. The connections are used in turn,
// so that none is idle for long.
func (p *processConns) markVerified(used *processConn) {
	for _, other := range p.conns {
		other.verified = true
	}
	if len(p.conns) > 1 && p.conns[0] == used {
		p.conns = append(p.conns[1:], used)
	}
}

func (p *processConns) drop(closed *processConn) {
	closed.close()
	var left []*processConn
	for _, other := range p.conns {
		if other != closed {
			left = append(left, other)
		}
	}
	p.conns = left
}

func (p *processConns) dropUnverified() {
	for _, other := range p.conns {
		if !other.verified {
			p.drop(other)
		}
	}
}

// close closes all connections. It waits for an exchange in progress.
func (p *processConns) close() {
	p.sem <- struct{}{}
	defer func() { <-p.sem }()
	p.opened = true
	for _, other := range p.conns {
		p.drop(other)
	}
}

func (c *processConn) close() {
	c.pool.Close()
	c.conn.close()
}

// singleUseConn hands an open connection to a pool once, so that the pool can't open
// another one that may lead to a different process.
type singleUseConn struct {
	mu   sync.Mutex
	conn net.Conn
}

func (s *singleUseConn) take(string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return nil, errConnClosed
	}
	conn := s.conn
	s.conn = nil
	return conn, nil
}

func (s *singleUseConn) close() {
	if conn, err := s.take(""); err == nil {
		_ = conn.Close()
	}
}
