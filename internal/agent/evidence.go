package agent

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/chicorylug/chicorylug/internal/ctlproto"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
)

// processCheckInterval is the time between two checks whether the process of a lost server
// has ended.
const processCheckInterval = 20 * time.Millisecond

// evidenceStore holds the newest evidence on each server. A refused connection is stored only
// once a second one was refused too.
type evidenceStore struct {
	mu     sync.Mutex
	latest map[model.ServerRef]ownership.Evidence
	unsent map[model.ServerRef]bool // servers whose kind of evidence changed since the last renewal that carried it
}

// put stores evidence and reports whether its kind differs from the evidence before.
func (s *evidenceStore) put(e ownership.Evidence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.latest[e.Server].Kind != e.Kind
	s.latest[e.Server] = e
	if changed {
		s.unsent[e.Server] = true
	}
	return changed
}

// takeUnsent reports whether no renewal has carried the kind of the evidence yet, and marks it
// as carried.
func (s *evidenceStore) takeUnsent(ref model.ServerRef) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unsent := s.unsent[ref]
	delete(s.unsent, ref)
	return unsent
}

func (s *evidenceStore) get(ref model.ServerRef) (ownership.Evidence, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.latest[ref]
	return e, ok
}

// recordEvidence stores evidence from the dispatcher and reports a change of its kind to the
// coordinator at once. A refused connection counts only when the server's address refuses
// another one too: a reset of one connection does not mean that the server is lost.
func (a *Agent) recordEvidence(e ownership.Evidence) {
	if e.Kind == ownership.EvidenceRefused {
		go a.verifyRefused(e)
		return
	}
	if a.evidence.put(e) {
		a.triggerRenewal()
	}
}

// verifyRefused stores evidence of a refused connection if the server still refuses them.
func (a *Agent) verifyRefused(e ownership.Evidence) {
	permit := a.gate.Permit(e.Server)
	if permit != nil && a.refusesConnections(permit.Address) && a.evidence.put(e) {
		a.triggerRenewal()
	}
}

// refusesConnections reports whether the host refuses connections to the address (ip:port),
// so that it is up but nothing listens there.
func (a *Agent) refusesConnections(address string) bool {
	conn, err := a.network.Dial(address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// evidenceToSend returns the evidence on the servers to which this daemon dispatches. Unless
// full is set, it leaves out healthy servers that were healthy in the last renewal.
func (a *Agent) evidenceToSend(assignment *ownership.Assignment, full bool) []ctlproto.Evidence {
	var list []ctlproto.Evidence
	for i := range assignment.Servers {
		server := &assignment.Servers[i]
		active := server.ActiveDispatcher()
		if active == nil || active.Daemon != a.config.Name {
			continue
		}
		ref := model.ServerRef{Pool: assignment.Pool, Server: server.ID}
		e, ok := a.evidence.get(ref)
		unsent := a.evidence.takeUnsent(ref)
		if !ok || (e.Kind == ownership.EvidenceHealthy && !full && !unsent) {
			continue
		}
		list = append(list, ctlproto.Evidence{
			Server: server.ID,
			Kind:   e.Kind,
			AgeMS:  time.Since(e.At).Milliseconds(),
			Detail: e.Detail,
		})
	}
	return list
}

// drainLost ends the requests in flight at servers that the coordinator has newly declared
// lost. It runs on the control goroutine.
func (a *Agent) drainLost(assignment *ownership.Assignment) {
	for i := range assignment.Servers {
		server := &assignment.Servers[i]
		ref := model.ServerRef{Pool: assignment.Pool, Server: server.ID}
		if server.State != ownership.ServerLost {
			delete(a.lostServers, ref)
			continue
		}
		if a.lostServers[ref] {
			continue
		}
		a.lostServers[ref] = true
		go a.drainLostServer(ref, server.Address)
	}
}

// drainLostServer ends the requests in flight at a lost server. If its process has ended, its
// connections close by themselves and none of its requests is still running. Otherwise the
// requests are abandoned, but their shards count as undrained until the requests' deadlines.
func (a *Agent) drainLostServer(ref model.ServerRef, address string) {
	if len(a.gate.Undrained(ref, time.Now())) == 0 {
		return
	}
	latest, _ := a.evidence.get(ref)
	if latest.Kind != ownership.EvidenceRefused || !a.refusesConnections(address) {
		a.gate.Abandon(ref, "the server was judged lost")
		return
	}
	for len(a.gate.Undrained(ref, time.Now())) > 0 {
		if a.gate.InFlight(ref) == 0 && a.refusesConnections(address) {
			a.gate.MarkServerEnded(ref)
			a.triggerRenewal()
			return
		}
		time.Sleep(processCheckInterval)
	}
}
