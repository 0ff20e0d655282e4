package keeper

import (
	"maps"
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// The part of the simulation in which the store comes back from an older copy, and in which
// daemons read the registrations of such a store, as follow.Follower does.

const (
	modelExpiryTime   = 3 * time.Second // after a restore, until the registrations of ended servers are removed again
	modelMissingGrace = 2 * time.Second // for which a daemon keeps a server that the copy does not list
	modelSettleTime   = 3 * time.Second // for which a daemon doubts registrations after a restore
)

// storeCopy is the content of the store at a time.
type storeCopy struct {
	at       time.Time
	revision platform.Revision
	records  map[string]platform.Record
	registry map[model.ServerID]*catalog.Server
}

// keepCopy keeps a copy of the store. It is called after each change. sim.mu must be held.
func (sim *simulation) keepCopy() {
	sim.copies = append(sim.copies, storeCopy{
		at: time.Now(), revision: sim.position.Revision,
		records: maps.Clone(sim.records), registry: maps.Clone(sim.registry),
	})
}

// register writes the registration of a server. sim.mu must be held.
func (sim *simulation) register(s *catalog.Server) {
	sim.position.Revision++
	sim.registry[s.ID] = s
	sim.keepCopy()
}

// deregister removes a registration unless it was replaced. sim.mu must be held.
func (sim *simulation) deregister(s *catalog.Server) {
	if sim.registry[s.ID] != s {
		return
	}
	sim.position.Revision++
	delete(sim.registry, s.ID)
	sim.keepCopy()
}

// restore begins an era of the store with its content as it was some time ago. Running
// servers register again after rewritten; the registrations of ended ones expire later.
func (sim *simulation) restore(age, rewritten time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	since := time.Now().Add(-age)
	from := sim.copies[0]
	for _, c := range sim.copies {
		if !c.at.After(since) {
			from = c
		}
	}
	sim.position = platform.Position{Era: sim.position.Era + 1, Revision: from.revision}
	sim.records, sim.registry = maps.Clone(from.records), maps.Clone(from.registry)
	sim.keepCopy()
	time.AfterFunc(rewritten, sim.registerAgain)
	time.AfterFunc(modelExpiryTime, sim.expireRegistrations)
}

// registerAgain writes the registrations of all running servers again.
func (sim *simulation) registerAgain() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, p := range sim.processes {
		if !p.ended && !p.notListening && sim.registry[p.registered.ID] != p.registered {
			sim.register(p.registered)
		}
	}
}

// expireRegistrations removes the registrations that no running server has written.
func (sim *simulation) expireRegistrations() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	current := map[*catalog.Server]bool{}
	for _, p := range sim.processes {
		current[p.registered] = !p.ended && !p.notListening
	}
	for _, s := range maps.Clone(sim.registry) {
		if !current[s] {
			sim.deregister(s)
		}
	}
}

// registrations is a daemon's view of the registered servers.
type registrations struct {
	era        platform.Era
	servers    map[model.ServerID]*catalog.Server // published
	known      map[model.ServerID]*catalog.Server // last published registration of each server, gone or not
	graceUntil time.Time                          // until then, servers that the store does not list stay
	settleAt   time.Time                          // until then, registrations may be outdated ones of the copy
}

func newRegistrations() registrations {
	return registrations{servers: map[model.ServerID]*catalog.Server{}, known: map[model.ServerID]*catalog.Server{}}
}

// enterEra notes the era of an answer of the store.
func (r *registrations) enterEra(era platform.Era, now time.Time) {
	if era <= r.era {
		return
	}
	if era > platform.FirstEra {
		r.settleAt = now.Add(modelSettleTime)
	}
	if r.era > 0 {
		r.graceUntil = now.Add(modelMissingGrace)
	}
	r.era = era
}

// apply takes over what the store lists in its present era.
func (r *registrations) apply(listed map[model.ServerID]*catalog.Server, now time.Time) {
	next := map[model.ServerID]*catalog.Server{}
	for id, s := range listed {
		known := r.known[id]
		if now.Before(r.settleAt) && known != nil && !s.NewerThan(known) {
			continue // kept as published, if it is
		}
		next[id] = s
		r.known[id] = s
	}
	for id, s := range r.servers {
		_, isListed := listed[id]
		if next[id] == nil && (isListed || now.Before(r.graceUntil)) {
			next[id] = s
		}
	}
	r.servers = next
}
