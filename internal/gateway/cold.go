package gateway

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/reason"
)

// acquireColdPermit returns the time until which another daemon permits to send the request
// to the cold owner of its key. It is zero if no permit is needed. A refusal says when the
// owner takes requests again.
func (c *call) acquireColdPermit(owner *catalog.Server) (time.Time, *reason.Error) {
	if !c.requiresOwner() {
		return time.Time{}, nil
	}
	until, held := c.gateway.permits.Acquire(c.context, owner, c.route.Rank, c.headers.ID)
	if held != nil {
		return time.Time{}, c.heldRefusal("send", held)
	}
	return until, nil
}
