package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

const (
	leavingPeriod     = 250 * time.Millisecond // between two checks for leaving servers that still own keys
	leavingTimeout    = 400 * time.Millisecond // of one message to a keeper
	maxLeavingServers = 1024                   // remembered by the keeper of a service
)

// methodLeaving tells a keeper which servers said that they are leaving. Daemons of earlier
// builds do not have it: the keys then move when the store has the server as leaving.
const methodLeaving rpc.Method = "keeper.leaving"

// leavingRequest names server processes of a service that said that they are leaving.
type leavingRequest struct {
	Service model.PoolName  `json:"service"`
	Servers []leavingServer `json:"servers"`
}

// leavingServer is one process of a server.
type leavingServer struct {
	ID        model.ServerID `json:"server"`
	StartedMS int64          `json:"started_ms"`
}

type leavingResponse struct{}

// leavingServers holds the start, in Unix milliseconds, of the process that said that it is
// leaving, by its server's id.
type leavingServers map[model.ServerID]int64

// leavingLoop tells the keepers about servers that said to this daemon that they are
// leaving. It repeats this while such a server owns keys, since the message may be lost and
// another daemon may become the keeper.
func (k *Keeper) leavingLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(leavingPeriod):
		}
		for _, request := range k.leavingOwners() {
			k.sendLeaving(ctx, request)
		}
	}
}

// leavingOwners returns, for each service, the servers that own keys and said that they are
// leaving.
func (k *Keeper) leavingOwners() []*leavingRequest {
	leaving := leavingServers{}
	for _, p := range k.backends.LeavingProcesses() {
		leaving[p.Server] = max(leaving[p.Server], p.StartedMS)
	}
	if len(leaving) == 0 {
		return nil
	}
	var requests []*leavingRequest
	for service, owners := range k.catalog.Load().Owners {
		request := &leavingRequest{Service: service}
		listed := leavingServers{}
		for _, r := range owners.Ranges {
			started, isLeaving := leaving[r.Server]
			_, isListed := listed[r.Server]
			if isLeaving && started == r.StartedMS && !isListed {
				listed[r.Server] = started
				request.Servers = append(request.Servers, leavingServer{ID: r.Server, StartedMS: started})
			}
		}
		if len(request.Servers) > 0 {
			requests = append(requests, request)
		}
	}
	return requests
}

// sendLeaving tells the keeper of a service which of its servers are leaving.
func (k *Keeper) sendLeaving(ctx context.Context, request *leavingRequest) {
	owners := k.catalog.Load().Owners[request.Service]
	if owners == nil {
		return
	}
	if owners.Keeper == k.config.Name {
		k.applyLeaving(request)
		return
	}
	d, known := k.follow.DaemonByName(owners.Keeper)
	if !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leavingTimeout)
	defer cancel()
	if _, err := rpc.Call[leavingResponse](ctx, k.client, d.Control, methodLeaving, request); err != nil {
		k.log.Info("failed to tell the keeper that servers are leaving", zap.String("service", string(request.Service)),
			zap.String("peer", string(owners.Keeper)), zap.Error(err))
	}
}

// serveLeaving serves methodLeaving.
func (k *Keeper) serveLeaving(_ context.Context, r *leavingRequest) (*leavingResponse, error) {
	k.applyLeaving(r)
	return &leavingResponse{}, nil
}

// applyLeaving records the leaving servers if this daemon is the keeper of their service.
func (k *Keeper) applyLeaving(r *leavingRequest) {
	k.mu.Lock()
	s := k.serviceKeepers[r.Service]
	k.mu.Unlock()
	if s != nil {
		s.recordLeaving(r.Servers)
	}
}

// recordLeaving records that owners of keys said that they are leaving. They get no keys
// any more, until another process has their id.
func (s *serviceKeeper) recordLeaving(servers []leavingServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range servers {
		if s.leaving[server.ID] == server.StartedMS || !s.ownsKeys(server.ID) {
			continue
		}
		if len(s.leaving) >= maxLeavingServers {
			s.forgetLeaving()
		}
		s.leaving[server.ID] = server.StartedMS
		s.log.Info("keys leave a server that said that it is leaving", zap.String("server", string(server.ID)), zap.Int64("born", server.StartedMS))
	}
}

// forgetLeaving forgets the leaving servers that own no keys. s.mu must be held.
func (s *serviceKeeper) forgetLeaving() {
	for id := range s.leaving {
		if !s.ownsKeys(id) {
			delete(s.leaving, id)
		}
	}
}

// ownsKeys reports whether the owners record names the server. s.mu must be held.
func (s *serviceKeeper) ownsKeys(id model.ServerID) bool {
	for _, r := range s.owners.Ranges {
		if r.Server == id {
			return true
		}
	}
	return false
}

// isLeaving reports whether the server is registered as leaving or said that it is. s.mu
// must be held.
func (s *serviceKeeper) isLeaving(server *catalog.Server) bool {
	return server.Leaving || s.saidLeaving(server)
}

// saidLeaving reports whether the process of the server said that it is leaving. s.mu must
// be held.
func (s *serviceKeeper) saidLeaving(server *catalog.Server) bool {
	started, said := s.leaving[server.ID]
	return said && started == server.StartedMS
}

// countHandedOver counts the keys of a range that moves because the server said that it is
// leaving. s.mu must be held.
func (s *serviceKeeper) countHandedOver(server *catalog.Server, r catalog.Range) {
	if server != nil && !server.Leaving && s.saidLeaving(server) {
		s.keeper.handedOver.Add(r.To - r.From + 1)
	}
}
