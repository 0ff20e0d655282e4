package coldstart

import (
	"math"
	"time"
)

const (
	// PermitLife is the time for which a permit that another daemon gave may be used.
	PermitLife = 200 * time.Millisecond

	maxHolders    = 3                // daemons that may send to one cold server
	holderSets    = 2                // sets of holders without a common daemon that must stay under the bound together
	boundWindow   = time.Second      // in which the requests to a cold server are counted
	clearlyMore   = 1.25             // requests for which one holder less is taken
	spacingMargin = 1.01             // for the precision of timers
	maxBound      = 1e6              // requests; a higher bound is none
	maxSpacing    = 10 * time.Minute // between two requests of a holder
)

// Plan says how the requests that a cold server may get are divided.
type Plan struct {
	// Holders is the number of daemons that may send to the server; zero if none may.
	Holders int
	// Spacing is the least time between two requests of one holder.
	Spacing time.Duration
}

// PlanFor returns the plan for servers that tolerate rate requests per second, and of which
// none may get more than rate*overage+slack requests within a second. Of the plans under
// which holderSets sets of holders stay within the bound, it is the one with the most
// holders, unless fewer may send clearly more.
func PlanFor(rate, overage, slack float64) Plan {
	if !(rate > 0) {
		return Plan{}
	}
	bound := int(math.Floor(min(rate*overage+slack, maxBound)))
	var best Plan
	for holders := maxHolders; holders > 0; holders-- {
		each := bound / (holderSets * holders)
		if each < 1 {
			continue
		}
		p := Plan{Holders: holders, Spacing: spacing(rate, holders, each)}
		if best.Holders == 0 || p.perSecond() > clearlyMore*best.perSecond() {
			best = p
		}
	}
	return best
}

// spacing returns the time between two requests of each holder, so that all send at the rate
// and each at most the given number within boundWindow, however late permits are used.
func spacing(rate float64, holders, each int) time.Duration {
	byRate := float64(holders) / rate
	byBound := spacingMargin * (boundWindow + PermitLife).Seconds() / float64(each)
	return time.Duration(min(max(byRate, byBound), maxSpacing.Seconds()) * float64(time.Second))
}

// perSecond returns the requests per second of all holders.
func (p Plan) perSecond() float64 { return float64(p.Holders) / p.Spacing.Seconds() }
