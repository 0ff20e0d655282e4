package backends

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// silenceMemory is the time for which a service counts as one whose full servers leave
// requests unanswered.
const silenceMemory = 30 * time.Second

// Reservation is a server that was chosen for one attempt. From then on the attempt counts
// among the requests at the server, until Send returns or the reservation is cancelled.
type Reservation struct {
	Server   *catalog.Server
	endpoint *endpoint
	full     bool // by its load the server was full at the time
}

// Cancel ends a reservation that is not passed to Send.
func (r *Reservation) Cancel() { r.endpoint.state.cancelRequest() }

// Reserve chooses a server for a request that any server of the service may run. It
// returns nil if there is none. In a service whose full servers leave requests unanswered,
// none is sent to a full one: full then says that all servers are full, and that it is
// worth waiting for room.
func (b *Backends) Reserve(snapshot *catalog.Snapshot, c *Criteria) (reserved *Reservation, full bool) {
	now := time.Now()
	c.WithRoom = b.silent.has(c.Service, now)
	server := b.Choose(snapshot, c)
	if server == nil {
		return nil, c.WithRoom && b.hasEligible(snapshot, c, now)
	}
	e := b.endpoint(server)
	hadRoom, started := e.state.startRequest(server.Slots, c.WithRoom, now)
	if !started {
		return nil, true
	}
	return &Reservation{Server: server, endpoint: e, full: !hadRoom}, false
}

// hasEligible reports whether a server of the service may be chosen and has not been tried.
func (b *Backends) hasEligible(snapshot *catalog.Snapshot, c *Criteria, now time.Time) bool {
	return len(b.eligible(snapshot.ByService[c.Service], c, now)) > 0
}

// recordSilence records that a server that answers others left the request of an attempt
// unanswered. It says something about the service if the server was full.
func (b *Backends) recordSilence(a *Attempt, now time.Time) {
	if a.Reservation == nil || !a.Reservation.full {
		return
	}
	if b.silent.record(a.Server.Service, now) {
		b.log.Info("full servers of the service leave requests unanswered, sending only to servers with room",
			zap.String("service", string(a.Server.Service)), zap.String("server", string(a.Server.ID)),
			zap.String("request", string(a.ID)), zap.Duration("for", silenceMemory))
	}
}

// silentServices are the services whose full servers leave requests unanswered.
type silentServices struct {
	mu    sync.Mutex
	until map[model.PoolName]time.Time
}

// record adds a service, and reports whether it is new.
func (s *silentServices) record(service model.PoolName, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := now.Before(s.until[service])
	if s.until == nil {
		s.until = map[model.PoolName]time.Time{}
	}
	s.until[service] = now.Add(silenceMemory)
	return !known
}

// has reports whether the service is one of them.
func (s *silentServices) has(service model.PoolName, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[service])
}
