package backend

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Grant permits a server to run requests of one shard in one epoch for a limited time.
type Grant struct {
	Shard model.ShardID `json:"shard"`
	Term  model.Term    `json:"term"`
	Epoch model.Epoch   `json:"epoch"`
	// ValidMS is the validity in milliseconds, counted on the server's clock from the
	// receipt of the grant. Zero revokes the grant.
	ValidMS int64 `json:"valid_ms"`

	validUntil time.Time
}

// GrantResponse is the answer to a list of grants. Refused holds the server's current
// grant for each shard whose sent grant was older.
type GrantResponse struct {
	Refused []Grant `json:"refused,omitempty"`
}

// handleGrant accepts a list of grants. Each grant replaces the shard's current one
// unless it is older.
func (s *Server) handleGrant(ctx *fasthttp.RequestCtx) {
	var grants []Grant
	if err := json.Unmarshal(ctx.PostBody(), &grants); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	var response GrantResponse
	s.mu.Lock()
	for _, grant := range grants {
		if !s.acceptGrant(grant) {
			response.Refused = append(response.Refused, s.grants[grant.Shard])
		}
	}
	s.mu.Unlock()
	s.setLoadHeaders(ctx)
	writeJSON(ctx, response)
}

// acceptGrant stores a grant, or returns false if its term or epoch is older than that
// of the current grant. The caller must hold s.mu.
func (s *Server) acceptGrant(grant Grant) bool {
	current := s.grants[grant.Shard]
	if grant.Term < current.Term || grant.Epoch < current.Epoch {
		return false
	}
	grant.validUntil = time.Now().Add(time.Duration(grant.ValidMS) * time.Millisecond)
	s.grants[grant.Shard] = grant
	return true
}

// hasGrant reports whether a valid grant covers the run's shard and epoch. The caller
// must hold s.mu.
func (s *Server) hasGrant(run *Run) bool {
	grant, ok := s.grants[run.Shard]
	return ok && grant.Epoch == run.Epoch && time.Now().Before(grant.validUntil)
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
