package backends

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/coldstart"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/sendgate"
)

// Cold returns what this daemon believes of cold servers.
func (b *Backends) Cold() *coldstart.Tracker { return b.cold }

// ColdRate returns the number of requests per second that a cold server of the service
// tolerates, or zero if there is no bound.
func (b *Backends) ColdRate(service model.PoolName) float64 {
	configuration := b.catalog.Load().Configuration
	if configuration == nil || configuration.Services[service] == nil {
		return 0
	}
	return configuration.Services[service].ColdRate
}

// ColdVerdict returns whether this daemon may send a request of a rank, 0 being the most urgent
// one, to the server now, as far as the server may be cold.
func (b *Backends) ColdVerdict(server *catalog.Server, rank int, now time.Time) coldstart.Verdict {
	rate := b.ColdRate(server.Service)
	if rate <= 0 {
		return coldstart.Verdict{MaySend: true}
	}
	b.doubtAfterEvacuation(server, rate, now)
	return b.cold.Verdict(server, rate, rank, now)
}

// warmCheck returns a function that reports whether one of the servers, which are all of one
// service, is taken for warm.
func (b *Backends) warmCheck(servers []*catalog.Server, now time.Time) func(*catalog.Server) bool {
	if len(servers) == 0 || b.ColdRate(servers[0].Service) <= 0 {
		return func(*catalog.Server) bool { return true }
	}
	return func(server *catalog.Server) bool { return b.ColdVerdict(server, 0, now).Belief == coldstart.Warm }
}

// ColdFor returns the time for which the server stays cold by what it said, or zero.
func (b *Backends) ColdFor(server *catalog.Server, now time.Time) time.Duration {
	return b.cold.ColdFor(server, b.ColdRate(server.Service), now)
}

// doubtAfterEvacuation records an evacuation of the server's zone that ended lately.
func (b *Backends) doubtAfterEvacuation(server *catalog.Server, rate float64, now time.Time) {
	if e := b.catalog.Load().Evacuations[server.Zone]; !e.Ended.IsZero() && now.Sub(e.Ended) < coldstart.MaxNewsAge {
		b.cold.RecordEvacuationEnd(server, rate, e.Ended, now)
	}
}

// recordUnreachable records that the server could not be reached.
func (b *Backends) recordUnreachable(server *catalog.Server, now time.Time) {
	b.cold.RecordUnreachable(server, b.ColdRate(server.Service), now)
}

// chooseCold returns a server of the given belief to which this daemon may send now, or nil.
func (b *Backends) chooseCold(c *Criteria, wanted coldstart.Belief, now time.Time) *catalog.Server {
	if b.cold.Idle() {
		return nil
	}
	for _, server := range b.cold.Due(c.Service, wanted, c.Rank, now) {
		if !b.isOpen(server, now) || slices.Contains(c.Tried, server.ID) || !b.InAllowedRegion(server, c.AllowedRegions) {
			continue
		}
		state := b.endpoint(server).state.candidate(server, now)
		if state.ejected || state.failing() || state.expectedLoad >= float64(server.Slots) {
			continue
		}
		b.cold.Choose(server, now)
		return server
	}
	return nil
}

// coldError returns the error for a verdict, or nil if the server may get a request.
func coldError(server *catalog.Server, v coldstart.Verdict) *HeldError {
	if v.MaySend {
		return nil
	}
	return &HeldError{Server: server.ID, Verdict: sendgate.Verdict{Reason: sendgate.Cold, Until: v.Until}, Cold: v}
}

// RefuseCold returns the error for a request that is not sent since its server is cold, with
// the time of the next turn. It logs and counts the decision.
func (b *Backends) RefuseCold(server *catalog.Server, request model.RequestID, v coldstart.Verdict) *HeldError {
	held := coldError(server, v)
	if held != nil {
		b.recordHeld(held, server.Service, request)
	}
	return held
}

// takeCold counts a request that is about to be written if its server is cold. It returns an
// error if the server must not get it now.
func (b *Backends) takeCold(a *Attempt, now time.Time) *HeldError {
	if now.Before(a.ColdPermitUntil) {
		return nil
	}
	rate := b.ColdRate(a.Server.Service)
	if rate <= 0 {
		return nil
	}
	b.doubtAfterEvacuation(a.Server, rate, now)
	return b.RefuseCold(a.Server, a.ID, b.cold.Take(a.Server, rate, now))
}

// coldFields returns the fields of log lines about a server that is not warm.
func coldFields(v *coldstart.Verdict) []zap.Field {
	return []zap.Field{
		zap.String("belief", string(v.Belief)), zap.String("evidence", string(v.Evidence)), zap.Duration("evidence_age", v.Age),
	}
}
