package backends

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/coldstart"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/sendgate"
)

// HeldError says that a request was not sent because its server leaves, or wants no
// requests for a time.
type HeldError struct {
	Server  model.ServerID
	Verdict sendgate.Verdict
	// Evacuation is that of the server's availability zone if the reason is sendgate.Evacuated.
	Evacuation catalog.Evacuation
	// Cold says why the server is taken for cold if that is the verdict's reason.
	Cold coldstart.Verdict
}

// Error implements error.
func (e *HeldError) Error() string {
	switch e.Verdict.Reason {
	case sendgate.Leaving:
		return fmt.Sprintf("server %s is leaving", e.Server)
	case sendgate.Evacuated:
		return fmt.Sprintf("server %s is in availability zone %q, which is evacuated", e.Server, e.Evacuation.Zone)
	case sendgate.Cold:
		return fmt.Sprintf("server %s is %s by %s of %v ago, next request at %s", e.Server, e.Cold.Belief, e.Cold.Evidence, e.Cold.Age, e.Verdict.Until.UTC().Format(time.RFC3339Nano))
	}
	return fmt.Sprintf("server %s had asked for a pause, until %s", e.Server, e.Verdict.Until.UTC().Format(time.RFC3339Nano))
}

// logFields returns the fields of log lines about a request that was held back.
func (e *HeldError) logFields(service model.PoolName, request model.RequestID) []zap.Field {
	fields := []zap.Field{
		zap.String("request", string(request)), zap.String("server", string(e.Server)),
		zap.String("service", string(service)), zap.String("reason", string(e.Verdict.Reason)),
	}
	if !e.Verdict.Until.IsZero() {
		fields = append(fields, zap.Time("until", e.Verdict.Until))
	}
	if e.Verdict.Reason == sendgate.Evacuated {
		fields = append(fields, evacuationFields(e.Evacuation)...)
	}
	if e.Verdict.Reason == sendgate.Cold {
		fields = append(fields, coldFields(&e.Cold)...)
	}
	return fields
}

// isHeld reports whether the error is that of a request that was not sent, or turned away,
// because of what its server said.
func isHeld(err error) bool {
	var held *HeldError
	return errors.As(err, &held)
}

// gateMeters counts what the gate does.
type gateMeters struct {
	pauses     *metrics.Counter // responses that asked for a pause
	unreadable *metrics.Counter // of these, those whose time can't be read
	held       map[sendgate.Reason]*metrics.Counter
}

func newGateMeters(r *metrics.Registry) gateMeters {
	return gateMeters{
		pauses:     r.Counter(`server_pauses_total`),
		unreadable: r.Counter(`server_pauses_unreadable_total`),
		held: map[sendgate.Reason]*metrics.Counter{
			sendgate.Paused:    r.Counter(`sends_held_total{reason="pause"}`),
			sendgate.Leaving:   r.Counter(`sends_held_total{reason="leaving"}`),
			sendgate.Evacuated: r.Counter(`sends_held_total{reason="zone_evacuated"}`),
			sendgate.Cold:      r.Counter(`sends_held_total{reason="cold"}`),
		},
	}
}

// Held returns an error if a request that was chosen for the server, or that only the
// server may run, must not be sent to it now. It logs and counts the decision.
func (b *Backends) Held(server *catalog.Server, request model.RequestID, now time.Time) *HeldError {
	verdict := b.gate.MaySend(sendgate.ProcessOf(server), now)
	if verdict.Reason == sendgate.Open && b.registeredAsLeaving(server, now) {
		verdict = sendgate.Verdict{Reason: sendgate.Leaving}
	}
	if verdict.Reason == sendgate.Open {
		return nil
	}
	b.gateMeters.held[verdict.Reason].Inc()
	held := &HeldError{Server: server.ID, Verdict: verdict}
	b.log.Info("send held back", held.logFields(server.Service, request)...)
	return held
}

// registeredAsLeaving reports whether the server, which may have been chosen from an earlier
// snapshot, has been registered as leaving for too long, or is gone. A catalog without any
// servers says nothing: it has not been read yet.
func (b *Backends) registeredAsLeaving(server *catalog.Server, now time.Time) bool {
	servers := b.catalog.Load().Servers
	current, registered := servers[server.ID]
	if !registered {
		return len(servers) > 0
	}
	return current.SameProcess(server) && current.Leaving && now.Sub(current.LeavingSince) >= b.gate.Grace()
}

