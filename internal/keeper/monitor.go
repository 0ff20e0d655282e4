package keeper

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// statusRequest asks a daemon whether it is the keeper of a service.
type statusRequest struct {
	Service model.PoolName `json:"service"`
}

// statusResponse is the answer to a statusRequest.
type statusResponse struct {
	// Incarnation identifies the daemon's process: it differs after a restart.
	Incarnation model.Incarnation `json:"life"`
	// Keeping says that the daemon is the keeper of the service.
	Keeping bool `json:"keeping"`
	// StoreAgeMS is the time since the store last answered the daemon, in milliseconds.
	StoreAgeMS int64 `json:"store_age_ms"`
}

// watchedKeeper is what this daemon has observed of the keeper of a service since the
// owners record last changed.
type watchedKeeper struct {
	position      platform.Position // of the owners record; zero while there is none
	failedQueries int               // consecutive status queries without an answer
	watchedSince  time.Time         // first check since the record changed
	assignAfter   time.Time         // earliest time of the first assignment; zero until a server is seen
}

func (k *Keeper) monitorLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(monitorPeriod):
		}
		k.ensureKeepers(ctx)
	}
}

// ensureKeepers checks that each keyed service has a working keeper, and takes over
// those that have none.
func (k *Keeper) ensureKeepers(ctx context.Context) {
	snapshot := k.catalog.Load()
	if snapshot.Configuration == nil {
		return
	}
	k.removeSteppedDown()
	if k.follow.StoreAge() > maxStoreAge || !k.follow.Designated() || k.isDraining() {
		return
	}
	for _, service := range snapshot.Configuration.KeyedServices() {
		if k.isKeeping(service.Name) || !k.mayTakeOver(service.Name) {
			continue
		}
		k.checkKeeper(ctx, snapshot, service.Name)
	}
}

func (k *Keeper) isDraining() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.draining
}

func (k *Keeper) isKeeping(service model.PoolName) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.serviceKeepers[service] != nil
}

// mayTakeOver reports whether this daemon may try to become the keeper of a service now: not
// soon after a try that failed.
func (k *Keeper) mayTakeOver(service model.PoolName) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.takeovers.due(service, time.Now())
}

// removeSteppedDown removes the serviceKeepers that have stepped down by themselves, and
// waits until they have stopped.
func (k *Keeper) removeSteppedDown() {
	k.mu.Lock()
	var removed []*serviceKeeper
	for _, s := range k.serviceKeepers {
		if s.hasSteppedDown() {
			removed = append(removed, s)
		}
	}
	k.mu.Unlock()
	for _, s := range removed {
		k.stopKeeping(s)
	}
}

// checkKeeper takes over a service that has no keeper, or whose keeper has stopped,
// does not answer, or has lost contact with the store.
func (k *Keeper) checkKeeper(ctx context.Context, snapshot *catalog.Snapshot, service model.PoolName) {
	owners := snapshot.Owners[service]
	w := k.watch(service, owners)
	if owners == nil {
		k.assignInitially(ctx, snapshot, service, w)
		return
	}
	if owners.Keeper == k.config.Name {
		k.takeOver(ctx, owners, "this daemon was the keeper before", true)
		return
	}
	d, known := k.follow.DaemonByName(owners.Keeper)
	if !known {
		k.takeOver(ctx, owners, "the keeper is not a known daemon", false)
		return
	}
	response, err := k.queryStatus(ctx, d, service)
	switch {
	case err == nil && response.Incarnation != owners.KeeperIncarnation:
		k.takeOver(ctx, owners, "the keeper's process has ended", true)
	case err == nil && !response.Keeping:
		k.takeOver(ctx, owners, "the keeper has stepped down", true)
	case err == nil && response.Keeping && k.mayRewrite(owners):
		w.failedQueries = 0
	case err == nil && time.Duration(response.StoreAgeMS)*time.Millisecond > maxKeeperStoreAge:
		k.takeOver(ctx, owners, "the keeper has no recent answer from the store", false)
	case err == nil:
		w.failedQueries = 0
	case errors.Is(err, syscall.ECONNREFUSED):
		k.takeOver(ctx, owners, "the keeper's process has ended", true)
	default:
		w.failedQueries++
		if w.failedQueries >= maxFailedQueries {
			k.takeOver(ctx, owners, "the keeper does not answer", false)
		}
	}
}

// watch returns the observations of a service's keeper. They start anew when the
// owners record has changed.
func (k *Keeper) watch(service model.PoolName, owners *catalog.Owners) *watchedKeeper {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.watchedKeepers[service]
	if w == nil || (owners != nil && w.position != owners.Position) {
		w = &watchedKeeper{watchedSince: time.Now()}
		if owners != nil {
			w.position = owners.Position
		}
		k.watchedKeepers[service] = w
	}
	return w
}

func (k *Keeper) queryDaemon(ctx context.Context, d follow.Daemon, service model.PoolName) (*statusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return rpc.Call[statusResponse](ctx, k.client, d.Control, methodStatus, &statusRequest{Service: service})
}

func (k *Keeper) serveStatus(_ context.Context, r *statusRequest) (*statusResponse, error) {
	return &statusResponse{
		Incarnation: k.follow.Self().Incarnation,
		Keeping:     k.isKeeping(r.Service),
		StoreAgeMS:  k.follow.StoreAge().Milliseconds(),
	}, nil
}

