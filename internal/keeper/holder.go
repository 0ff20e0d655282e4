package keeper

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
)

// Periods and bounds of grants and releases. A server's clock may run slow by
// maxClockDrift, as a share. A call may still be delivered maxCallDelay after its
// sender gave it up.
const (
	defaultHold           = 2400 * time.Millisecond // duration of a grant, unless the settings allow only a shorter one
	renewPeriod           = 600 * time.Millisecond  // between two renewals of a server's grants
	retryDelay            = 100 * time.Millisecond  // after a failed renewal
	grantTimeout          = 400 * time.Millisecond  // of one grant or probe
	minReleaseTimeout     = 200 * time.Millisecond  // also if the grants expire sooner
	moveBatchWindow       = 100 * time.Millisecond  // moves whose sources release the keys within this time are written together
	maxClockDrift         = 0.02
	maxConcurrentReleases = 6           // per server
	refenceDelay          = time.Second // between two times at which a failing server gets new fences
	recheckPeriod         = time.Second // between two probes of a failing server that owns no keys any more
	failureLogPeriod      = time.Second // between two log lines about a failing server
	maxCallDelay          = 100 * time.Millisecond
)

// maxGrantLifetime returns the time after which a grant of the given duration has
// certainly expired, counted from the end of the call that sent it.
func maxGrantLifetime(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*(1+maxClockDrift)) + maxCallDelay
}

// holder is the keeper's state of one process of a server: what it was granted, and
// whether it accepts its grants. Fields that change are protected by serviceKeeper.mu.
type holder struct {
	server *catalog.Server
	client serverClient
	// releases is a semaphore for concurrent releases, each on its own connection.
	releases   chan struct{}
	inFlight   int       // calls of grants and probes in progress
	nextCallAt time.Time // earliest time of the next renewal or probe
	// held is the expiry of the grants that the server may have received.
	held grantExpiry
	// earlierProcess is that of the grants that were sent to earlier processes under the
	// same id. One of them may have reached this process.
	earlierProcess grantExpiry
	// unansweredUntil is the time until which a grant that was not answered may still
	// take effect.
	unansweredUntil time.Time
	ended           bool // the process has ended and holds no keys
	// shuttingDown says that the server is not listening and did not crash: it may
	// still be working.
	shuttingDown bool
	// acceptedGrants says that the server has accepted this keeper's grants. Until
	// then, an earlier keeper may still renew its own there after a release.
	acceptedGrants bool
	// connsLost says that no connection to the process is left. The process that
	// answers at the address may be a later one: it gets keys only under new fences.
	connsLost bool
	answering bool // after connsLost: a server answers at the address again
	// minFence is the lowest fence under which the process may be granted keys.
	minFence catalog.Fence
	// refencedAt is when the server last got new fences after a failure.
	refencedAt   time.Time
	failingSince time.Time // when the server began not to accept grants; zero while it accepts them
	// loggedFailure is the reason that was last logged, at failureLoggedAt.
	loggedFailure   string
	failureLoggedAt time.Time
}

func newHolder(server *catalog.Server, client serverClient, earlierKeeperUntil time.Time) *holder {
	return &holder{
		server: server, client: client, releases: make(chan struct{}, maxConcurrentReleases),
		held: grantExpiry{earlierKeeper: earlierKeeperUntil},
	}
}

// grantExpiry is the time by which grants have certainly expired. Those of an earlier keeper
// and those of this one are kept apart, since the former may turn out to expire sooner.
type grantExpiry struct {
	earlierKeeper time.Time
	own           time.Time
}

// last returns the time by which all of the grants have expired.
func (e grantExpiry) last() time.Time { return later(e.earlierKeeper, e.own) }

// with returns the expiry of the grants of both.
func (e grantExpiry) with(other grantExpiry) grantExpiry {
	return grantExpiry{earlierKeeper: later(e.earlierKeeper, other.earlierKeeper), own: later(e.own, other.own)}
}

// endEarlier records that the grants of earlier keepers expire at the given time at the latest.
func (e *grantExpiry) endEarlier(at time.Time) {
	if at.Before(e.earlierKeeper) {
		e.earlierKeeper = at
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordSent records a grant whose call ended at the given time. The server may have
// received it at any time before, or within maxCallDelay after.
func (h *holder) recordSent(callEnded time.Time, hold time.Duration) {
	h.held.own = later(h.held.own, callEnded.Add(maxGrantLifetime(hold)))
}

// holdsNothing reports whether the server certainly holds no keys.
func (h *holder) holdsNothing(now time.Time) bool {
	return h.ended || (h.inFlight == 0 && now.After(h.held.last()))
}

// failing reports whether the server does not accept its grants.
func (h *holder) failing() bool { return !h.failingSince.IsZero() }

// canRefence reports whether the server answers again and may get its keys back
// under new fences. After it got new fences it must wait for refenceDelay, since it
// may answer and still accept no grants.
func (h *holder) canRefence(now time.Time) bool {
	return h.connsLost && h.answering && now.Sub(h.refencedAt) > refenceDelay
}
