package backend

import (
	"encoding/json"
	"net"

	"github.com/valyala/fasthttp"
)

// Paths of the test control interface, which has its own listener that faults do not affect.
const (
	PathFaults  = "/standin/faults"  // PUT a Faults
	PathRuns    = "/standin/runs"    // GET []Run
	PathStats   = "/standin/stats"   // GET a Stats
	PathKill    = "/standin/kill"    // POST
	PathRestart = "/standin/restart" // POST
)

func (s *Server) startControl(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.controlAddr = listener.Addr().String()
	s.control = &fasthttp.Server{Handler: s.handleControl}
	go func() { _ = s.control.Serve(listener) }()
	return nil
}

// ControlAddress returns host:port of the control listener, or "".
func (s *Server) ControlAddress() string { return s.controlAddr }

func (s *Server) handleControl(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathFaults:
		s.controlFaults(ctx)
	case PathRuns:
		writeJSON(ctx, s.Runs())
	case PathStats:
		writeJSON(ctx, s.Stats())
	case PathKill:
		s.Kill()
	case PathRestart:
		if err := s.Restart(); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) controlFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
