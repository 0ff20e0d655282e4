package keeper

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// plan returns the moves that are due. Their keys are not granted any more.
func (t *tender) plan(now time.Time) []Move {
	t.mu.Lock()
	defer t.mu.Unlock()
	moves := t.due(now)
	for _, m := range moves {
		t.moving = append(t.moving, catalog.Range{From: m.From, To: m.To})
	}
	return moves
}

// due works out the moves that are due. It runs under the lock.
func (t *tender) due(now time.Time) []Move {
	snapshot := t.keeper.catalog.Load()
	able := t.able(snapshot)
	if len(able) == 0 || now.Before(t.movesAfter) {
		return nil
	}
	if len(t.owners.Ranges) == 0 {
		p := newPlanner(t.load, nil, able)
		for _, r := range divide(t.load, able) {
			p.add(Move{From: r.From, To: r.To, Target: snapshot.Servers[r.Server]})
		}
		return p.moves
	}
	p := newPlanner(t.load, t.owners.Ranges, able)
	mass := t.massGone(snapshot)
	for _, r := range t.owners.Ranges {
		t.planRange(p, snapshot, r, mass, now)
	}
	if len(p.moves) > 0 || now.Sub(t.balancedAt) < balancePeriod || now.Before(t.othersMove) || t.load.counted < leastRequests {
		return p.moves
	}
	t.balancedAt = now
	t.load.fade(now)
	p = newPlanner(t.load, t.owners.Ranges, able)
	p.balance(func(id model.ServerID) bool {
		h := t.holders[id]
		return h != nil && h.taken && !h.lost() && now.After(h.doubtUntil)
	})
	return p.moves
}

// able returns the servers that may get keys. It runs under the lock.
func (t *tender) able(snapshot *catalog.Snapshot) []*catalog.Server {
	var able []*catalog.Server
	for _, server := range snapshot.ByService[t.service] {
		h := t.holders[server.ID]
		if server.Leaving || (h != nil && h.server.SameProcess(server) && h.lost()) {
			continue
		}
		able = append(able, server)
	}
	return able
}

// massGone reports that so many owners are missing that an outage of the store
// is the likely cause. It runs under the lock.
func (t *tender) massGone(snapshot *catalog.Snapshot) bool {
	owning := map[model.ServerID]bool{}
	gone := 0
	for _, r := range t.owners.Ranges {
		if owning[r.Server] {
			continue
		}
		owning[r.Server] = true
		if server := snapshot.Servers[r.Server]; server == nil || server.Deregistered {
			gone++
		}
	}
	return float64(gone) > massGone*float64(len(owning)) && gone > 1
}

// planRange plans to take a range from a server that may not keep it. It runs
// under the lock.
func (t *tender) planRange(p *planner, snapshot *catalog.Snapshot, r catalog.Range, mass bool, now time.Time) {
	server := snapshot.Servers[r.Server]
	h := t.holders[r.Server]
	earlierUntil := t.othersUntil
	if h != nil && h.server.StartedMS != r.StartedMS {
		earlierUntil = h.earlierUntil
		h = nil
	}
	switch {
	case server != nil && server.StartedMS != r.StartedMS:
		// A new life holds nothing, unless a grant for the one before reached it.
		if (h != nil && h.free(now)) || (h == nil && now.After(earlierUntil)) {
			p.rehome(r, "")
		}
	case h != nil && (h.mendable(now) || r.Fence < h.leastFence) && server != nil && !server.Leaving:
		p.add(Move{From: r.From, To: r.To, Target: server})
	case server == nil && h == nil:
		if now.After(t.othersUntil) {
			p.rehome(r, "")
		}
	case h == nil:
	case h.free(now) && h.lost():
		p.rehome(r, "")
	case h.lost():
	case server == nil || server.Leaving:
		if mass && (server == nil || server.Deregistered) && t.youngGone(r.Server, now) {
			return
		}
		if h.taken && now.After(h.doubtUntil) {
			p.rehome(r, r.Server)
		}
	default:
		delete(t.goneAt, r.Server)
	}
}

// youngGone reports that a server has been missing for a short time only.
func (t *tender) youngGone(id model.ServerID, now time.Time) bool {
	since, known := t.goneAt[id]
	if !known {
		t.goneAt[id] = now
		return true
	}
	return now.Sub(since) < goneGrace
}
