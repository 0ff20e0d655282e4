package keeper

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
)

// mustNotOwn reports whether the server is leaving or its zone is evacuated: it gets no keys,
// and hands those that it has over. s.mu must be held.
func (s *serviceKeeper) mustNotOwn(server *catalog.Server, snapshot *catalog.Snapshot) bool {
	return s.isLeaving(server) || snapshot.Evacuated(server.Zone)
}

// countEvacuated counts the keys of a range that is planned to move as the zone of its owner
// is evacuated.
func (s *serviceKeeper) countEvacuated(p *planner, server *catalog.Server, snapshot *catalog.Snapshot, r catalog.Range) {
	if len(p.candidates) > 0 && server != nil && snapshot.Evacuated(server.Zone) {
		s.keeper.evacuatedKeys.Add(r.Keys())
	}
}

// awaitsEarlierKeeper reports whether the keys of a server stay there until an earlier keeper has
// certainly ended its releases. Before, a release does not say that the work on the keys has
// ended: they would be without an owner until the grants of the earlier keeper have run out.
// A server that leaves may not be there as long. s.mu must be held.
func (s *serviceKeeper) awaitsEarlierKeeper(server *catalog.Server, now time.Time) bool {
	return server != nil && !s.isLeaving(server) && now.Before(s.earlierReleasesUntil)
}

// planEvacuations returns the moves of keys out of evacuated zones that are due and not under
// way, while other moves are. Grants of their keys are not renewed until the moves are
// committed or have failed.
func (s *serviceKeeper) planEvacuations(now time.Time) []Move {
	snapshot := s.keeper.catalog.Load()
	if len(snapshot.Evacuations) == 0 || s.keeper.follow.StoreAge() > maxStoreAge {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.noMovesBefore) || s.mustNotGrant(now) {
		return nil
	}
	p := newPlanner(s.load, s.owners.Ranges, s.assignable(snapshot))
	outage := s.likelyOutage(snapshot)
	for _, r := range s.owners.Ranges {
		server := snapshot.Servers[r.Server]
		if server == nil || server.StartedMS != r.StartedMS || !snapshot.Evacuated(server.Zone) {
			continue
		}
		for _, part := range without(r, s.moving) {
			s.planRange(p, snapshot, part, outage, now)
		}
	}
	s.moving = append(s.moving, p.moves...)
	return p.moves
}
