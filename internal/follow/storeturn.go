package follow

import (
	"math/rand/v2"
	"time"

	"github.com/chicorylug/chicorylug/internal/retry"
)

// Times between the tries of a daemon that is not designated to call the store.
const (
	turnPerDaemon = 800 * time.Millisecond // that a fleet takes for each of its daemons until all have tried once
	turnMinimum   = time.Second            // that a daemon waits at least
	// substituteDelay is the time that a substitute waits at least: a designated daemon is often
	// without the store for a moment only.
	substituteDelay = 300 * time.Millisecond
)

// storeTurn decides when a daemon that is not designated calls the store itself, as no other
// daemon that it polls is usable. If the designated ones say that they do not reach the store,
// that is most likely down for all, and a large fleet must not call it all at once when it
// returns: the larger the fleet, the later the first call, at random. The pauses after failed calls grow.
// The zero value is ready to use.
type storeTurn struct {
	storeless bool          // the designated daemons do not reach the store
	round     time.Duration // that the fleet takes for all daemons to call once
	backoff   retry.Backoff
	next      time.Time // time of the next call, zero for at once
	reached   bool      // the last call succeeded
}

// storeLacking is called when a designated daemon of a fleet says that it does not reach the
// store. A substitute soon calls it, the other daemons later.
func (t *storeTurn) storeLacking(now time.Time, fleetSize int, substitute bool) {
	if t.storeless {
		return
	}
	t.storeless = true
	t.round = max(turnMinimum, time.Duration(fleetSize)*turnPerDaemon)
	t.backoff = retry.Backoff{First: 2 * t.round, Limit: 4 * t.round}
	t.postpone(now)
	if substitute {
		t.next = now.Add(substituteDelay + rand.N(substituteDelay))
		t.backoff = retry.Backoff{}
	}
}

// postpone is called when another daemon than the designated ones reaches the store.
func (t *storeTurn) postpone(now time.Time) {
	t.next = now.Add(turnMinimum + rand.N(t.round))
}

// storeFound is called when the designated daemons reach the store.
func (t *storeTurn) storeFound() { *t = storeTurn{} }

// due reports whether the daemon may call the store.
func (t *storeTurn) due(now time.Time) bool { return !now.Before(t.next) }

// called is called after a call. A daemon that reaches the store goes on calling it.
func (t *storeTurn) called(now time.Time, reached bool) {
	t.reached = reached
	if reached {
		t.next = now
		return
	}
	if t.backoff.First == 0 {
		t.backoff = retry.Backoff{First: 2 * turnMinimum, Limit: 4 * turnMinimum}
	}
	t.next = now.Add(t.backoff.Next())
}