// assignInitially becomes the keeper of a service that has no owners record yet, and
// assigns its keys. Daemons other than the first candidate wait for
// 3*initialAssignmentDelay, so that not all of them try at once.
func (k *Keeper) assignInitially(ctx context.Context, snapshot *catalog.Snapshot, service model.PoolName, w *watchedKeeper) {
	if k.follow.DesignatedFollowers()[0].Name != k.config.Name && time.Since(w.watchedSince) < 3*initialAssignmentDelay {
		return
	}
	if len(snapshot.ByService[service]) == 0 {
		return
	}
	if w.assignAfter.IsZero() {
		w.assignAfter = time.Now().Add(initialAssignmentDelay)
	}
	if time.Now().Before(w.assignAfter) {
		return
	}
	var usable []*catalog.Server
	for _, server := range snapshot.ByService[service] {
		if !server.Leaving && !snapshot.Evacuated(server.Zone) {
			usable = append(usable, server)
		}
	}
	k.assignFirst(ctx, service, divide(newLoad(time.Now()), k.withoutCold(usable, time.Now())))
}

// assignFirst becomes the keeper of a service without an owners record, with the given
// ranges. After the first era the store may have lost a record that gave keys to others.
func (k *Keeper) assignFirst(ctx context.Context, service model.PoolName, ranges []catalog.Range) {
	if k.follow.StoreEra() == 0 {
		return // the store has not answered yet
	}
	first := &catalog.Owners{Service: service, Term: 1, Ranges: ranges, Position: platform.Position{Era: k.follow.StoreEra()}}
	for i := range ranges {
		ranges[i].Fence = nextFence(first.Position)
	}
	const reason = "the service has no keeper yet"
	if first.Era == platform.FirstEra {
		k.becomeKeeper(ctx, first, time.Time{}, reason)
		return
	}
	k.becomeUncertainKeeper(ctx, first, reason)
}

// takeOver becomes the keeper of a service and assigns the same keys to the same
// servers under higher fences. earlierStopped says that the earlier keeper's process
// has ended, or that it has stepped down.
func (k *Keeper) takeOver(ctx context.Context, owners *catalog.Owners, reason string, earlierStopped bool) {
	next := *owners
	next.Term++
	era := k.follow.StoreEra()
	if owners.Era < era {
		next.Position = platform.Position{Era: era}
	}
	next.Ranges = append([]catalog.Range(nil), owners.Ranges...)
	for i := range next.Ranges {
		next.Ranges[i].Fence = nextFence(next.Position)
	}
	if owners.Era < era || owners.Uncertain {
		k.becomeUncertainKeeper(ctx, &next, reason)
		return
	}
	next.EarlierKeeperMayRenew = owners.EarlierKeeperMayRenew || !earlierStopped
	earlierGrantsUntil := time.Now().Add(maxGrantLifetime(k.grantHold()))
	if next.EarlierKeeperMayRenew {
		// Without contact to the store, the earlier keeper goes on renewing for this time.
		earlierGrantsUntil = time.Now().Add(k.longestEarlierGrants())
	}
	s := k.becomeKeeper(ctx, &next, earlierGrantsUntil, reason)
	if s == nil || earlierStopped || owners.EarlierKeeperMayRenew {
		return
	}
	d, known := k.follow.DaemonByName(owners.Keeper)
	if !known {
		return
	}
	request := &yieldRequest{Service: next.Service, Term: next.Term, Era: s.era()}
	if lastGrantAt, confirmed := k.requestYield(ctx, d, request); confirmed {
		s.endEarlierGrantsAt(lastGrantAt.Add(maxGrantLifetime(k.grantHold())))
	}
}

// longestEarlierGrants returns the time for which grants of an earlier keeper that has lost
// its contact to the store may stay in force.
func (k *Keeper) longestEarlierGrants() time.Duration {
	return maxGrantLifetime(k.grantHold()) + maxRenewWithoutStore
}

// becomeKeeper writes the owners record with this daemon as keeper and begins to renew
// grants and move keys. It returns nil when the write failed or this daemon is
// shutting down.
func (k *Keeper) becomeKeeper(ctx context.Context, next *catalog.Owners, earlierGrantsUntil time.Time, reason string) *serviceKeeper {
	next.Keeper = k.config.Name
	next.KeeperIncarnation = k.follow.Self().Incarnation
	written, err := k.put(ctx, next)
	if err != nil {
		k.mu.Lock()
		k.takeovers.failed(next.Service, time.Now())
		k.mu.Unlock()
		k.log.Warn("failed to become keeper", zap.String("service", string(next.Service)), zap.String("why", reason), zap.Error(err))
		if errors.Is(err, platform.ErrConflict) {
			k.follow.RefreshShared(ctx)
		}
		return nil
	}
	k.log.Info("became keeper", zap.String("service", string(next.Service)), zap.String("why", reason),
		zap.Uint64("term", uint64(next.Term)), zap.Uint64("revision", uint64(written.Revision)),
		zap.Uint64("era", uint64(written.Era)), zap.Bool("uncertain", written.Uncertain))
	if next.EarlierKeeperMayRenew {
		// The earlier keeper may have had contact to the store until the write.
		earlierGrantsUntil = later(earlierGrantsUntil, time.Now().Add(k.longestEarlierGrants()))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.takeovers.succeeded(next.Service)
	if k.draining || k.yielded[next.Service].laterThan(written) {
		return nil
	}
	s := newServiceKeeper(k, written, earlierGrantsUntil)
	if written.Uncertain {
		s.done.Add(1)
		go k.confirmNoOtherKeeper(s)
	}
	k.serviceKeepers[next.Service] = s
	return s
}