// HeldService returns an error if all servers of a service are held, with the verdict of
// the first one that takes requests again. It logs and counts the decision.
func (b *Backends) HeldService(snapshot *catalog.Snapshot, service model.PoolName, request model.RequestID, now time.Time) *HeldError {
	var first *HeldError
	for _, server := range snapshot.ByService[service] {
		if server.Leaving {
			continue
		}
		held := b.heldForService(snapshot, server, now)
		if held == nil {
			return nil
		}
		if first == nil || held.Verdict.Before(first.Verdict) {
			first = held
		}
	}
	if first != nil {
		b.gateMeters.held[first.Verdict.Reason].Inc()
		b.log.Info("send held back, no server of the service takes requests", first.logFields(service, request)...)
	}
	return first
}

// heldForService returns an error if the server of a service gets no requests now that any of
// its servers may run.
func (b *Backends) heldForService(snapshot *catalog.Snapshot, server *catalog.Server, now time.Time) *HeldError {
	if snapshot.Evacuated(server.Zone) {
		return &HeldError{Server: server.ID, Verdict: sendgate.Verdict{Reason: sendgate.Evacuated}, Evacuation: snapshot.Evacuations[server.Zone]}
	}
	if verdict := b.gate.MayChoose(sendgate.ProcessOf(server), now); verdict.Reason != sendgate.Open {
		return &HeldError{Server: server.ID, Verdict: verdict}
	}
	return coldError(server, b.ColdVerdict(server, 0, now))
}

// Paused returns an error if the server asked for a pause that has not ended.
func (b *Backends) Paused(server *catalog.Server, now time.Time) *HeldError {
	verdict := b.gate.MaySend(sendgate.ProcessOf(server), now)
	if verdict.Reason != sendgate.Paused {
		return nil
	}
	return &HeldError{Server: server.ID, Verdict: verdict}
}

// MayChoose reports whether the server may be chosen for a request that other servers may
// run too.
func (b *Backends) MayChoose(server *catalog.Server, now time.Time) bool {
	return b.isOpen(server, now) && b.ColdVerdict(server, 0, now).MaySend
}

// isOpen reports whether the server's zone is not evacuated, and neither the server nor its
// registration says that it wants no requests.
func (b *Backends) isOpen(server *catalog.Server, now time.Time) bool {
	return !server.Leaving && !b.catalog.Load().Evacuated(server.Zone) && b.gate.MayChoose(sendgate.ProcessOf(server), now).Reason == sendgate.Open
}

// IsLeaving reports whether the server said that it is leaving, and gets no requests any
// more.
func (b *Backends) IsLeaving(server *catalog.Server, now time.Time) bool {
	return b.gate.MaySend(sendgate.ProcessOf(server), now).Reason == sendgate.Leaving
}

// LeavingGrace returns the time for which a leaving server still gets requests for its keys.
func (b *Backends) LeavingGrace() time.Duration { return b.gate.Grace() }

// LeavingProcesses returns the server processes that said that they are leaving.
func (b *Backends) LeavingProcesses() []sendgate.Process { return b.gate.LeavingProcesses() }

// RecordSigns records what the headers of a response say about further requests to the
// server. It returns the pause as an error, or nil if the server did not ask for one. The
// request is empty if the response is not to a caller's request.
func (b *Backends) RecordSigns(server *catalog.Server, request model.RequestID, headers *dialect.ServerResponse) *HeldError {
	if headers.ServerID != "" && headers.ServerID != server.ID {
		return nil // another server has the address now
	}
	process := sendgate.ProcessOf(server)
	if headers.Leaving && b.gate.RecordLeaving(process, time.Now()) {
		b.log.Info("server says that it is leaving", zap.String("request", string(request)), zap.String("server", string(server.ID)),
			zap.String("service", string(server.Service)))
	}
	if !headers.HasPause {
		return nil
	}
	b.gateMeters.pauses.Inc()
	if headers.PauseErr != nil {
		b.gateMeters.unreadable.Inc()
	}
	until := b.gate.RecordPause(process, headers.Pause, time.Now())
	b.log.Info("server asked for a pause", zap.String("request", string(request)), zap.String("server", string(server.ID)),
		zap.String("service", string(server.Service)), zap.Duration("pause", headers.Pause), zap.Time("until", until), zap.Error(headers.PauseErr))
	return &HeldError{Server: server.ID, Verdict: sendgate.Verdict{Reason: sendgate.Paused, Until: until}}
}
