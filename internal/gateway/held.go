package gateway

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/sendgate"
)

// heldRefusal returns the refusal for a request that was not sent because its server, or
// each server of its service, asked for a pause, is leaving or is cold. The time after which the
// caller is advised to try again is the end of the pause, or later for less urgent ranks.
func (c *call) heldRefusal(step string, held *backends.HeldError) *reason.Error {
	code := reason.ServerPaused
	switch held.Verdict.Reason {
	case sendgate.Leaving:
		code = reason.ServerDraining
	case sendgate.Evacuated:
		code = reason.ZoneEvacuated
	case sendgate.Cold:
		code = reason.ServerCold
	}
	refusal := reason.New(code, step, string(held.Server), "%v", held)
	refusal.RetryAfter = c.boundPause(held.Verdict.RetryAfter(c.route.Rank, time.Now()))
	return refusal
}

// ownerRefusal returns the refusal for a request that only the given server may run, or
// nil unless the server is outside the allowed regions, asked for a pause or is leaving.
func (c *call) ownerRefusal(owner *catalog.Server, now time.Time) *reason.Error {
	if refusal := c.ownerRegionRefusal(owner); refusal != nil {
		return refusal
	}
	held := c.gateway.backends.Held(owner, c.headers.ID, now)
	if held == nil {
		return nil
	}
	return c.heldRefusal("choose", held)
}

// noOwnerRefusal returns the refusal for a request whose key has no owner that takes it.
func (c *call) noOwnerRefusal(now time.Time) *reason.Error {
	if owner := c.leavingOwner(now); owner != nil {
		if held := c.gateway.backends.Held(owner, c.headers.ID, now); held != nil {
			return c.heldRefusal("choose", held)
		}
	}
	return reason.New(reason.NoOwner, "choose", string(c.service), "key %d has no owner", c.headers.Key)
}

// leavingOwner returns the server that the owners record names for the request's key if
// it said that it is leaving, or nil.
func (c *call) leavingOwner(now time.Time) *catalog.Server {
	server := c.recordedOwner()
	if server == nil || !c.gateway.backends.IsLeaving(server, now) {
		return nil
	}
	return server
}

// recordedOwner returns the server that the owners record names for the request's key, or nil
// if there is none or that process is not registered.
func (c *call) recordedOwner() *catalog.Server {
	snapshot := c.gateway.catalog.Load()
	owners := snapshot.Owners[c.service]
	if owners == nil {
		return nil
	}
	keyRange := owners.Owner(c.headers.Key)
	if keyRange == nil {
		return nil
	}
	server := snapshot.Servers[keyRange.Server]
	if server == nil || server.StartedMS != keyRange.StartedMS {
		return nil
	}
	return server
}
