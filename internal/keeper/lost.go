package keeper

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// hasEnded reports that a server which is found not to listen has ended: nothing
// runs there any more. Before a server stops listening while it still works, the
// store has its registration as leaving, or has it no longer.
func (t *tender) hasEnded(h *holder, failure error) bool {
	t.mu.Lock()
	ended, known := h.ended, h.ended || h.leftInOrder
	t.mu.Unlock()
	if known || !errors.Is(failure, errNotListening) || !t.keeper.follow.StoreReachable() {
		return ended
	}
	registered, found, err := t.keeper.follow.ReadRegistration(t.ctx, h.server.ID)
	if err != nil {
		t.log.Warn("registration not read, waiting for the grants to run out", zap.String("server", string(h.server.ID)), zap.Error(err))
		return false
	}
	crashed := found && registered.SameProcess(h.server) && !registered.Leaving
	t.mu.Lock()
	h.leftInOrder = !crashed
	t.mu.Unlock()
	t.log.Info("server does not listen any more", zap.String("server", string(h.server.ID)),
		zap.Bool("registered", found), zap.Bool("crashed", crashed))
	return crashed
}

// failed notes that a server did not take a grant. It runs under the lock.
func (t *tender) failed(h *holder, failure error, ended bool) {
	h.nextAt = time.Now().Add(retryPeriod)
	if errors.Is(failure, errLineageLost) || errors.Is(failure, errNotListening) {
		h.broken, h.answering = true, false
	}
	h.ended = h.ended || ended
	if !h.lost() {
		h.silent = time.Now()
		t.log.Warn("server does not take its keys", zap.String("server", string(h.server.ID)),
			zap.Bool("ended", h.ended), zap.Time("held_until", h.heldUntil), zap.Error(failure))
	}
}

// mend lets a server be granted keys again, whatever process it is now, under the
// new fences that it got and higher ones. It runs under the lock.
func (t *tender) mend(h *holder, fence catalog.Fence) {
	if h.broken {
		h.leastFence = fence
		t.renewCalls(h)
		h.refencedAt = time.Now()
		t.log.Info("server gets its keys under new fences", zap.String("server", string(h.server.ID)), zap.Duration("after", time.Since(h.silent)))
	}
	h.restore()
}

// restore lets the server be granted keys.
func (h *holder) restore() {
	h.broken, h.answering, h.ended, h.leftInOrder, h.silent = false, false, false, false, time.Time{}
}

// checkLost looks whether servers that lost all their keys answer again, and
// forgets those that are not registered any more. It runs under the lock.
func (t *tender) checkLost(snapshot *catalog.Snapshot, owning map[model.ServerID]bool, now time.Time) {
	for id, h := range t.holders {
		if owning[id] || h.underWay > 0 || !h.free(now) || now.Before(h.earlierUntil) {
			continue
		}
		registered := snapshot.Servers[id]
		if registered == nil || !registered.SameProcess(h.server) {
			go h.calls.close()
			delete(t.holders, id)
			continue
		}
		if h.lost() && !h.ended && h.due(now) {
			t.begin(h, t.checkAgain)
		}
	}
}

// checkAgain lets a server that lost all its keys get others when it answers.
func (t *tender) checkAgain(h *holder) {
	err := t.check(h)
	t.mu.Lock()
	defer t.mu.Unlock()
	h.underWay--
	h.nextAt = time.Now().Add(checkPeriod)
	if err != nil {
		return
	}
	t.renewCalls(h)
	t.log.Info("server answers again", zap.String("server", string(h.server.ID)), zap.Duration("after", time.Since(h.silent)))
	h.restore()
}

// callsOf returns the calls to a server, which change when it gets new fences.
func (t *tender) callsOf(h *holder) calls {
	t.mu.Lock()
	defer t.mu.Unlock()
	return h.calls
}

// renewCalls opens new connections to a server. It runs under the lock.
func (t *tender) renewCalls(h *holder) {
	go h.calls.close()
	h.calls = t.keeper.callsTo(h.server)
}

// check asks a server for its health. A service that is not configured any more
// has no path to ask at.
func (t *tender) check(h *holder) error {
	service := t.keeper.catalog.Load().Configuration.Services[t.service]
	if service == nil {
		return errors.Errorf("service %s is not configured", t.service)
	}
	return t.callsOf(h).check(t.ctx, service.HealthPath)
}
