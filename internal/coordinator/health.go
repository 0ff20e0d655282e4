package coordinator

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/ctlproto"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// Limits for judging servers.
const (
	recoverAfter        = time.Second     // time without failures after which a lost server is active again
	drainNoticeLifetime = 5 * time.Second // validity of the last drain notice of a server
	maxEvidenceAge      = 2 * time.Second // older evidence is ignored
	minWeight           = 0.1             // weight of a server that has just started
)

// serverState is the controller's view of the health of one server.
type serverState struct {
	slowStartAt   time.Time // start of the slow start period; zero for a server inherited from an earlier term
	lost          bool
	cause         string    // why the server is lost
	healthySince  time.Time // start of the present period without failures
	drainNoticeAt time.Time // last drain notice of the server
}

// inheritedServer returns the state of a server that was in the assignment when
// this term began.
func inheritedServer(server *ownership.Server) *serverState {
	return &serverState{lost: server.State == ownership.ServerLost, cause: "lost in an earlier term"}
}

// server returns the state of a server and creates it when missing. It runs on
// the control goroutine.
func (ctl *controller) server(id model.ServerID, now time.Time) *serverState {
	s, ok := ctl.servers[id]
	if !ok {
		s = &serverState{slowStartAt: now}
		ctl.servers[id] = s
	}
	return s
}

// applyEvidence records the evidence in a renewal. It ignores evidence that is
// too old or does not come from the server's active dispatcher. It runs on the
// control goroutine.
func (ctl *controller) applyEvidence(request *ctlproto.RenewRequest, now time.Time) {
	for _, e := range request.Evidence {
		age := time.Duration(e.AgeMS) * time.Millisecond
		server := ctl.current.Server(e.Server)
		if age > maxEvidenceAge || server == nil {
			continue
		}
		if active := server.ActiveDispatcher(); active == nil || active.Daemon != request.Ack.Daemon {
			continue
		}
		if ctl.server(e.Server, now).apply(e, now.Add(-age)) {
			ctl.wakeUp()
		}
	}
}

// apply records one piece of evidence and reports whether it may change the
// server's state.
func (s *serverState) apply(e ctlproto.Evidence, at time.Time) bool {
	switch e.Kind {
	case ownership.EvidenceRefused, ownership.EvidenceTimeout:
		changed := !s.lost
		s.lost = true
		s.cause = string(e.Kind) + ": " + e.Detail
		s.healthySince = time.Time{}
		return changed
	case ownership.EvidenceDraining:
		changed := s.drainNoticeAt.IsZero()
		s.drainNoticeAt = at
		s.markHealthy(at)
		return changed
	default:
		s.markHealthy(at)
		return false
	}
}

// markHealthy records a sign of health. A lost server becomes active again,
// with a slow start, after recoverAfter without failures.
func (s *serverState) markHealthy(at time.Time) {
	if s.healthySince.IsZero() {
		s.healthySince = at
	}
	if s.lost && at.Sub(s.healthySince) >= recoverAfter {
		s.lost = false
		s.slowStartAt = at
	}
}

// classify returns the state of a listed server, with its cause.
func (s *serverState) classify(listed platform.InstanceState, now time.Time) (ownership.ServerState, string) {
	switch {
	case s.lost:
		return ownership.ServerLost, s.cause
	case listed == platform.StateLeaving:
		return ownership.ServerLeaving, "the instance list says so"
	case !s.drainNoticeAt.IsZero() && now.Sub(s.drainNoticeAt) < drainNoticeLifetime:
		return ownership.ServerLeaving, "the server says that it drains"
	default:
		return ownership.ServerActive, "listed, and its dispatcher sees no fault"
	}
}

// weight returns the fraction of a full server's load that the server may
// carry. It rises linearly from minWeight to 1 over slowStart.
func (s *serverState) weight(now time.Time, slowStart time.Duration) float64 {
	if s.slowStartAt.IsZero() || slowStart <= 0 {
		return 1
	}
	share := float64(now.Sub(s.slowStartAt)) / float64(slowStart)
	return min(1, max(minWeight, share))
}
