package gateway

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/reason"
)

// evacuatedServiceRefusal returns the refusal for a request that any server of its service may
// run, if the zones of all of them are evacuated, or nil.
func (c *call) evacuatedServiceRefusal() *reason.Error {
	held := c.gateway.backends.EvacuatedService(c.allowedServers(), c.service, c.headers.ID)
	if held == nil {
		return nil
	}
	return c.heldRefusal("admit", held)
}

// evacuatedOwnerRefusal returns the refusal for a request for a key whose owner is in an
// evacuated zone and gets no requests any more, unless the key is likely to get another owner
// soon. With gaveUp, the request has waited for one as long as it may.
func (c *call) evacuatedOwnerRefusal(now time.Time, gaveUp bool) *reason.Error {
	owner := c.recordedOwner()
	if owner == nil {
		return nil
	}
	held := c.gateway.backends.EvacuatedOwner(owner, c.headers.ID, gaveUp, now)
	if held == nil {
		return nil
	}
	return c.heldRefusal("choose", held)
}
