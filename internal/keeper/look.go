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

type askRequest struct {
	Service model.PoolName `json:"service"`
}

type askAnswer struct {
	Life model.Incarnation `json:"life"`
	// Keeping says that the daemon tends the service's keys.
	Keeping bool `json:"keeping"`
	// StoreAgeMS is the time since the store answered the daemon.
	StoreAgeMS int64 `json:"store_age_ms"`
}

type yieldRequest struct {
	Service model.PoolName `json:"service"`
	// Term is the term of the keeper that asks.
	Term model.Term `json:"term"`
}

type yieldAnswer struct{}

// watchedKeeper is another daemon's keeping as this one sees it.
type watchedKeeper struct {
	revision  uint64
	failed    int // questions in a row without an answer
	knownAt   time.Time
	creatable time.Time // when a new service may be divided
}

func (k *Keeper) lookLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lookPeriod):
		}
		k.look(ctx)
	}
}

// look sees to it that each keyed service has a keeper.
func (k *Keeper) look(ctx context.Context) {
	snapshot := k.catalog.Load()
	if snapshot.Configuration == nil {
		return
	}
	k.dropDeposed()
	if k.follow.StoreAge() > storeFresh || !k.follow.Designated() || k.isLeaving() {
		return
	}
	for _, service := range snapshot.Configuration.KeyedServices() {
		if k.tending(service.Name) {
			continue
		}
		k.lookAt(ctx, snapshot, service.Name)
	}
}

func (k *Keeper) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving
}

func (k *Keeper) tending(service model.PoolName) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tenders[service] != nil
}

func (k *Keeper) dropDeposed() {
	k.mu.Lock()
	var ended []*tender
	for service, t := range k.tenders {
		if t.isDeposed() {
			ended = append(ended, t)
			delete(k.tenders, service)
		}
	}
	k.mu.Unlock()
	for _, t := range ended {
		t.stop()
	}
}

// lookAt takes a service whose keeper is missing, silent or cut off.
func (k *Keeper) lookAt(ctx context.Context, snapshot *catalog.Snapshot, service model.PoolName) {
	owners := snapshot.Owners[service]
	w := k.watch(service, owners)
	if owners == nil {
		k.create(ctx, snapshot, service, w)
		return
	}
	if owners.Keeper == k.config.Name {
		k.takeOver(ctx, owners, "this daemon's earlier life or keeping", true)
		return
	}
	d, known := k.follow.DaemonByName(owners.Keeper)
	if !known {
		k.takeOver(ctx, owners, "the keeper is not known", false)
		return
	}
	answer, err := k.ask(ctx, d, service)
	switch {
	case err == nil && answer.Life != owners.KeeperIncarnation:
		k.takeOver(ctx, owners, "the keeper's process has ended", true)
	case err == nil && !answer.Keeping:
		k.takeOver(ctx, owners, "the keeper has given up", true)
	case err == nil && time.Duration(answer.StoreAgeMS)*time.Millisecond > cutOffAfter:
		k.takeOver(ctx, owners, "the keeper does not hear from the store", false)
	case err == nil:
		w.failed = 0
	case errors.Is(err, syscall.ECONNREFUSED):
		k.takeOver(ctx, owners, "the keeper's process has ended", true)
	default:
		w.failed++
		if w.failed >= silentAsks {
			k.takeOver(ctx, owners, "the keeper does not answer", false)
		}
	}
}

func (k *Keeper) watch(service model.PoolName, owners *catalog.Owners) *watchedKeeper {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.watched[service]
	if w == nil || (owners != nil && w.revision != owners.Revision) {
		w = &watchedKeeper{knownAt: time.Now()}
		if owners != nil {
			w.revision = owners.Revision
		}
		k.watched[service] = w
	}
	return w
}

func (k *Keeper) askDaemon(ctx context.Context, d follow.Daemon, service model.PoolName) (*askAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return rpc.Call[askAnswer](ctx, k.client, d.Control, methodAsk, &askRequest{Service: service})
}

func (k *Keeper) serveAsk(_ context.Context, r *askRequest) (*askAnswer, error) {
	return &askAnswer{
		Life:       k.follow.Self().Incarnation,
		Keeping:    k.tending(r.Service),
		StoreAgeMS: k.follow.StoreAge().Milliseconds(),
	}, nil
}

