package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

// keyedReport holds a daemon's counts of one service since its last report.
type keyedReport = backends.KeyedStats

// reportRequest reports a daemon's counts to the keeper of the services.
type reportRequest struct {
	Services map[model.PoolName]*keyedReport `json:"services"`
}

type reportResponse struct{}

// reportLoop reports the load that this daemon observed to the keepers.
func (k *Keeper) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportPeriod):
		}
		k.sendReports(ctx)
	}
}

// sendReports sends each keeper the load of its services since the last report.
func (k *Keeper) sendReports(ctx context.Context) {
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
			k.applyReport(request)
			continue
		}
		d, known := k.follow.DaemonByName(keeper)
		if !known {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		if _, err := rpc.Call[reportResponse](callCtx, k.client, d.Control, methodReport, request); err != nil {
			k.log.Debug("failed to report load to the keeper", zap.String("peer", string(keeper)), zap.Error(err))
		}
		cancel()
	}
}

func (k *Keeper) serveReport(_ context.Context, r *reportRequest) (*reportResponse, error) {
	k.applyReport(r)
	return &reportResponse{}, nil
}

// applyReport adds a report to the load of the services that this daemon is the keeper of.
func (k *Keeper) applyReport(r *reportRequest) {
	for service, stats := range r.Services {
		k.mu.Lock()
		s := k.serviceKeepers[service]
		k.mu.Unlock()
		if s != nil && stats != nil {
			s.addReport(stats)
		}
	}
}
