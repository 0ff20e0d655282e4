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
		pause := renewPeriod
		for _, pool := range a.pools(ctx) {
			if pool.draining {
				pause = drainPeriod
			}
			a.startRenewal(ctx, pool.name)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-time.After(pause):
		}
	}
}

type poolState struct {
	name     model.PoolName
	draining bool
	seq      model.Seq
	until    time.Time
}

// pools returns the pools in which this life of the daemon is a dispatcher.
func (a *Agent) pools(ctx context.Context) []poolState {
	var pools []poolState
	_ = a.loop.Call(ctx, func() {
		for name, holder := range a.holders {
			if holder.IsDispatcher() {
				pools = append(pools, poolState{
					name:     name,
					draining: a.draining(holder.Assignment()),
					seq:      holder.Seq(),
					until:    holder.PermitsUntil(),
				})
			}
		}
	})
	return pools
}

// draining reports that a coordinator waits for requests of this daemon to end.
func (a *Agent) draining(known *ownership.Assignment) bool {
	now := time.Now()
	for i := range known.Servers {
		server := &known.Servers[i]
		for _, shard := range a.gate.Undrained(model.ServerRef{Pool: known.Pool, Server: server.ID}, now) {
			if state, ok := known.Shard(shard); ok && (state.Next != "" || server.State != ownership.ServerActive) {
				return true
			}
		}
	}
	return false
}

// startRenewal renews a pool unless a renewal is under way.
func (a *Agent) startRenewal(ctx context.Context, pool model.PoolName) {
	if _, under := a.busy.LoadOrStore(pool, true); under {
		return
	}
	go func() {
		defer a.busy.Delete(pool)
		if err := a.renew(ctx, pool); err != nil {
			a.counters.failed(1)
			a.log.Debug("permits not renewed", zap.String("step", "renew"), zap.String("pool", string(pool)), zap.Error(err))
		}
	}()
}

// renew asks the coordinator. Permits count from the moment before.
func (a *Agent) renew(ctx context.Context, pool model.PoolName) error {
	ctx, cancel := context.WithTimeout(ctx, renewLimit)
	defer cancel()
	var request *ctlproto.RenewRequest
	coordinator := ""
	if err := a.loop.Call(ctx, func() { request, coordinator = a.renewal(pool, time.Now()) }); err != nil {
		return err
	}
	asked := time.Now()
	answer, err := rpc.Call[ctlproto.RenewResponse](ctx, a.client, coordinator, ctlproto.MethodRenew, request)
	if err != nil {
		return err
	}
	if answer.Refusal != nil {
		a.counters.refused(1)
		a.pullNewer(ctx, answer.Refusal, request.Term, coordinator)
		return nil
	}
	a.counters.renewals(1)
	return a.loop.Call(ctx, func() { a.renewed(pool, asked, answer) })
}

// pullNewer learns the newer term from the daemon that knows it.
func (a *Agent) pullNewer(ctx context.Context, refusal *ctlproto.Refusal, term model.Term, peer string) {
	if refusal.Term > term {
		a.attest.Pull(ctx, peer)
	}
}

// renewal runs on the control goroutine. Loads, and health that has not
// changed, travel once in a report period; all else travels at once.
func (a *Agent) renewal(pool model.PoolName, now time.Time) (*ctlproto.RenewRequest, string) {
	known := a.holder(pool).Assignment()
	full := now.Sub(a.reported[pool]) >= reportPeriod
	request := &ctlproto.RenewRequest{
		Pool:     pool,
		Term:     known.Term,
		Ack:      a.ack(pool),
		Evidence: a.evidenceOf(known, full),
	}
	if !full {
		return request, known.Coordinator.Control
	}
	a.reported[pool] = now
	for _, load := range a.board.Loads() {
		if load.Server.Pool == pool {
			request.Loads = append(request.Loads, load)
		}
	}
	return request, known.Coordinator.Control
}

// renewed runs on the control goroutine.
func (a *Agent) renewed(pool model.PoolName, asked time.Time, answer *ctlproto.RenewResponse) {
	a.take(answer.Update)
	holder := a.holder(pool)
	if holder.Assignment().Term > answer.Term {
		return
	}
	holder.Confirm(answer.Seq, asked)
	a.heard[pool] = time.Now()
	a.thaw(pool, "the coordinator answers")
	a.apply()
}

// attestLoop asks the fleet for the pools whose coordinator does not answer.
func (a *Agent) attestLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(renewPeriod):
		}
		stale := map[model.PoolName]model.Seq{}
		for _, pool := range a.pools(ctx) {
			if time.Until(pool.until) < ownership.PermitDuration-attestAfter {
				stale[pool.name] = pool.seq
			}
		}
		if len(stale) > 0 {
			a.attestPools(ctx, stale)
		}
	}
}

func (a *Agent) attestPools(ctx context.Context, stale map[model.PoolName]model.Seq) {
	asked := time.Now()
	confirmed := a.attest.Confirmed(ctx, stale)
	_ = a.loop.Call(ctx, func() {
		for _, pool := range confirmed {
			a.counters.attested(1)
			a.holder(pool).Confirm(stale[pool], asked)
			a.freeze(pool)
		}
		a.apply()
	})
}

// freeze notes that a pool goes on under its last assignment. It runs on the control goroutine.
func (a *Agent) freeze(pool model.PoolName) {
	if a.frozen[pool] {
		return
	}
	a.frozen[pool] = true
	a.journal.Add(journal.Event{
		Kind:  journal.Frozen,
		Pool:  pool,
		Cause: "the coordinator does not answer; more than half of the fleet knows no newer assignment",
		Term:  a.holder(pool).Assignment().Term,
		Seq:   a.holder(pool).Seq(),
	})
}

// thaw runs on the control goroutine.
func (a *Agent) thaw(pool model.PoolName, cause string) {
	if !a.frozen[pool] {
		return
	}
	delete(a.frozen, pool)
	a.journal.Add(journal.Event{Kind: journal.Thawed, Pool: pool, Cause: cause, Seq: a.holder(pool).Seq()})
}
