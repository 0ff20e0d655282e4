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
