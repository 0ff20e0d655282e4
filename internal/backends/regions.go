package backends

import (
	"slices"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// InAllowedRegion reports whether a server is in one of the regions; all are allowed if there
// are none. A server in a zone whose region is not known is in none of them.
func (b *Backends) InAllowedRegion(server *catalog.Server, allowed []model.Region) bool {
	if len(allowed) == 0 {
		return true
	}
	region, known := b.zoneRegions[server.Zone]
	return known && slices.Contains(allowed, region)
}

// Allowed returns a snapshot in which a service has only its servers in allowed regions. It is
// the snapshot itself if all regions are allowed.
func (b *Backends) Allowed(snapshot *catalog.Snapshot, service model.PoolName, allowed []model.Region) *catalog.Snapshot {
	if len(allowed) == 0 {
		return snapshot
	}
	var servers []*catalog.Server
	for _, server := range snapshot.ByService[service] {
		if b.InAllowedRegion(server, allowed) {
			servers = append(servers, server)
		}
	}
	restricted := *snapshot
	restricted.ByService = map[model.PoolName][]*catalog.Server{service: servers}
	return &restricted
}
