package coordinator

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/ctlproto"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// Times of judging servers.
const (
	backAfter      = time.Second     // health after which a lost server counts again
	drainingLength = 5 * time.Second // a drain notice holds for this long after the last one
	staleEvidence  = 2 * time.Second // older evidence counts for nothing
	leastWeight    = 0.1             // share of a server that has just started
)

// serverState is what the controller knows of one server.
type serverState struct {
	started  time.Time // zero for a server that was known before this term
	lost     bool
	cause    string
	healthy  time.Time // begin of the present run of health
	draining time.Time
}

// knownServer returns the state of a server that an earlier term knew.
func knownServer(server *ownership.Server) *serverState {
	return &serverState{lost: server.State == ownership.ServerLost, cause: "lost in an earlier term"}
}

// server runs on the control goroutine.
func (ctl *controller) server(id model.ServerID, now time.Time) *serverState {
	s, ok := ctl.servers[id]
	if !ok {
		s = &serverState{started: now}
		ctl.servers[id] = s
	}
	return s
}

// takeEvidence runs on the control goroutine.
func (ctl *controller) takeEvidence(request *ctlproto.RenewRequest, now time.Time) {
	for _, e := range request.Evidence {
		age := time.Duration(e.AgeMS) * time.Millisecond
		server := ctl.current.Server(e.Server)
		if age > staleEvidence || server == nil {
			continue
		}
		if active := server.ActiveDispatcher(); active == nil || active.Daemon != request.Ack.Daemon {
			continue
		}
		if ctl.server(e.Server, now).take(e, now.Add(-age)) {
			ctl.poke()
		}
	}
}

// take notes evidence and reports whether it may change the judgement.
func (s *serverState) take(e ctlproto.Evidence, at time.Time) bool {
	switch e.Kind {
	case ownership.EvidenceRefused, ownership.EvidenceTimeout:
		changed := !s.lost
		s.lost = true
		s.cause = string(e.Kind) + ": " + e.Detail
		s.healthy = time.Time{}
		return changed
	case ownership.EvidenceDraining:
		changed := s.draining.IsZero()
		s.draining = at
		s.back(at)
		return changed
	default:
		s.back(at)
		return false
	}
}

// back ends the loss after a run of health.
func (s *serverState) back(at time.Time) {
	if s.healthy.IsZero() {
		s.healthy = at
	}
	if s.lost && at.Sub(s.healthy) >= backAfter {
		s.lost = false
		s.started = at
	}
}

// judge returns the state of a listed server with its cause.
func (s *serverState) judge(listed platform.InstanceState, now time.Time) (ownership.ServerState, string) {
	switch {
	case s.lost:
		return ownership.ServerLost, s.cause
	case listed == platform.StateLeaving:
		return ownership.ServerLeaving, "the instance list says so"
	case !s.draining.IsZero() && now.Sub(s.draining) < drainingLength:
		return ownership.ServerLeaving, "the server says that it drains"
	default:
		return ownership.ServerActive, "listed, and its dispatcher sees no fault"
	}
}

// weight returns the share of a full server that it may carry.
func (s *serverState) weight(now time.Time, slowStart time.Duration) float64 {
	if s.started.IsZero() || slowStart <= 0 {
		return 1
	}
	share := float64(now.Sub(s.started)) / float64(slowStart)
	return min(1, max(leastWeight, share))
}
