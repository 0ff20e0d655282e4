package keeper

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/catalog"
)

// Times of a grant. A server's clock may run slow by clockSlack; a call may
// still be on its way for callSlack after its sender gave it up.
const (
	usualHold      = 2400 * time.Millisecond
	renewPeriod    = 600 * time.Millisecond
	retryPeriod    = 100 * time.Millisecond // pause after a failed renewal
	grantTimeout   = 400 * time.Millisecond
	leastRelease   = 200 * time.Millisecond // a release is awaited for this time, also when the grants run out sooner
	joinMoves      = 100 * time.Millisecond // moves whose sources let go within this time are written together
	clockSlack     = 0.02
	releasesAtOnce = 6           // from one server
	refencePause   = time.Second // a server that failed again under new fences gets others after this time
	checkPeriod    = time.Second // time between two looks at a server that lost all its keys
	callSlack      = 100 * time.Millisecond
)

// runOut is the time after which a grant that was sent has surely ended.
func runOut(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*(1+clockSlack)) + callSlack
}

// holder is what the keeper knows of one life of a server.
type holder struct {
	server *catalog.Server
	calls  calls
	// releases bounds the releases that are under way, each on a connection.
	releases chan struct{}
	underWay int       // grants that are under way
	nextAt   time.Time // of the next renewal
	// heldUntil is the moment by which every grant that the server may have got
	// has run out.
	heldUntil time.Time
	// earlierUntil is the same moment for grants that went to earlier lives under
	// the same id. One of them may have reached this life.
	earlierUntil time.Time
	// doubtUntil is the moment until which a grant without an answer may still
	// come into force.
	doubtUntil time.Time
	ended      bool // the process has ended and holds nothing
	// leftInOrder says that the server does not listen, and did not crash: it may
	// still work.
	leftInOrder bool
	// taken says that the server has taken this keeper's grants. Before, an
	// earlier keeper may still renew its own there after a release.
	taken bool
	// broken says that no connection to the process is left. What answers at the
	// address may be a later life: it is granted keys only under new fences.
	broken    bool
	answering bool // the server answers at its address again
	// leastFence is the lowest fence under which the process may be granted keys.
	leastFence catalog.Fence
	// refencedAt is when the server last got new fences after a failure.
	refencedAt time.Time
	silent     time.Time // since when the server takes no grants; zero while it does
}

func newHolder(server *catalog.Server, c calls, heldUntil time.Time) *holder {
	return &holder{server: server, calls: c, releases: make(chan struct{}, releasesAtOnce), heldUntil: heldUntil}
}

// after returns the later of two moments.
func after(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sent notes a grant whose call ended at the given time: it may have left and
// arrived at any time before.
func (h *holder) sent(ended time.Time, hold time.Duration) {
	h.heldUntil = after(h.heldUntil, ended.Add(runOut(hold)))
}

// free reports that the server surely holds no keys.
func (h *holder) free(now time.Time) bool {
	return h.ended || (h.underWay == 0 && now.After(h.heldUntil))
}

// lost reports that the server does not take its grants.
func (h *holder) lost() bool { return !h.silent.IsZero() }

// mendable reports that the server answers again and is worth new fences. One
// that answers and takes no grants is not, for a while.
func (h *holder) mendable(now time.Time) bool {
	return h.broken && h.answering && now.Sub(h.refencedAt) > refencePause
}
