package backend

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Grant permits a server to run requests of one shard under one epoch.
type Grant struct {
	Shard model.ShardID `json:"shard"`
	Term  model.Term    `json:"term"`
	Epoch model.Epoch   `json:"epoch"`
	// ValidMS bounds the grant on the server's own clock, in milliseconds; zero revokes it.
	ValidMS int64 `json:"valid_ms"`

	until time.Time
}

// GrantResponse tells which grants were refused as older than the server's own.
type GrantResponse struct {
	Refused []Grant `json:"refused,omitempty"`
}

// handleGrant takes a list of grants. Each one replaces an older one of its shard.
func (s *Server) handleGrant(ctx *fasthttp.RequestCtx) {
	var grants []Grant
	if err := json.Unmarshal(ctx.PostBody(), &grants); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	var answer GrantResponse
	s.mu.Lock()
	for _, grant := range grants {
		if !s.accept(grant) {
			answer.Refused = append(answer.Refused, s.grants[grant.Shard])
		}
	}
	s.mu.Unlock()
	s.reportLoad(ctx)
	writeJSON(ctx, answer)
}

// accept runs under the lock.
func (s *Server) accept(grant Grant) bool {
	current := s.grants[grant.Shard]
	if grant.Term < current.Term || grant.Epoch < current.Epoch {
		return false
	}
	grant.until = time.Now().Add(time.Duration(grant.ValidMS) * time.Millisecond)
	s.grants[grant.Shard] = grant
	return true
}

// granted runs under the lock.
func (s *Server) granted(run *Run) bool {
	grant, ok := s.grants[run.Shard]
	return ok && grant.Epoch == run.Epoch && time.Now().Before(grant.until)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
