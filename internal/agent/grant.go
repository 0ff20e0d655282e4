package agent

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// Intervals and bounds of grants.
const (
	grantInterval = time.Second            // time between two renewals of the grants at a server
	grantTimeout  = 300 * time.Millisecond // for one call of a server
	minGrantDelay = 20 * time.Millisecond  // least time between two calls of a server

	maxGrantResponseBytes = 1 << 20 // of the answer to one call
)

// grant allows a server to run requests of one shard under one epoch, for ValidMS milliseconds
// from its receipt. A grant with ValidMS 0 revokes.
type grant struct {
	Shard   model.ShardID `json:"shard"`
	Term    model.Term    `json:"term"`
	Epoch   model.Epoch   `json:"epoch"`
	ValidMS int64         `json:"valid_ms"`
}

// grantResponse lists the grants that the server refused because its own are newer.
type grantResponse struct {
	Refused []grant `json:"refused,omitempty"`
}

// granter sends grants to the servers that check them. A shard is opened in the gate only
// after its server has accepted the grant.
type granter struct {
	agent *Agent

	mu       sync.Mutex
	grantees map[model.ServerRef]*grantee // servers with a permit that check grants
}

// grantee is one server that checks grants.
type grantee struct {
	permit    *ownership.Permit
	address   string                        // to which conns lead
	conns     *httplink.Pool                // for the calls, one at a time
	granted   map[model.ShardID]model.Epoch // shards and epochs that the server has accepted
	grantedAt time.Time                     // when the server last accepted grants
	calledAt  time.Time                     // when the last call began
	calling   bool                          // a call is in flight
}

// due reports whether to call the server now: its grants differ from the permit or need a
// renewal, no call is in flight, and the last one began at least minGrantDelay ago.
func (s *grantee) due(now time.Time) bool {
	if s.calling || !now.Before(s.permit.Until) || now.Sub(s.calledAt) < minGrantDelay {
		return false
	}
	return !maps.Equal(s.granted, s.permit.Shards) || now.Sub(s.grantedAt) > grantInterval
}

// connectTo replaces the connections by ones to address (ip:port).
func (s *grantee) connectTo(address string, dial httplink.Dial) {
	if s.conns != nil {
		s.conns.Close()
	}
	s.address, s.conns = address, httplink.NewPool(address, 1, dial)
}

func newGranter(a *Agent) *granter {
	return &granter{agent: a, grantees: map[model.ServerRef]*grantee{}}
}

// restrict returns the permits without the shards for which the server has not accepted a
// grant yet, and starts calls to the servers that are due. Only pools that check grants are
// restricted. Servers without a permit are dropped from the grantees.
func (g *granter) restrict(permits []*ownership.Permit) []*ownership.Permit {
	settings := g.agent.directory.Load().Settings
	if settings == nil {
		return permits
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	restricted := make([]*ownership.Permit, 0, len(permits))
	checked := map[model.ServerRef]bool{}
	for _, permit := range permits {
		pool := settings.Pools[permit.Server.Pool]
		if pool == nil || !pool.ChecksGrants || !permit.Keyed {
			restricted = append(restricted, permit)
			continue
		}
		checked[permit.Server] = true
		restricted = append(restricted, g.restrictOne(permit))
	}
	for ref, s := range g.grantees {
		if !checked[ref] {
			s.conns.Close()
			delete(g.grantees, ref)
		}
	}
	return restricted
}

// restrictOne restricts the permit of one server. The caller holds g.mu.
func (g *granter) restrictOne(permit *ownership.Permit) *ownership.Permit {
	s, ok := g.grantees[permit.Server]
	if !ok {
		s = &grantee{granted: map[model.ShardID]model.Epoch{}}
		g.grantees[permit.Server] = s
	}
	if s.address != permit.Address {
		s.connectTo(permit.Address, g.agent.network.Dial)
	}
	s.permit = permit
	if now := time.Now(); s.due(now) {
		s.calling = true
		s.calledAt = now
		go g.sendGrants(permit.Server, permit, s.conns)
	}
	restricted := *permit
	restricted.Shards = map[model.ShardID]model.Epoch{}
	for shard, epoch := range permit.Shards {
		if s.granted[shard] == epoch {
			restricted.Shards[shard] = epoch
		}
	}
	return &restricted
}

// sendGrants sends a server the grants of its permit and revokes those of shards that are no
// longer in it. It then applies the permits again.
func (g *granter) sendGrants(ref model.ServerRef, permit *ownership.Permit, conns *httplink.Pool) {
	validMS := time.Until(permit.Until).Milliseconds()
	response, err := postGrants(conns, permit.Address, g.buildGrants(ref, permit, validMS))
	if err != nil {
		g.agent.log.Debug("grants could not be sent to the server", zap.String("step", "grant"), zap.String("peer", ref.String()), zap.Error(err))
	}
	g.mu.Lock()
	if s, ok := g.grantees[ref]; ok {
		s.calling = false
		if err == nil {
			s.grantedAt = time.Now()
			s.granted = acceptedShards(permit, response)
		}
	}
	g.mu.Unlock()
	if err == nil {
		g.agent.loop.Post(g.agent.applyPermits)
	}
}

// buildGrants returns the grants of a permit, valid for validMS, and the revocations of the
// shards that the server was granted but the permit lacks.
func (g *granter) buildGrants(ref model.ServerRef, permit *ownership.Permit, validMS int64) []grant {
	var grants []grant
	for shard, epoch := range permit.Shards {
		grants = append(grants, grant{Shard: shard, Term: permit.Term, Epoch: epoch, ValidMS: max(validMS, 0)})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.grantees[ref]
	if !ok {
		return grants
	}
	for shard, epoch := range s.granted {
		if _, kept := permit.Shards[shard]; !kept {
			grants = append(grants, grant{Shard: shard, Term: permit.Term, Epoch: epoch})
		}
	}
	return grants
}

// acceptedShards returns the shards of a permit, with their epochs, that the server accepted.
func acceptedShards(permit *ownership.Permit, response *grantResponse) map[model.ShardID]model.Epoch {
	granted := maps.Clone(permit.Shards)
	for _, refused := range response.Refused {
		delete(granted, refused.Shard)
	}
	return granted
}

// postGrants posts grants to the server at an address (ip:port).
func postGrants(conns *httplink.Pool, address string, grants []grant) (*grantResponse, error) {
	body, err := json.Marshal(grants)
	if err != nil {
		return nil, errors.Wrap(err, "encode grants")
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(wire.PathGrant)
	request.Header.SetHost(address)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyRaw(body)
	exchange, failure := conns.Do(ctx, request, response)
	if failure != nil {
		return nil, errors.Wrapf(failure, "grant at %s", address)
	}
	defer func() { _ = exchange.Close() }()
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("grant at %s: got HTTP status %d, want 200", address, response.StatusCode())
	}
	reply := &grantResponse{}
	err = readJSON(exchange, reply)
	return reply, errors.Wrap(err, "decode response to grants")
}

// readJSON decodes a body of at most maxGrantResponseBytes, which must be complete.
func readJSON(exchange *httplink.Exchange, out any) error {
	body, err := io.ReadAll(io.LimitReader(exchange, maxGrantResponseBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}
