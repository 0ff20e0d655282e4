package keeper

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// confirmEnded reports whether the process of a server that is not listening is known
// to have ended, so that it runs no more requests. It reads the registration from the
// store: a server that stops listening while it still works has first been registered
// as leaving, or deregistered, or has said that it leaves. If neither is the case, the process has crashed.
func (s *serviceKeeper) confirmEnded(h *holder, failure error) bool {
	s.mu.Lock()
	ended, decided := h.ended, h.ended || h.shuttingDown
	s.mu.Unlock()
	if decided || !errors.Is(failure, errNotListening) || !s.keeper.follow.StoreReachable() {
		return ended
	}
	registered, found, err := s.keeper.follow.ReadRegistration(s.ctx, h.server.ID)
	if err != nil {
		s.log.Warn("failed to read registration, waiting for the grants to expire", zap.String("server", string(h.server.ID)), zap.Error(err))
		return false
	}
	s.mu.Lock()
	crashed := found && registered.SameProcess(h.server) && !s.isLeaving(registered)
	h.shuttingDown = !crashed
	s.mu.Unlock()
	s.log.Info("server is not listening", zap.String("server", string(h.server.ID)),
		zap.Bool("registered", found), zap.Bool("crashed", crashed))
	return crashed
}

// recordFailure records that a server did not accept a grant. s.mu must be held.
func (s *serviceKeeper) recordFailure(h *holder, failure error, ended bool) {
	h.nextCallAt = time.Now().Add(retryDelay)
	if errors.Is(failure, errProcessConnsLost) || errors.Is(failure, errNotListening) {
		h.connsLost, h.answering = true, false
	}
	h.ended = h.ended || ended
	if !h.failing() {
		h.failingSince = time.Now()
	}
	s.logFailure(h, failure)
}

// logFailure logs why a server does not accept its grants, once for each reason in a row and
// once in failureLogPeriod at most. s.mu must be held.
func (s *serviceKeeper) logFailure(h *holder, failure error) {
	if failure.Error() == h.loggedFailure || time.Since(h.failureLoggedAt) < failureLogPeriod {
		return
	}
	h.loggedFailure, h.failureLoggedAt = failure.Error(), time.Now()
	s.log.Warn("server does not accept its grants", zap.String("server", string(h.server.ID)),
		zap.Duration("for", time.Since(h.failingSince)), zap.Bool("ended", h.ended), zap.Time("held_until", h.held.last()), zap.Error(failure))
}

// refence allows grants to a server again. If the connections to its process were
// lost, it allows them to any process at the address, but only under the given fence
// and higher ones. s.mu must be held.
func (s *serviceKeeper) refence(h *holder, fence catalog.Fence) {
	if h.connsLost {
		h.minFence = fence
		s.reconnect(h)
		h.refencedAt = time.Now()
		s.log.Info("server gets its grants under new fences", zap.String("server", string(h.server.ID)), zap.Duration("after", time.Since(h.failingSince)))
	}
	h.clearFailure()
}

// clearFailure allows grants to the server again.
func (h *holder) clearFailure() {
	h.connsLost, h.answering, h.ended, h.shuttingDown, h.failingSince = false, false, false, false, time.Time{}
	h.loggedFailure, h.failureLoggedAt = "", time.Time{}
}

// checkNonOwners probes failing servers that own no keys any more, and removes those
// that are no longer registered. s.mu must be held.
func (s *serviceKeeper) checkNonOwners(snapshot *catalog.Snapshot, owning map[model.ServerID]bool, now time.Time) {
	for id, h := range s.holders {
		if owning[id] || h.inFlight > 0 || !h.holdsNothing(now) || now.Before(h.earlierProcess.last()) {
			continue
		}
		registered := snapshot.Servers[id]
		if registered == nil || !registered.SameProcess(h.server) {
			go h.client.close()
			delete(s.holders, id)
			continue
		}
		if h.failing() && !h.ended && h.callDue(now) && !snapshot.Evacuated(registered.Zone) {
			s.startCall(h, s.recheck)
		}
	}
}

// recheck probes a failing server that owns no keys. If it answers, it may get keys
// again.
func (s *serviceKeeper) recheck(h *holder) {
	err := s.probe(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	h.inFlight--
	h.nextCallAt = time.Now().Add(recheckPeriod)
	if err != nil {
		return
	}
	s.reconnect(h)
	s.log.Info("server answers again", zap.String("server", string(h.server.ID)), zap.Duration("after", time.Since(h.failingSince)))
	h.clearFailure()
}

// clientOf returns the client of a server, which is replaced when the server gets new
// fences.
func (s *serviceKeeper) clientOf(h *holder) serverClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	return h.client
}

// reconnect replaces the client of a server, so that the next call opens new
// connections. s.mu must be held.
func (s *serviceKeeper) reconnect(h *holder) {
	go h.client.close()
	h.client = s.keeper.newServerClient(h.server)
}

// probe requests a server's health path. It fails if the service is not configured any
// more, since there is no path then.
func (s *serviceKeeper) probe(h *holder) error {
	service := s.keeper.catalog.Load().Configuration.Services[s.service]
	if service == nil {
		return errors.Errorf("probe of server %s: service %s is not configured", h.server.ID, s.service)
	}
	return s.clientOf(h).probe(s.ctx, service.HealthPath)
}
