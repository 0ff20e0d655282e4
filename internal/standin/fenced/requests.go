package fenced

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	arrived := time.Now()
	s.waitWhileUnresponsive()
	h := &ctx.Request.Header
	if s.saysLeaving() {
		ctx.Response.Header.Set(headerLeaving, "1")
	}
	ctx.Response.Header.Set(headerInstance, s.options.ID)
	if id := h.Peek(HeaderAttemptID); len(id) > 0 && !s.omitsAttemptID() {
		ctx.Response.Header.SetBytesV(HeaderAttemptID, id)
	}
	if path := string(ctx.Path()); !s.options.Keyed && (path == pathGrant || path == pathRelease) {
		ctx.SetStatusCode(fasthttp.StatusBadRequest) // whichever server the call is for
		return
	}
	if expected := string(h.Peek(headerExpectedInstance)); expected != "" && expected != s.options.ID {
		s.refuse(ctx, fasthttp.StatusMisdirectedRequest)
		return
	}
	switch string(ctx.Path()) {
	case pathGrant:
		s.handleGrant(ctx, arrived)
	case pathRelease:
		s.handleRelease(ctx)
	case pathHealth:
		s.stateWarmUp(ctx)
	default:
		s.handleRequest(ctx)
		s.reportArrival(ctx, arrived)
	}
}

// reportArrival reports a request that was handled.
func (s *Server) reportArrival(ctx *fasthttp.RequestCtx, arrived time.Time) {
	if s.options.Reached == nil {
		return
	}
	a := Arrival{ID: string(ctx.Request.Header.Peek(HeaderAttemptID)), Arrived: arrived, Answered: time.Now()}
	if !ctx.Hijacked() {
		h := &ctx.Response.Header
		a.Status, a.Leaving = h.StatusCode(), len(h.Peek(headerLeaving)) > 0
		seconds, _ := strconv.ParseFloat(string(h.Peek(fasthttp.HeaderRetryAfter)), 64) // zero if there is none
		a.Pause = time.Duration(seconds * float64(time.Second))
	}
	s.options.Reached(a)
}

// refuse answers that the request was not run.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, status int) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(headerNotRun, "1")
}

func (s *Server) handleRequest(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(HeaderAttemptID))
	key := -1
	if number, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderKey))); err == nil {
		key = number
	}
	s.mu.Lock()
	s.arrivals++
	f := s.faults
	if f.Pause != "" {
		s.mu.Unlock()
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, f.Pause)
		s.refuse(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	if s.options.Keyed && (key < 0 || !s.ownsAt(key, time.Now()) || f.RejectKeys > 0) {
		s.faults.RejectKeys = max(f.RejectKeys-1, 0)
		s.mu.Unlock()
		s.refuse(ctx, fasthttp.StatusMisdirectedRequest)
		return
	}
	full := s.running >= s.options.Slots
	if full && f.HangWhenFull {
		s.mu.Unlock()
		hang(ctx)
		return
	}
	s.countCold(time.Now())
	if f.ShedAll || full {
		s.mu.Unlock()
		s.refuse(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	s.running++
	s.runningByKey[key]++
	s.runs[id]++
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderDeadline))); err == nil {
		s.deadlines = append(s.deadlines, time.Duration(ms)*time.Millisecond)
	}
	load := fmt.Sprintf("%d,0,%d", s.running, s.options.Slots)
	s.mu.Unlock()
	if f.CrashOnPath != "" && strings.Contains(string(ctx.Path()), f.CrashOnPath) {
		s.Crash()
		return
	}
	s.options.Ledger.runStarted(s, key)
	time.Sleep(s.options.ServiceTime + f.ExtraServiceTime)
	s.options.Ledger.runEnded(s, key)
	s.mu.Lock()
	s.running--
	s.runningByKey[key]--
	s.mu.Unlock()
	s.respond(ctx, f, id, load)
}

func (s *Server) respond(ctx *fasthttp.RequestCtx, f Faults, id, load string) {
	body := fmt.Sprintf("%s %s %s %d", s.options.ID, ctx.Method(), ctx.RequestURI(), len(ctx.PostBody()))
	body += strings.Repeat("x", max(0, s.options.AnswerBytes-len(body)))
	switch {
	case f.Flood != NoFlood:
		flood(ctx, f.Flood, id)
		return
	case f.CutHead > 0:
		cutHead(ctx, id, f.CutHead, f.HeadFraming)
		return
	case f.ResetAfterRun:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) { resetConn(conn) })
		return
	case f.Unframed:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\n\r\n%s", HeaderAttemptID, id, HeaderSignature, body)
		})
		return
	case f.WrongAttemptID:
		id = "another"
	case f.PauseAfterRun != "":
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, f.PauseAfterRun)
	case f.FailAll:
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	ctx.Response.Header.Set(HeaderAttemptID, id)
	ctx.Response.Header.Set(HeaderSignature, "signed."+s.options.ID)
	ctx.Response.Header.Set(headerLoad, load)
	ctx.SetBodyString(body + strings.Repeat("x", f.ExtraBodyBytes))
}
