package keeper

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

const (
	minWarmShare = 0.5                    // of the servers of a service that must be warm for the cold ones to be left out
	minColdLeft  = 500 * time.Millisecond // for which a server must stay cold for its keys to move
	coldRateUse  = 0.8                    // of what a cold server tolerates, up to which it keeps its keys
)

// coldServers says which servers are cold.
type coldServers interface {
	// ColdFor returns the time for which a server stays cold, or zero.
	ColdFor(server *catalog.Server, now time.Time) time.Duration
	// ColdRate returns the requests per second that a cold server of a service tolerates.
	ColdRate(service model.PoolName) float64
}

// coldFor returns the time for which a server stays cold, or zero.
func (k *Keeper) coldFor(server *catalog.Server, now time.Time) time.Duration {
	if k.cold == nil {
		return 0
	}
	return k.cold.ColdFor(server, now)
}

// withoutCold returns the servers that are not cold, or all if too few are left.
func (k *Keeper) withoutCold(servers []*catalog.Server, now time.Time) []*catalog.Server {
	warm := make([]*catalog.Server, 0, len(servers))
	for _, server := range servers {
		if k.coldFor(server, now) == 0 {
			warm = append(warm, server)
		}
	}
	if float64(len(warm)) < minWarmShare*float64(len(servers)) {
		return servers
	}
	return warm
}

// isOverloadedCold reports whether a cold owner gets more requests for its keys than it
// tolerates for some time yet, and a warm server can take them. s.mu must be held.
func (s *serviceKeeper) isOverloadedCold(p *planner, server *catalog.Server, now time.Time) bool {
	if server == nil || s.keeper.coldFor(server, now) < minColdLeft || p.byID[server.ID] != nil || len(p.candidates) == 0 {
		return false
	}
	return p.ownedLoad(server.ID)/loadDecay.Seconds() > coldRateUse*s.keeper.cold.ColdRate(s.service)
}
