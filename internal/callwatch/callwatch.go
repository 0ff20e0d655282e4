// Package callwatch cancels calls in progress whose deadline has passed or whose caller
// has closed its connection.
package callwatch

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/httplink"
)

// Period is the interval between checks of the calls in progress.
const Period = 50 * time.Millisecond

// ErrCallerGone is the cause with which a call is cancelled if its caller closed the
// connection.
var ErrCallerGone = errors.New("the caller closed the connection")

// Watcher periodically checks the calls in progress and cancels those whose deadline has
// passed or whose caller has closed its connection. One goroutine for all calls costs
// less than a timer per call. A call may be cancelled up to two periods after its
// deadline; requests in package dispatcher are bounded by timers of their own, without
// this delay.
type Watcher struct {
	mu    sync.Mutex
	calls map[*Call]struct{}
	ended error // cause with which CancelAll cancels calls; nil before
	done  chan struct{}
}

// Call is a call in progress. The fields must not be changed while it is watched.
type Call struct {
	Conn     net.Conn // the caller's connection; nil if only the deadline is watched
	Deadline time.Time
	Cancel   context.CancelCauseFunc
	seen     bool // the call was present at an earlier check
}

// New returns a watcher that is not yet started.
func New() *Watcher {
	return &Watcher{calls: map[*Call]struct{}{}, done: make(chan struct{})}
}

// Start begins to check the calls, until Stop.
func (w *Watcher) Start() { go w.run() }

// Stop ends the checks. It must be called at most once.
func (w *Watcher) Stop() { close(w.done) }

// Add watches a call until Remove.
func (w *Watcher) Add(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[c] = struct{}{}
	if w.ended != nil {
		c.Cancel(w.ended)
	}
}

// CancelAll cancels all calls with the cause, and each call that is added later.
func (w *Watcher) CancelAll(cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = cause
	for c := range w.calls {
		c.Cancel(cause)
	}
}

// IgnoreCaller continues to watch only the call's deadline.
func (w *Watcher) IgnoreCaller(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.Conn = nil
}

// Remove stops watching a call.
func (w *Watcher) Remove(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.calls, c)
}

func (w *Watcher) run() {
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			w.check(now)
		case <-w.done:
			return
		}
	}
}

// check cancels calls that are due for cancellation at now.
func (w *Watcher) check(now time.Time) {
	for c, conn := range w.olderCalls() {
		if now.After(c.Deadline) {
			c.Cancel(context.DeadlineExceeded)
		} else if conn != nil && httplink.Closed(conn) {
			c.Cancel(ErrCallerGone)
		}
	}
}

// olderCalls returns the calls that were present at the previous check already, with
// the connections of their callers. Calls that end before that are never inspected.
func (w *Watcher) olderCalls() map[*Call]net.Conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	older := map[*Call]net.Conn{}
	for c := range w.calls {
		if c.seen {
			older[c] = c.Conn
		}
		c.seen = true
	}
	return older
}
