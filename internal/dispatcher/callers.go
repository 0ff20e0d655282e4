package dispatcher

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/httplink"
)

// errCallerGone is the cause of the end of a request whose entry closed the connection.
var errCallerGone = errors.New("the entry closed the connection")

// callers watches the connections of the requests that take longer than one
// watch period, and cancels those whose entry went away.
type callers struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

func newCallers() *callers { return &callers{requests: map[*request]struct{}{}} }

func (c *callers) add(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r] = struct{}{}
}

func (c *callers) remove(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, r)
}

// look cancels the requests of entries that went away.
func (c *callers) look(now time.Time) {
	for _, r := range c.slow(now) {
		if httplink.Closed(r.conn) {
			r.cancel(errCallerGone)
		}
	}
}

func (c *callers) slow(now time.Time) []*request {
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
