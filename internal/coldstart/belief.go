package coldstart

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/sendgate"
)

// Belief says what this daemon takes a server for.
type Belief string

// Values of Belief.
const (
	// Warm: the server takes requests as usual.
	Warm Belief = ""
	// Cold: the server said that it is cold.
	Cold Belief = "cold"
	// Unconfirmed: the server may have become cold without this daemon's knowledge.
	Unconfirmed Belief = "unconfirmed"
)

// Evidence says where a belief comes from.
type Evidence string

// Values of Evidence.
const (
	Registration  Evidence = "registration"
	HealthCheck   Evidence = "health check"
	Peer          Evidence = "another daemon"
	Unreachable   Evidence = "unreachable"
	EvacuationEnd Evidence = "end of evacuation"
	TimePassed    Evidence = "time passed"
)

// belief is what is believed of a process that is not known to be warm.
type belief struct {
	server *catalog.Server
	rate   float64
	plan   Plan

	evidence   Evidence
	evidenceAt time.Time
	coldUntil  time.Time
	// unconfirmedSince is zero unless the process is unconfirmed. With confirmedAt, it counts as
	// warm from then on if nothing else is heard.
	unconfirmedSince time.Time
	confirmedAt      time.Time
	told             Belief // as of the last change

	holds        bool // this daemon is a holder
	holdsVersion int  // of the fleet that holds was computed for
	nextSend     time.Time
	chosenUntil  time.Time
	probe        probeState
}

// setRate sets the rate that the server tolerates while it is cold, and plans for it.
func (b *belief) setRate(t *Tracker, rate float64) {
	if b.rate != rate {
		b.rate, b.plan, b.holdsVersion = rate, PlanFor(rate, t.overage, t.slack), -1
	}
}

// heardCold records that the process is cold until a time.
func (b *belief) heardCold(t *Tracker, until time.Time, evidence Evidence, now time.Time) {
	until = until.Add(returnDelay(t.self, sendgate.ProcessOf(b.server)))
	if evidence == HealthCheck || b.evidence == HealthCheck {
		until = latest(until, b.coldUntil)
	}
	b.coldUntil, b.evidence, b.evidenceAt = until, evidence, now
	b.unconfirmedSince, b.confirmedAt = time.Time{}, time.Time{}
}

// heardWarm records that the process is warm.
func (b *belief) heardWarm(evidence Evidence, now time.Time) {
	b.coldUntil, b.unconfirmedSince, b.confirmedAt = time.Time{}, time.Time{}, time.Time{}
	b.evidence, b.evidenceAt = evidence, now
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// believed returns what the process is taken for.
func (b *belief) believed(now time.Time) Belief {
	switch {
	case now.Before(b.coldUntil):
		return Cold
	case !b.unconfirmedSince.IsZero() && (b.confirmedAt.IsZero() || now.Before(b.confirmedAt)):
		return Unconfirmed
	default:
		return Warm
	}
}

// warmAt returns when the process is expected to take requests from all daemons.
func (b *belief) warmAt(now time.Time) time.Time {
	switch b.believed(now) {
	case Cold:
		return b.coldUntil
	case Unconfirmed:
		return latest(b.confirmedAt, now.Add(unconfirmedUp))
	}
	return now
}
