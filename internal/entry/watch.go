package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/httplink"
)

const watchPeriod = 50 * time.Millisecond // time between two looks at the callers' connections

// errCallerGone is the cause of the end of a request whose caller closed the connection.
var errCallerGone = errors.New("the caller closed the connection")

// callerWatch looks at the connections of callers whose requests take longer
// than one period, and cancels the requests of those that are gone.
type callerWatch struct {
	mu    sync.Mutex
	calls map[*watchedCall]struct{}
	done  chan struct{}
}

type watchedCall struct {
	conn   net.Conn
	cancel context.CancelCauseFunc
	seen   bool // a look has passed since the request came
}

func newCallerWatch() *callerWatch {
	return &callerWatch{calls: map[*watchedCall]struct{}{}, done: make(chan struct{})}
}

func (w *callerWatch) start() { go w.run() }

func (w *callerWatch) stop() { close(w.done) }

// add watches a connection until remove. cancel is called at most once.
func (w *callerWatch) add(conn net.Conn, cancel context.CancelCauseFunc) *watchedCall {
	c := &watchedCall{conn: conn, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[c] = struct{}{}
	return c
}

func (w *callerWatch) remove(c *watchedCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c)
}

func (w *callerWatch) run() {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.look()
		case <-w.done:
			return
		}
	}
}

func (w *callerWatch) look() {
	for _, c := range w.slow() {
		if httplink.Closed(c.conn) {
			c.cancel(errCallerGone)
			w.remove(c)
		}
	}
}

// slow returns the calls that were there at the last look already.
func (w *callerWatch) slow() []*watchedCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	var slow []*watchedCall
	for c := range w.calls {
		if c.seen {
			slow = append(slow, c)
		}
		c.seen = true
	}
	return slow
}
