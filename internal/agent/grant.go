package agent

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// Times of grants.
const (
	grantPeriod = time.Second            // time between two renewals at a server
	grantLimit  = 300 * time.Millisecond // bound of one call
	grantPause  = 20 * time.Millisecond  // least time between two calls
)

// grant permits a server to run requests of one shard under one epoch.
type grant struct {
	Shard   model.ShardID `json:"shard"`
	Term    model.Term    `json:"term"`
	Epoch   model.Epoch   `json:"epoch"`
	ValidMS int64         `json:"valid_ms"`
}

// grantAnswer lists what the server refused as older than its own.
type grantAnswer struct {
	Refused []grant `json:"refused,omitempty"`
}

// granter gives grants to the servers that check them. A shard is opened in
// the gate only after its server has the grant.
type granter struct {
	agent *Agent
	http  *fasthttp.Client

	mu      sync.Mutex
	servers map[model.ServerRef]*grantee
}

// grantee is one server that checks grants.
type grantee struct {
	permit  *ownership.Permit
	granted map[model.ShardID]model.Epoch
	at      time.Time // of the last grants
	tried   time.Time // of the last call
	busy    bool
}

// due reports that the server has to be called now.
func (s *grantee) due(now time.Time) bool {
	if s.busy || !now.Before(s.permit.Until) || now.Sub(s.tried) < grantPause {
		return false
	}
	return !maps.Equal(s.granted, s.permit.Shards) || now.Sub(s.at) > grantPeriod
}

func newGranter(a *Agent) *granter {
	return &granter{
		agent: a,
		http: &fasthttp.Client{
			Dial:                      a.network.Dial,
			MaxIdemponentCallAttempts: 1,
		},
		servers: map[model.ServerRef]*grantee{},
	}
}

// restrict returns the permits without the shards that their server was not
// granted yet, and starts to grant those.
func (g *granter) restrict(permits []*ownership.Permit) []*ownership.Permit {
	compiled := g.agent.directory.Load().Settings
	if compiled == nil {
		return permits
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	restricted := make([]*ownership.Permit, 0, len(permits))
	open := map[model.ServerRef]bool{}
	for _, permit := range permits {
		pool := compiled.Pools[permit.Server.Pool]
		if pool == nil || !pool.ChecksGrants || !permit.Keyed {
			restricted = append(restricted, permit)
			continue
		}
		open[permit.Server] = true
		restricted = append(restricted, g.restrictOne(permit))
	}
	for ref := range g.servers {
		if !open[ref] {
			delete(g.servers, ref)
		}
	}
	return restricted
}

// restrictOne runs under the lock.
func (g *granter) restrictOne(permit *ownership.Permit) *ownership.Permit {
	s, ok := g.servers[permit.Server]
	if !ok {
		s = &grantee{granted: map[model.ShardID]model.Epoch{}}
		g.servers[permit.Server] = s
	}
	s.permit = permit
	if now := time.Now(); s.due(now) {
		s.busy = true
		s.tried = now
		go g.renew(permit.Server, permit)
	}
	limited := *permit
	limited.Shards = map[model.ShardID]model.Epoch{}
	for shard, epoch := range permit.Shards {
		if s.granted[shard] == epoch {
			limited.Shards[shard] = epoch
		}
	}
	return &limited
}

// renew sends the grants of one server and revokes those that moved away.
func (g *granter) renew(ref model.ServerRef, permit *ownership.Permit) {
	valid := time.Until(permit.Until).Milliseconds()
	answer, err := g.send(permit.Address, g.grants(ref, permit, valid))
	if err != nil {
		g.agent.log.Debug("grants not given", zap.String("step", "grant"), zap.String("peer", ref.String()), zap.Error(err))
	}
	g.mu.Lock()
	if s, ok := g.servers[ref]; ok {
		s.busy = false
		if err == nil {
			s.at = time.Now()
			s.granted = accepted(permit, answer)
		}
	}
	g.mu.Unlock()
	if err == nil {
		g.agent.loop.Post(g.agent.apply)
	}
}

func (g *granter) grants(ref model.ServerRef, permit *ownership.Permit, valid int64) []grant {
	var grants []grant
	for shard, epoch := range permit.Shards {
		grants = append(grants, grant{Shard: shard, Term: permit.Term, Epoch: epoch, ValidMS: max(valid, 0)})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.servers[ref]
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

func accepted(permit *ownership.Permit, answer *grantAnswer) map[model.ShardID]model.Epoch {
	granted := maps.Clone(permit.Shards)
	for _, refused := range answer.Refused {
		delete(granted, refused.Shard)
	}
	return granted
}

func (g *granter) send(address string, grants []grant) (*grantAnswer, error) {
	body, err := json.Marshal(grants)
	if err != nil {
		return nil, errors.Wrap(err, "encode grants")
	}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + wire.PathGrant)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyRaw(body)
	if err := g.http.DoTimeout(request, response, grantLimit); err != nil {
		return nil, errors.Wrapf(err, "grant at %s", address)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("grant at %s: status %d", address, response.StatusCode())
	}
	answer := &grantAnswer{}
	return answer, errors.Wrap(json.Unmarshal(response.Body(), answer), "decode the grants' answer")
}