// takeYield has the keeper of an earlier term give a service up, and reports that
// it did: the grants that it gave last are then the last ones.
func (k *Keeper) takeYield(ctx context.Context, d follow.Daemon, r *yieldRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	if err := k.yield(ctx, d, r); err != nil {
		k.log.Info("the earlier keeper was not heard", zap.String("peer", string(d.Name)), zap.String("service", string(r.Service)), zap.Error(err))
		return false
	}
	return true
}

func (k *Keeper) yieldDaemon(ctx context.Context, d follow.Daemon, r *yieldRequest) error {
	_, err := rpc.Call[yieldAnswer](ctx, k.client, d.Control, methodYield, r)
	return err
}

// serveYield ends this daemon's keeping of a service when another one has a later
// term. It answers when nothing is granted any more.
func (k *Keeper) serveYield(_ context.Context, r *yieldRequest) (*yieldAnswer, error) {
	k.mu.Lock()
	t := k.tenders[r.Service]
	if t != nil && t.term() >= r.Term {
		k.mu.Unlock()
		return nil, errors.Errorf("term %d of service %s is not later than this keeper's", r.Term, r.Service)
	}
	delete(k.tenders, r.Service)
	k.mu.Unlock()
	if t != nil {
		t.depose("another daemon keeps the keys", zap.Uint64("its_term", uint64(r.Term)))
		t.stop()
	}
	return &yieldAnswer{}, nil
}

// create divides a service that has no record yet.
func (k *Keeper) create(ctx context.Context, snapshot *catalog.Snapshot, service model.PoolName, w *watchedKeeper) {
	if k.follow.DesignatedFollowers()[0].Name != k.config.Name && time.Since(w.knownAt) < 3*createWait {
		return
	}
	if len(snapshot.ByService[service]) == 0 {
		return
	}
	if w.creatable.IsZero() {
		w.creatable = time.Now().Add(createWait)
	}
	if time.Now().Before(w.creatable) {
		return
	}
	var usable []*catalog.Server
	for _, server := range snapshot.ByService[service] {
		if !server.Leaving {
			usable = append(usable, server)
		}
	}
	ranges := divide(newLoad(time.Now()), usable)
	for i := range ranges {
		ranges[i].Fence = 1
	}
	k.take(ctx, &catalog.Owners{Service: service, Term: 1, Ranges: ranges}, time.Time{}, "the service has no keeper yet")
}

// takeOver grants the same keys to the same servers under higher fences. ended
// says that the old keeper's process has ended or tends no longer.
func (k *Keeper) takeOver(ctx context.Context, owners *catalog.Owners, why string, ended bool) {
	next := *owners
	next.Term++
	next.Ranges = append([]catalog.Range(nil), owners.Ranges...)
	for i := range next.Ranges {
		next.Ranges[i].Fence = nextFence(owners)
	}
	next.EarlierKeeperMayRenew = owners.EarlierKeeperMayRenew || !ended
	othersUntil := time.Now().Add(runOut(k.hold()))
	if next.EarlierKeeperMayRenew {
		othersUntil = othersUntil.Add(outageTending)
	}
	t := k.take(ctx, &next, othersUntil, why)
	if t == nil || ended || owners.EarlierKeeperMayRenew {
		return
	}
	d, known := k.follow.DaemonByName(owners.Keeper)
	if known && k.takeYield(ctx, d, &yieldRequest{Service: next.Service, Term: next.Term}) {
		t.othersEndAt(time.Now().Add(runOut(k.hold())))
	}
}

// take writes this daemon's keeping and begins to tend. It returns nil when the
// write failed.
func (k *Keeper) take(ctx context.Context, next *catalog.Owners, othersUntil time.Time, why string) *tender {
	next.Keeper = k.config.Name
	next.KeeperIncarnation = k.follow.Self().Incarnation
	written, err := k.put(ctx, next)
	if err != nil {
		k.log.Warn("keys not taken", zap.String("service", string(next.Service)), zap.String("why", why), zap.Error(err))
		if errors.Is(err, platform.ErrConflict) {
			k.follow.RefreshShared(ctx)
		}
		return nil
	}
	k.log.Info("keys taken", zap.String("service", string(next.Service)), zap.String("why", why),
		zap.Uint64("term", uint64(next.Term)), zap.Uint64("revision", written.Revision))
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return nil
	}
	t := newTender(k, written, othersUntil)
	k.tenders[next.Service] = t
	return t
}
