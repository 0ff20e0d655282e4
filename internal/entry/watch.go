package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/httplink"
)

const watchPeriod = 50 * time.Millisecond // time between two looks at the calls in progress

// errCallerGone is the cause of the end of a call whose caller closed the connection.
var errCallerGone = errors.New("the caller closed the connection")

// callWatch looks at the calls in progress and cancels those whose deadline has
// passed or whose caller is gone. One goroutine for all calls costs less than a
// timer for each; dispatchers keep the deadline exactly.
type callWatch struct {
	mu    sync.Mutex
	calls map[*watchedCall]struct{}
	done  chan struct{}
}

type watchedCall struct {
	conn     net.Conn // nil when the caller going away does not matter
	deadline time.Time
	cancel   context.CancelCauseFunc
	seen     bool // a look has passed since the call came
}

func newCallWatch() *callWatch {
	return &callWatch{calls: map[*watchedCall]struct{}{}, done: make(chan struct{})}
}

func (w *callWatch) start() { go w.run() }

func (w *callWatch) stop() { close(w.done) }

// add watches a call until remove.
func (w *callWatch) add(c *watchedCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[c] = struct{}{}
}

// ignoreCaller goes on watching the deadline only.
func (w *callWatch) ignoreCaller(c *watchedCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.conn = nil
}

func (w *callWatch) remove(c *watchedCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c)
}

func (w *callWatch) run() {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			w.look(now)
		case <-w.done:
			return
		}
	}
}

func (w *callWatch) look(now time.Time) {
	for c, conn := range w.slow() {
		if now.After(c.deadline) {
			c.cancel(context.DeadlineExceeded)
		} else if conn != nil && httplink.Closed(conn) {
			c.cancel(errCallerGone)
		}
	}
}

// slow returns the calls that were there at the last look already, with the
// connections of their callers.
func (w *callWatch) slow() map[*watchedCall]net.Conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	slow := map[*watchedCall]net.Conn{}
	for c := range w.calls {
		if c.seen {
			slow[c] = c.conn
		}
		c.seen = true
	}
	return slow
}
