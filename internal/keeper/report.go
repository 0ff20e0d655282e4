package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

type keyedReport = backends.KeyedStats

type reportRequest struct {
	Services map[model.PoolName]*keyedReport `json:"services"`
}

type reportAnswer struct{}

// reportLoop tells the keepers what this daemon saw.
func (k *Keeper) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportPeriod):
		}
		k.report(ctx)
	}
}

func (k *Keeper) report(ctx context.Context) {
	snapshot := k.catalog.Load()
	byKeeper := map[model.DaemonID]*reportRequest{}
	for service, stats := range k.backends.Stats().Take() {
		owners := snapshot.Owners[service]
		if owners == nil {
			continue
		}
		request := byKeeper[owners.Keeper]
		if request == nil {
			request = &reportRequest{Services: map[model.PoolName]*keyedReport{}}
			byKeeper[owners.Keeper] = request
		}
		request.Services[service] = stats
	}
	for keeper, request := range byKeeper {
		if keeper == k.config.Name {
			k.accept(request)
			continue
		}
		d, known := k.follow.DaemonByName(keeper)
		if !known {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		if _, err := rpc.Call[reportAnswer](callCtx, k.client, d.Control, methodReport, request); err != nil {
			k.log.Debug("load not reported", zap.String("peer", string(keeper)), zap.Error(err))
		}
		cancel()
	}
}

func (k *Keeper) serveReport(_ context.Context, r *reportRequest) (*reportAnswer, error) {
	k.accept(r)
	return &reportAnswer{}, nil
}

// accept gives a report to the tenders.
func (k *Keeper) accept(r *reportRequest) {
	for service, stats := range r.Services {
		k.mu.Lock()
		t := k.tenders[service]
		k.mu.Unlock()
		if t != nil && stats != nil {
			t.report(stats)
		}
	}
}
