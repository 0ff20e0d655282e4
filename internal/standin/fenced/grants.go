package fenced

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// keyRangeRequest is the body of grant and release calls. It covers the keys From to To,
// both included. HoldS is the validity of a grant in seconds.
type keyRangeRequest struct {
	From, To int
	Fence    uint64  `json:"fence"`
	HoldS    float64 `json:"HoldS"`
	Handover string  `json:"Handover"`
}

// handleGrant accepts a grant unless a higher fence was accepted for one of its keys. The
// validity counts from the arrival of the call.
func (s *Server) handleGrant(ctx *fasthttp.RequestCtx, arrived time.Time) {
	var g keyRangeRequest
	if json.Unmarshal(ctx.PostBody(), &g) != nil || g.From < 0 || g.To > 65535 || g.From > g.To {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := g.From; key <= g.To; key++ {
		if s.highestFence[key] > g.Fence {
			ctx.SetStatusCode(fasthttp.StatusConflict)
			return
		}
	}
	validUntil := arrived.Add(time.Duration(g.HoldS * float64(time.Second)))
	if time.Now().After(validUntil) {
		return // the grant expired before it could be processed
	}
	for key := g.From; key <= g.To; key++ {
		s.highestFence[key] = g.Fence
		s.grants[key] = keyGrant{fence: g.Fence, validUntil: validUntil}
	}
	s.options.Ledger.grantAccepted(s, g.From, g.To, g.Fence, validUntil)
	if s.faults.DropGrantResponses > 0 {
		s.faults.DropGrantResponses--
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) { resetConn(conn) })
	}
}

// handleRelease gives up a range of keys and answers when no request runs on them.
func (s *Server) handleRelease(ctx *fasthttp.RequestCtx) {
	var g keyRangeRequest
	if json.Unmarshal(ctx.PostBody(), &g) != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	owned := s.grants[g.From].fence > 0
	for key := g.From; key <= g.To; key++ {
		s.grants[key] = keyGrant{}
	}
	s.options.Ledger.keysReleased(s, g.From, g.To)
	s.mu.Unlock()
	// A repeated release finds no grant for the first key and answers at once; only the
	// release that ended the grant waits for running requests.
	for owned && s.hasRunning(g.From, g.To) {
		time.Sleep(time.Millisecond)
	}
	ctx.Response.Header.Set(headerHandover, fmt.Sprintf("%s-%d-%d", s.options.ID, g.From, g.To))
}

// hasRunning reports whether a request runs on one of the keys from to to.
func (s *Server) hasRunning(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, running := range s.runningByKey {
		if key >= from && key <= to && running > 0 {
			return true
		}
	}
	return false
}
