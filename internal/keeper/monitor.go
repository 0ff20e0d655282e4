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

// yieldRequest asks a daemon to step down as keeper of a service.
type yieldRequest struct {
	Service model.PoolName `json:"service"`
	// Term is the term of the sender, the new keeper. It was appointed in the era Era,
	// which builds that know no eras leave out.
	Term model.Term   `json:"term"`
	Era  platform.Era `json:"era,omitempty"`
}

// laterThan reports whether the request is of a later term than the owners record; nil is
// of none.
func (r *yieldRequest) laterThan(owners *catalog.Owners) bool {
	return r != nil && r.asOwners().LaterTermThan(owners)
}

// asOwners returns owners of the era and the term of the sender.
func (r *yieldRequest) asOwners() *catalog.Owners {
	return &catalog.Owners{Position: platform.Position{Era: max(r.Era, platform.FirstEra)}, Term: r.Term}
}

// yieldResponse confirms that a daemon is not the keeper of a service, nor becomes it by an
// earlier write. Era and Term are those of the latest owners record that it knows. They are
// left out if it knows none, or none but that of an older copy of the store. IdleMS is for how
// long it has granted no keys of the service, in milliseconds. Earlier builds leave all
// three out.
type yieldResponse struct {
	Era    platform.Era `json:"era,omitempty"`
	Term   model.Term   `json:"term,omitempty"`
	IdleMS int64        `json:"idle_ms,omitempty"`
}

// lastGrantAt returns the latest time at which the sender may have granted keys, for a
// response that was received at a time.
func (r *yieldResponse) lastGrantAt(received time.Time) time.Time {
	return received.Add(-time.Duration(r.IdleMS) * time.Millisecond)
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
		if k.isKeeping(service.Name) {
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

// requestYield asks another daemon to step down as keeper, and reports whether it confirmed
// that. Once it has confirmed, it sends no further grants; lastGrantAt is the latest time at
// which it may have sent one.
func (k *Keeper) requestYield(ctx context.Context, d follow.Daemon, r *yieldRequest) (lastGrantAt time.Time, confirmed bool) {
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	response, err := k.yield(ctx, d, r)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return time.Now(), true // its process has ended
	}
	if err != nil {
		k.log.Info("earlier keeper did not confirm that it stepped down", zap.String("peer", string(d.Name)), zap.String("service", string(r.Service)), zap.Error(err))
		return time.Time{}, false
	}
	return response.lastGrantAt(time.Now()), true
}

func (k *Keeper) yieldDaemon(ctx context.Context, d follow.Daemon, r *yieldRequest) (*yieldResponse, error) {
	return rpc.Call[yieldResponse](ctx, k.client, d.Control, methodYield, r)
}

// serveYield steps down as keeper of a service when a daemon with a later term asks for
// it. It returns when all calls to servers have ended, so that no grant is sent later, not
// even if a write with which this daemon became keeper before is answered only now.
func (k *Keeper) serveYield(_ context.Context, r *yieldRequest) (*yieldResponse, error) {
	k.mu.Lock()
	s := k.serviceKeepers[r.Service]
	if s != nil && !s.yieldsTo(r) {
		k.mu.Unlock()
		return nil, errors.Errorf("keeper of service %s does not step down: term %d is not later than its own", r.Service, r.Term)
	}
	if k.yielded[r.Service] == nil || r.laterThan(k.yielded[r.Service].asOwners()) {
		k.yielded[r.Service] = r
	}
	k.mu.Unlock()
	if s != nil {
		s.stepDown("another daemon is the keeper", zap.Uint64("its_term", uint64(r.Term)))
		k.stopKeeping(s)
	}
	response := k.knownOwners(r.Service)
	response.IdleMS = k.grantsIdleFor(r.Service).Milliseconds()
	return response, nil
}

// grantsIdleFor returns the time for which this daemon has granted no keys of a service that
// it is not the keeper of.
func (k *Keeper) grantsIdleFor(service model.PoolName) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.grants.idleFor(service, time.Now())
}

// knownOwners returns the era and the term of the latest owners record that this daemon
// knows. A process that started in a later era than that of the record knows only what the
// older copy of the store had: it may have lost later ones.
func (k *Keeper) knownOwners(service model.PoolName) *yieldResponse {
	owners := k.catalog.Load().Owners[service]
	if owners == nil || owners.Era < k.follow.FollowedSince() {
		return &yieldResponse{}
	}
	return &yieldResponse{Era: owners.Era, Term: owners.Term}
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
		if !server.Leaving {
			usable = append(usable, server)
		}
	}
	k.assignFirst(ctx, service, divide(newLoad(time.Now()), usable))
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
