package backends

import (
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/sendgate"
)

// Times at the end of an evacuation's bound.
const (
	// evacuationTransit is the time that a request may take from this daemon to the owner of
	// its key: none is sent there in the last part of the bound.
	evacuationTransit = time.Second
	// handoverTime is the time after the last request to an owner within which its keys have
	// other owners, unless nobody can assign them.
	handoverTime = 2 * time.Second
)

// ownersUntil returns the time until which the owners of keys in an evacuated zone still get
// requests for these. The bound runs from when the evacuation was asked for, which is not
// before NotBefore.
func ownersUntil(e catalog.Evacuation, bound time.Duration) time.Time {
	if e.NotBefore.IsZero() {
		return e.Since
	}
	return e.NotBefore.Add(max(bound-evacuationTransit, 0))
}

// evacuationFields returns the fields of log lines about what an evacuation holds back.
func evacuationFields(e catalog.Evacuation) []zap.Field {
	return []zap.Field{
		zap.String("zone", string(e.Zone)), zap.Uint64("evacuation_revision", uint64(e.Revision)),
		zap.Duration("evacuated_for", time.Since(e.Since)),
	}
}

// heldByEvacuation returns an error if the server's zone is evacuated and the server must not
// get the request now: from the start, or as the owner of its key after ownersUntil.
func (b *Backends) heldByEvacuation(server *catalog.Server, owner bool, now time.Time) *HeldError {
	evacuation := b.catalog.Load().Evacuations[server.Zone]
	if !evacuation.InForce() || (owner && now.Before(ownersUntil(evacuation, b.evacuation))) {
		return nil
	}
	return &HeldError{Server: server.ID, Verdict: sendgate.Verdict{Reason: sendgate.Evacuated}, Evacuation: evacuation}
}

// heldAttempt returns an error if the request of an attempt must not be sent to its server
// now. It logs and counts the decision.
func (b *Backends) heldAttempt(a *Attempt, now time.Time) *HeldError {
	held := b.heldByEvacuation(a.Server, a.Reservation == nil, now)
	if held == nil {
		return b.Held(a.Server, a.ID, now)
	}
	b.recordHeld(held, a.Server.Service, a.ID)
	return held
}

// recordHeld logs and counts a request that is held back.
func (b *Backends) recordHeld(held *HeldError, service model.PoolName, request model.RequestID) {
	b.gateMeters.held[held.Verdict.Reason].Inc()
	b.log.Info("send held back", held.logFields(service, request)...)
}

// IsEvacuatedOwner reports whether the owner of a key must not get requests for it any more,
// as its zone is evacuated.
func (b *Backends) IsEvacuatedOwner(server *catalog.Server, now time.Time) bool {
	return b.heldByEvacuation(server, true, now) != nil
}

// EvacuatedOwner returns an error if the owner of a key is in an evacuated zone, gets no
// requests any more, and is not worth waiting for another one: no server of its service is
// left elsewhere, or its keys should have been handed over long ago. With gaveUp, the request
// has waited for as long as it may. EvacuatedOwner logs and counts the decision.
func (b *Backends) EvacuatedOwner(owner *catalog.Server, request model.RequestID, gaveUp bool, now time.Time) *HeldError {
	held := b.heldByEvacuation(owner, true, now)
	if held == nil {
		return nil
	}
	late := now.After(ownersUntil(held.Evacuation, b.evacuation).Add(handoverTime)) && now.After(held.Evacuation.Since.Add(handoverTime))
	if !gaveUp && !late && hasServerElsewhere(b.catalog.Load(), owner.Service) {
		return nil
	}
	b.recordHeld(held, owner.Service, request)
	return held
}

// hasServerElsewhere reports whether a server of the service that is not leaving is outside
// the evacuated zones.
func hasServerElsewhere(snapshot *catalog.Snapshot, service model.PoolName) bool {
	for _, server := range snapshot.ByService[service] {
		if !server.Leaving && !snapshot.Evacuated(server.Zone) {
			return true
		}
	}
	return false
}

// EvacuatedService returns an error if the zones of all servers of a service are evacuated.
// It logs and counts the decision.
func (b *Backends) EvacuatedService(snapshot *catalog.Snapshot, service model.PoolName, request model.RequestID) *HeldError {
	if len(snapshot.Evacuations) == 0 || hasServerElsewhere(snapshot, service) {
		return nil
	}
	for _, server := range snapshot.ByService[service] {
		if held := b.heldByEvacuation(server, false, time.Now()); held != nil {
			b.recordHeld(held, service, request)
			return held
		}
	}
	return nil
}

// requestsInEvacuatedZones counts the requests of this daemon that are at servers in
// evacuated zones.
func (b *Backends) requestsInEvacuatedZones() int {
	snapshot := b.catalog.Load()
	if len(snapshot.Evacuations) == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, e := range b.endpoints {
		if snapshot.Evacuated(e.server.Zone) {
			count += e.state.requestsInFlight()
		}
	}
	return count
}

// requestsInFlight returns the number of requests that this daemon has at the server.
func (s *state) requestsInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}
