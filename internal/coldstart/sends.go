package coldstart

import (
	"slices"
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/sendgate"
)

// maxPeerNews bounds the time for which a server counts as cold by what another daemon says.
const maxPeerNews = 5 * time.Second

// Verdict returns whether this daemon may send a request of a rank, 0 being the most urgent
// one, to a server now.
func (t *Tracker) Verdict(server *catalog.Server, rate float64, rank int, now time.Time) Verdict {
	if !t.mayBeCold(server, rate, now) {
		return Verdict{MaySend: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.current(server, rate, now)
	if b == nil {
		return Verdict{MaySend: true}
	}
	return t.verdict(b, rank, now)
}

// current returns the belief of a process, or nil if it is taken for warm. The caller must
// hold t.mu.
func (t *Tracker) current(server *catalog.Server, rate float64, now time.Time) *belief {
	b := t.processes[sendgate.ProcessOf(server)]
	if b == nil && server.WarmUpUntil.After(now) {
		t.addRegistered(server, rate, now)
		b = t.processes[sendgate.ProcessOf(server)]
	}
	if b == nil || b.believed(now) == Warm {
		return nil
	}
	b.setRate(t, rate)
	return b
}

func (t *Tracker) verdict(b *belief, rank int, now time.Time) Verdict {
	v := Verdict{Belief: b.believed(now), Evidence: b.evidence, Age: now.Sub(b.evidenceAt)}
	if !t.holds(b, now) {
		v.Until = b.warmAt(now)
		return v
	}
	turn := b.nextSend.Add(min(time.Duration(max(rank, 0))*rankDelay, maxRankDelay))
	v.MaySend = !now.Before(turn) && !now.Before(b.chosenUntil)
	if !v.MaySend {
		v.Until = latest(turn, b.chosenUntil)
	}
	return v
}

// holds reports whether this daemon may send to the process. The caller must hold t.mu.
func (t *Tracker) holds(b *belief, now time.Time) bool {
	if !t.fleet.maySend(now.Sub(t.fleetAt)) || b.plan.Holders == 0 {
		return false
	}
	if b.holdsVersion != t.version {
		holders := t.fleet.holders(sendgate.ProcessOf(b.server), b.plan.Holders)
		b.holds, b.holdsVersion = slices.Contains(holders, t.self), t.version
	}
	return b.holds
}

// ColdFor returns the time for which the server stays cold by what it said, or zero.
func (t *Tracker) ColdFor(server *catalog.Server, rate float64, now time.Time) time.Duration {
	if !t.mayBeCold(server, rate, now) {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.current(server, rate, now)
	if b == nil || b.believed(now) != Cold {
		return 0
	}
	return b.coldUntil.Sub(now)
}

// Holders returns the daemons that may send to the server while it is cold.
func (t *Tracker) Holders(server *catalog.Server, rate float64) []model.DaemonID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.holders(sendgate.ProcessOf(server), PlanFor(rate, t.overage, t.slack).Holders)
}

// Choose records that a request that this daemon may send is on its way to the server.
func (t *Tracker) Choose(server *catalog.Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.processes[sendgate.ProcessOf(server)]; b != nil {
		b.chosenUntil = now.Add(chosenTime)
	}
}

// Take returns whether a request may be sent to the server now, and counts it if it may.
// The request must be sent at once or, by another daemon, within PermitLife.
func (t *Tracker) Take(server *catalog.Server, rate float64, now time.Time) Verdict {
	if !t.mayBeCold(server, rate, now) {
		return Verdict{MaySend: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.current(server, rate, now)
	if b == nil {
		return Verdict{MaySend: true}
	}
	b.chosenUntil = time.Time{}
	v := t.verdict(b, 0, now)
	if v.MaySend {
		b.nextSend = now.Add(b.plan.Spacing)
	}
	return v
}

// TakeFor is Take for a request of a rank at another daemon, which knows that the server stays
// cold for a time. This daemon then takes it for cold as well. With zero, it believes what it
// believed: the other one is only in doubt.
func (t *Tracker) TakeFor(server *catalog.Server, rate float64, rank int, coldFor time.Duration, now time.Time) Verdict {
	if !(rate > 0) {
		return Verdict{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.current(server, rate, now)
	if b == nil {
		b = t.processes[sendgate.ProcessOf(server)]
		if b == nil {
			b = t.add(server, rate, now)
		}
		if coldFor > 0 {
			b.coldUntil, b.evidence, b.evidenceAt = now.Add(min(coldFor, maxPeerNews)), Peer, now
			t.note(b, now)
		}
	}
	v := t.verdict(b, rank, now)
	if v.MaySend {
		b.nextSend = now.Add(b.plan.Spacing)
	}
	return v
}

// Due returns the cold servers of a service to which this daemon may send a request of a
// rank now, and unconfirmed ones if so stated.
func (t *Tracker) Due(service model.PoolName, wanted Belief, rank int, now time.Time) []*catalog.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []*catalog.Server
	for _, b := range t.processes {
		if b.server.Service == service && b.believed(now) == wanted && t.verdict(b, rank, now).MaySend {
			due = append(due, b.server)
		}
	}
	return due
}
