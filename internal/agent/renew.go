package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/ctlproto"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// renewLoop renews the permits of all pools in which this daemon dispatches.
func (a *Agent) renewLoop(ctx context.Context) {
	for {
		pause := renewInterval
		for _, pool := range a.pools(ctx) {
			if pool.draining {
				pause = drainRenewInterval
			}
			a.startRenewal(ctx, pool.name)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.renewNow:
		case <-time.After(pause):
		}
	}
}

// poolState is what the renewal and attest loops need of one pool.
type poolState struct {
	name         model.PoolName
	draining     bool      // see Agent.draining
	seq          model.Seq // version of this daemon's assignment
	permitsUntil time.Time // expiry of the permits
}

// pools returns the pools in which this incarnation of the daemon is a dispatcher.
func (a *Agent) pools(ctx context.Context) []poolState {
	var pools []poolState
	_ = a.loop.Call(ctx, func() {
		for name, replica := range a.replicas {
			if replica.IsDispatcher() {
				pools = append(pools, poolState{
					name:         name,
					draining:     a.draining(replica.Assignment()),
					seq:          replica.Seq(),
					permitsUntil: replica.PermitsUntil(),
				})
			}
		}
	})
	return pools
}

// draining reports whether the coordinator waits for requests of this daemon to end: whether
// one is in flight for a shard that moves or at a server that is not active.
func (a *Agent) draining(assignment *ownership.Assignment) bool {
	now := time.Now()
	for i := range assignment.Servers {
		server := &assignment.Servers[i]
		for _, shard := range a.gate.Undrained(model.ServerRef{Pool: assignment.Pool, Server: server.ID}, now) {
			if state, ok := assignment.Shard(shard); ok && (state.Next != "" || server.State != ownership.ServerActive) {
				return true
			}
		}
	}
	return false
}

// startRenewal renews the permits of a pool in the background, unless a renewal is in flight.
func (a *Agent) startRenewal(ctx context.Context, pool model.PoolName) {
	if _, running := a.renewing.LoadOrStore(pool, true); running {
		return
	}
	go func() {
		defer a.renewing.Delete(pool)
		if err := a.renewPermits(ctx, pool); err != nil {
			a.counters.failed(1)
			a.log.Debug("coordinator did not renew the permits", zap.String("step", "renew"), zap.String("pool", string(pool)), zap.Error(err))
		}
	}()
}

// renewPermits renews the permits of a pool with its coordinator. They are valid from the
// moment before the request, so that they expire here before the coordinator counts them as
// expired.
func (a *Agent) renewPermits(ctx context.Context, pool model.PoolName) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var request *ctlproto.RenewRequest
	coordinator := ""
	if err := a.loop.Call(ctx, func() { request, coordinator = a.buildRenewRequest(pool, time.Now()) }); err != nil {
		return err
	}
	askedAt := time.Now()
	response, err := rpc.Call[ctlproto.RenewResponse](ctx, a.client, coordinator, ctlproto.MethodRenew, request)
	if err != nil {
		return err
	}
	if response.Refusal != nil {
		a.counters.refused(1)
		a.pullNewerTerm(ctx, response.Refusal, request.Term, coordinator)
		return nil
	}
	a.counters.renewals(1)
	return a.loop.Call(ctx, func() { a.applyRenewal(pool, askedAt, response) })
}

// pullNewerTerm pulls the assignments from a daemon that refused a request because it has seen
// a newer term.
func (a *Agent) pullNewerTerm(ctx context.Context, refusal *ctlproto.Refusal, term model.Term, peer string) {
	if refusal.Term > term {
		a.attest.Pull(ctx, peer)
	}
}

// buildRenewRequest returns the request for a renewal and the control address of the pool's
// coordinator. Loads and unchanged health are included once in a reportInterval, all else
// always. It runs on the control goroutine.
func (a *Agent) buildRenewRequest(pool model.PoolName, now time.Time) (*ctlproto.RenewRequest, string) {
	assignment := a.replica(pool).Assignment()
	full := now.Sub(a.reportedAt[pool]) >= reportInterval
	request := &ctlproto.RenewRequest{
		Pool:     pool,
		Term:     assignment.Term,
		Ack:      a.buildAck(pool),
		Evidence: a.evidenceToSend(assignment, full),
	}
	if !full {
		return request, assignment.Coordinator.Control
	}
	a.reportedAt[pool] = now
	for _, load := range a.observations.Loads() {
		if load.Server.Pool == pool {
			request.Loads = append(request.Loads, load)
		}
	}
	return request, assignment.Coordinator.Control
}

// applyRenewal applies the coordinator's answer to a renewal that was requested at askedAt. It
// runs on the control goroutine.
func (a *Agent) applyRenewal(pool model.PoolName, askedAt time.Time, response *ctlproto.RenewResponse) {
	a.applyUpdate(response.Update)
	replica := a.replica(pool)
	if replica.Assignment().Term > response.Term {
		return
	}
	replica.Confirm(response.Seq, askedAt)
	a.coordinatorAnsweredAt[pool] = time.Now()
	a.clearFrozen(pool, "the coordinator answers")
	a.applyPermits()
}

// attestLoop asks the fleet to confirm the permits of the pools whose coordinator does not
// renew them.
func (a *Agent) attestLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(renewInterval):
		}
		stale := map[model.PoolName]model.Seq{}
		for _, pool := range a.pools(ctx) {
			if time.Until(pool.permitsUntil) < ownership.PermitDuration-attestAge {
				stale[pool.name] = pool.seq
			}
		}
		if len(stale) > 0 {
			a.attestPools(ctx, stale)
		}
	}
}

// attestPools extends the permits of the pools for which more than half of the fleet has
// confirmed that the given version of the assignment is the newest one.
func (a *Agent) attestPools(ctx context.Context, stale map[model.PoolName]model.Seq) {
	askedAt := time.Now()
	confirmed := a.attest.ConfirmNewest(ctx, stale)
	_ = a.loop.Call(ctx, func() {
		for _, pool := range confirmed {
			a.counters.attested(1)
			a.replica(pool).Confirm(stale[pool], askedAt)
			a.markFrozen(pool)
		}
		a.applyPermits()
	})
}

// markFrozen records that a pool is frozen: it continues under its last assignment while its
// coordinator does not answer. It runs on the control goroutine.
func (a *Agent) markFrozen(pool model.PoolName) {
	if a.frozenPools[pool] {
		return
	}
	a.frozenPools[pool] = true
	a.journal.Add(journal.Event{
		Kind:  journal.Frozen,
		Pool:  pool,
		Cause: "the coordinator does not answer; more than half of the fleet knows no newer assignment",
		Term:  a.replica(pool).Assignment().Term,
		Seq:   a.replica(pool).Seq(),
	})
}

// clearFrozen records that a pool is no longer frozen. It runs on the control goroutine.
func (a *Agent) clearFrozen(pool model.PoolName, cause string) {
	if !a.frozenPools[pool] {
		return
	}
	delete(a.frozenPools, pool)
	a.journal.Add(journal.Event{Kind: journal.Thawed, Pool: pool, Cause: cause, Seq: a.replica(pool).Seq()})
}
