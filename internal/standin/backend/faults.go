package backend

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/wire"
)

// Faults are the failures that a test can inject. The zero value is a healthy server.
type Faults struct {
	// Frozen blocks every request, health checks included, until it is cleared.
	Frozen bool `json:"frozen"`
	// Draining makes the server report that it is draining.
	Draining bool `json:"draining"`
	// ShedAll rejects every request as shed and not run.
	ShedAll bool `json:"shed_all"`
	// ReportedLoad replaces the reported load unless it is empty. Its form is "in-use/slots".
	ReportedLoad string `json:"reported_load"`
	// FailHealthChecks fails health checks while requests are still served.
	FailHealthChecks bool `json:"sick_health"`
	// CrashMarker kills the server when the URI or the body of a request contains it.
	CrashMarker string `json:"crash_marker"`
	// IgnoreDeadline makes the server run requests to their end although their deadline has passed.
	IgnoreDeadline bool `json:"ignore_deadline"`
	// CutAfterBytes closes the connection after that many bytes of a response body. Zero turns it off.
	CutAfterBytes int `json:"cut_after_bytes"`
	// ServiceMS replaces the service time, in milliseconds, when positive.
	ServiceMS float64 `json:"service_ms"`
	// ColdMS is added to the service time, in milliseconds, of the first ColdRequests requests.
	ColdMS       float64 `json:"cold_ms"`
	ColdRequests int     `json:"cold_requests"`
}

// SetFaults replaces the faults and lets blocked requests check them again.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.thawed.Broadcast()
}

func (s *Server) matchesCrashMarker(ctx *fasthttp.RequestCtx) bool {
	s.mu.Lock()
	marker := s.faults.CrashMarker
	s.mu.Unlock()
	if marker == "" {
		return false
	}
	return strings.Contains(string(ctx.RequestURI()), marker) || bytes.Contains(ctx.PostBody(), []byte(marker))
}

// requestDeadline returns the deadline from the request header, or the zero time if there is none.
func requestDeadline(ctx *fasthttp.RequestCtx) time.Time {
	ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(wire.HeaderDeadline)), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// refusal returns why the request is not run, or "" if it may run.
func (s *Server) refusal(run *Run, deadline time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.ShedAll:
		return "shed: by fault"
	case !s.faults.IgnoreDeadline && !deadline.IsZero() && time.Now().After(deadline):
		return "deadline passed"
	case s.options.ChecksGrants && !s.hasGrant(run):
		return "grant refused"
	default:
		return ""
	}
}

// serviceTime returns how long the next run takes. The caller must hold s.mu.
func (s *Server) serviceTime() time.Duration {
	ms := s.options.ServiceMS
	if s.faults.ServiceMS > 0 {
		ms = s.faults.ServiceMS
	}
	if len(s.runs) <= s.faults.ColdRequests {
		ms += s.faults.ColdMS
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// sendTruncated sends the header and the first cut bytes of the body, then closes the connection.
func (s *Server) sendTruncated(ctx *fasthttp.RequestCtx, body []byte, cut int) {
	ctx.HijackSetNoResponse(true)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	ctx.Hijack(func(conn net.Conn) {
		_, _ = conn.Write(append([]byte(head), body[:cut]...))
		_ = conn.Close()
	})
}
