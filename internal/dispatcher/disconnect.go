package dispatcher

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/httplink"
)

// errEntryDisconnected is the cause with which a request is cancelled when its entry
// closed the connection.
var errEntryDisconnected = errors.New("the entry closed the connection")

// disconnectWatcher checks the entry connections of the requests that take longer
// than watchPeriod, and cancels requests whose entry closed the connection.
type disconnectWatcher struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

func newDisconnectWatcher() *disconnectWatcher {
	return &disconnectWatcher{requests: map[*request]struct{}{}}
}

func (c *disconnectWatcher) add(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r] = struct{}{}
}

func (c *disconnectWatcher) remove(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, r)
}

// cancelDisconnected cancels the requests whose entry closed the connection.
func (c *disconnectWatcher) cancelDisconnected(now time.Time) {
	for _, r := range c.longRunning(now) {
		if httplink.Closed(r.conn) {
			r.cancel(errEntryDisconnected)
		}
	}
}

// longRunning returns the requests that arrived more than watchPeriod ago.
func (c *disconnectWatcher) longRunning(now time.Time) []*request {
	c.mu.Lock()
	defer c.mu.Unlock()
	var slow []*request
	for r := range c.requests {
		if now.Sub(r.arrived) > watchPeriod {
			slow = append(slow, r)
		}
	}
	return slow
}
