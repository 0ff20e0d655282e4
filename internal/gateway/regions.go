package gateway

import (
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/reason"
)

// allowedServers returns the snapshot, with the servers of the request's service that are in
// regions which its route allows.
func (c *call) allowedServers() *catalog.Snapshot {
	return c.gateway.backends.Allowed(c.gateway.catalog.Load(), c.service, c.route.AllowedRegions)
}

// regionRefusal returns the refusal for a request that any server of its service may run, if
// none of them is in a region that the route allows, or nil.
func (c *call) regionRefusal() *reason.Error {
	all := c.gateway.catalog.Load().ByService[c.service]
	if len(c.route.AllowedRegions) == 0 || len(all) == 0 {
		return nil
	}
	for _, server := range all {
		if c.gateway.backends.InAllowedRegion(server, c.route.AllowedRegions) {
			return nil
		}
	}
	return reason.New(reason.NoAllowedRegion, "admit", string(c.service), "none of %d servers is in the regions %q", len(all), c.route.AllowedRegions)
}

// ownerRegionRefusal returns the refusal for a request that only the given server may run, if
// that is not in a region that the route allows, or nil.
func (c *call) ownerRegionRefusal(owner *catalog.Server) *reason.Error {
	if c.gateway.backends.InAllowedRegion(owner, c.route.AllowedRegions) {
		return nil
	}
	return reason.New(reason.NoAllowedRegion, "choose", string(owner.ID), "the owner of key %d is in availability zone %q, outside the regions %q",
		c.headers.Key, owner.Zone, c.route.AllowedRegions)
}
