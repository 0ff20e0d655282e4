// Package callwatch ends the calls in progress whose deadline has passed or whose
// caller is gone.
package callwatch

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/httplink"
)

// Period is the time between two looks at the calls in progress.
const Period = 50 * time.Millisecond

// ErrCallerGone is the cause of the end of a call whose caller closed the connection.
var ErrCallerGone = errors.New("the caller closed the connection")

// Watcher looks at the calls in progress and cancels those whose deadline has
// passed or whose caller is gone. One goroutine for all calls costs less than a
// timer for each; dispatchers keep the deadline exactly.
type Watcher struct {
	mu    sync.Mutex
	calls map[*Call]struct{}
	done  chan struct{}
}

// Call is a call in progress.
type Call struct {
	Conn     net.Conn // nil when the caller going away does not matter
	Deadline time.Time
	Cancel   context.CancelCauseFunc
	seen     bool // a look has passed since the call came
}

// New returns a watch that is not yet started.
func New() *Watcher {
	return &Watcher{calls: map[*Call]struct{}{}, done: make(chan struct{})}
}

// Start looks at the calls until Stop.
func (w *Watcher) Start() { go w.run() }

// Stop ends the looks.
func (w *Watcher) Stop() { close(w.done) }

// Add watches a call until remove.
func (w *Watcher) Add(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[c] = struct{}{}
}

// IgnoreCaller goes on watching the deadline only.
func (w *Watcher) IgnoreCaller(c *Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.Conn = nil
}

// Remove ends the watch of a call.
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

func (w *Watcher) check(now time.Time) {
	for c, conn := range w.olderCalls() {
		if now.After(c.Deadline) {
			c.Cancel(context.DeadlineExceeded)
		} else if conn != nil && httplink.Closed(conn) {
			c.Cancel(ErrCallerGone)
		}
	}
}

// olderCalls returns the calls that were there at the last look already, with the
// connections of their callers.
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
