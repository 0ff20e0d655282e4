package keeper

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// planMoves returns the moves that are due. Grants of their keys are not renewed
// until the moves are committed or have failed.
func (s *serviceKeeper) planMoves(now time.Time) []Move {
	s.mu.Lock()
	defer s.mu.Unlock()
	moves := s.dueMoves(now)
	s.moving = append(s.moving, moves...)
	return moves
}

// dueMoves works out the moves that are due. s.mu must be held.
func (s *serviceKeeper) dueMoves(now time.Time) []Move {
	snapshot := s.keeper.catalog.Load()
	assignable := s.assignable(snapshot)
	if now.Before(s.noMovesBefore) || s.mustNotGrant(now) {
		return nil
	}
	if len(s.owners.Ranges) == 0 {
		p := newPlanner(s.load, nil, assignable)
		for _, r := range divide(s.load, assignable) {
			p.add(Move{From: r.From, To: r.To, Target: snapshot.Servers[r.Server]})
		}
		return p.moves
	}
	p := newPlanner(s.load, s.owners.Ranges, assignable)
	outage := s.likelyOutage(snapshot)
	for _, r := range s.owners.Ranges {
		s.planRange(p, snapshot, r, outage, now)
	}
	if len(p.moves) > 0 || len(assignable) == 0 || now.Sub(s.balancedAt) < balancePeriod || now.Before(s.earlierReleasesUntil) || s.load.counted < minRequests {
		return p.moves
	}
	s.balancedAt = now
	s.load.update(now)
	p = newPlanner(s.load, s.owners.Ranges, assignable)
	p.balance(func(id model.ServerID) bool {
		h := s.holders[id]
		return h != nil && h.acceptedGrants && !h.failing() && now.After(h.unansweredUntil)
	})
	return p.moves
}

// assignable returns the servers that may get keys. s.mu must be held.
func (s *serviceKeeper) assignable(snapshot *catalog.Snapshot) []*catalog.Server {
	var assignable []*catalog.Server
	for _, server := range snapshot.ByService[s.service] {
		h := s.holders[server.ID]
		if s.mustNotOwn(server, snapshot) || (h != nil && h.server.SameProcess(server) && h.failing()) {
			continue
		}
		assignable = append(assignable, server)
	}
	return s.keeper.withoutCold(assignable, time.Now())
}

// likelyOutage reports whether so many owners are no longer registered that an
// outage of the store is the likely cause. s.mu must be held.
func (s *serviceKeeper) likelyOutage(snapshot *catalog.Snapshot) bool {
	owning := map[model.ServerID]bool{}
	missing := 0
	for _, r := range s.owners.Ranges {
		if owning[r.Server] {
			continue
		}
		owning[r.Server] = true
		if server := snapshot.Servers[r.Server]; server == nil || server.Deregistered {
			missing++
		}
	}
	return float64(missing) > outageShare*float64(len(owning)) && missing > 1
}

// planRange plans to move a range away from a server that can't keep it, or to let the
// server keep it under a new fence after the connections to its process were lost. s.mu
// must be held.
func (s *serviceKeeper) planRange(p *planner, snapshot *catalog.Snapshot, r catalog.Range, outage bool, now time.Time) {
	server := snapshot.Servers[r.Server]
	h := s.holders[r.Server]
	earlierProcessUntil := s.earlierGrantsUntil
	if h != nil && h.server.StartedMS != r.StartedMS {
		earlierProcessUntil = h.earlierProcess.last()
		h = nil
	}
	switch {
	case server != nil && server.StartedMS != r.StartedMS:
		// A new process holds no keys, unless a grant meant for the previous process
		// reached it.
		if (h != nil && h.holdsNothing(now)) || (h == nil && now.After(earlierProcessUntil)) {
			p.reassign(r, "")
		}
	case h != nil && (h.canRefence(now) || r.Fence < h.minFence) && server != nil && !s.mustNotOwn(server, snapshot):
		// The server keeps the range, under a new fence.
		p.add(Move{From: r.From, To: r.To, Target: server})
	case server == nil && h == nil:
		// A grant meant for the owner may also have reached a later process, whose
		// registration has lapsed.
		if now.After(earlierProcessUntil) {
			p.reassign(r, "")
		}
	case h == nil:
		// renewDue will add the holder.
	case h.holdsNothing(now) && h.failing():
		p.reassign(r, "")
	case h.failing():
		// The server may still hold keys: they move when it certainly holds none.
	case server == nil || s.mustNotOwn(server, snapshot):
		if outage && (server == nil || server.Deregistered) && s.missingBriefly(r.Server, now) {
			return
		}
		if h.acceptedGrants && now.After(h.unansweredUntil) && !s.awaitsEarlierKeeper(server, now) {
			p.reassign(r, r.Server)
			s.countHandedOver(server, r)
			s.countEvacuated(p, server, snapshot, r)
		}
	case s.isOverloadedCold(p, server, now):
		if h.acceptedGrants && now.After(h.unansweredUntil) && !s.awaitsEarlierKeeper(server, now) {
			p.reassign(r, r.Server)
		}
	default:
		delete(s.missingSince, r.Server)
	}
}

// missingBriefly reports whether a server's registration has been missing for less than
// missingGrace, counted from the first call since the server was last registered.
func (s *serviceKeeper) missingBriefly(id model.ServerID, now time.Time) bool {
	since, known := s.missingSince[id]
	if !known {
		s.missingSince[id] = now
		return true
	}
	return now.Sub(since) < missingGrace
}
