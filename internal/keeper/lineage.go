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
	linesKept  = 2           // connections that lead to one process
	sparePause = time.Second // time between two attempts to open another one
)

// errLineageLost says that no connection is left that surely leads to the process
// that got the grants so far. What listens at its address may be a later life of
// the server, which must not get keys under the fences of an earlier one.
var errLineageLost = errors.New("keeper: no connection to the server's process is left")

// errLineEnded says that a connection was closed while it was not in use.
var errLineEnded = errors.New("keeper: the connection has ended")

// lineage holds connections that lead to one process. The first one is opened for
// fences that no process has had. Another one is known to lead to the same process
// when an earlier one, used after it was opened, still answers.
type lineage struct {
	address string
	dial    httplink.Dial
	turn    chan struct{} // held by the exchange that is under way

	lines   []*line
	begun   bool
	spareAt time.Time // of the last attempt to open a spare one
}

// line is one connection. Its pool never opens a second one.
type line struct {
	pool   *httplink.Pool
	conn   *singleUse
	proven bool
}

func newLineage(address string, dial httplink.Dial) *lineage {
	return &lineage{address: address, dial: dial, turn: make(chan struct{}, 1)}
}

// exchange makes a call on a connection to the process. A call that was sent is
// not made again.
func (l *lineage) exchange(ctx context.Context, call func(*httplink.Pool) (*fasthttp.Response, callResult)) (*fasthttp.Response, callResult) {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, callResult{err: ctx.Err()}
	}
	defer func() { <-l.turn }()
	for {
		current, err := l.current()
		if err != nil {
			return nil, callResult{err: err}
		}
		l.openSpare()
		answer, result := call(current.pool)
		if result.err == nil {
			l.prove(current)
			return answer, result
		}
		l.drop(current)
		if result.sent || ctx.Err() != nil {
			l.dropUnproven()
			return answer, result
		}
	}
}

// current returns the connection for the next call.
func (l *lineage) current() (*line, error) {
	if len(l.lines) > 0 && l.lines[0].proven {
		return l.lines[0], nil
	}
	l.dropUnproven()
	if l.begun {
		return nil, errLineageLost
	}
	first, err := l.open()
	if err != nil {
		return nil, dialError(err)
	}
	l.begun = true
	first.proven = true
	l.lines = append(l.lines, first)
	return first, nil
}

func (l *lineage) open() (*line, error) {
	conn, err := l.dial(l.address)
	if err != nil {
		return nil, err
	}
	once := &singleUse{conn: conn}
	return &line{pool: httplink.NewPool(l.address, 1, once.take), conn: once}, nil
}

// openSpare opens another connection, so that the process is still reached when
// the server closes one. Without it the next closing costs new fences.
func (l *lineage) openSpare() {
	if len(l.lines) >= linesKept || time.Since(l.spareAt) < sparePause {
		return
	}
	l.spareAt = time.Now()
	if spare, err := l.open(); err == nil {
		l.lines = append(l.lines, spare)
	}
}

// prove notes that a connection answered: all that were open before lead to the
// same process. They take turns, so that none is idle for long.
func (l *lineage) prove(used *line) {
	for _, other := range l.lines {
		other.proven = true
	}
	if len(l.lines) > 1 && l.lines[0] == used {
		l.lines = append(l.lines[1:], used)
	}
}

func (l *lineage) drop(ended *line) {
	ended.close()
	var left []*line
	for _, other := range l.lines {
		if other != ended {
			left = append(left, other)
		}
	}
	l.lines = left
}

func (l *lineage) dropUnproven() {
	for _, other := range l.lines {
		if !other.proven {
			l.drop(other)
		}
	}
}

// close ends all connections.
func (l *lineage) close() {
	l.turn <- struct{}{}
	defer func() { <-l.turn }()
	l.begun = true
	for _, other := range l.lines {
		l.drop(other)
	}
}

func (l *line) close() {
	l.pool.Close()
	l.conn.close()
}

// singleUse gives an open connection away once.
type singleUse struct {
	mu   sync.Mutex
	conn net.Conn
}

func (s *singleUse) take(string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return nil, errLineEnded
	}
	conn := s.conn
	s.conn = nil
	return conn, nil
}

func (s *singleUse) close() {
	if conn, err := s.take(""); err == nil {
		_ = conn.Close()
	}
}
