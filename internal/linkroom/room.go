package linkroom

import (
	"slices"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

const (
	defaultObjective = time.Second            // for routes without a latency objective
	objectiveShare   = 0.8                    // of the latency objective may pass on the link
	sizeWeight       = 0.05                   // of one response in the average size
	minLargeBytes    = 64 << 10               // expected of responses that are usually large, at least
	maxSizes         = 512                    // kinds of requests whose size is known, at most
	minRetryAfter    = 50 * time.Millisecond  // shortest pause that a caller is advised
	fullAfter        = 250 * time.Millisecond // of bytes that pass, from which on a response is late because of the link
	// windowTime is the time that the link needs for what one server may send unread.
	windowTime      = 20 * time.Millisecond
	minWindowBytes  = 32 << 10
	maxWindowBytes  = 128 << 10
	maxWindowNeeded = 1 << 20 // a wider link needs no bound
	// inFlightTime is the time that the link needs for the large responses of all requests that are
	// at servers. These may come all at once, and not every kernel bounds what comes unread.
	inFlightTime = 500 * time.Millisecond
	// countedTime is the time from which on a request without a response takes no room any more:
	// its server is slow or silent, and others may use the link meanwhile.
	countedTime = time.Second
)

// Room knows the bytes that are due on a daemon's link. A nil Room is that of a link
// whose bandwidth is not known: it admits everything. It is safe for concurrent use.
type Room struct {
	In, Out *Pacer
	rate    float64 // usable bandwidth in bytes per second

	maxInFlight float64 // expected bytes of large responses that may be under way

	mu        sync.Mutex
	large     int      // admitted requests with large responses that take room
	admitted  []*claim // these and some that have been released, in the order of their admission
	committed float64  // expected bytes of the admitted requests that take room
	sizes     map[Kind]*average
	learned   uint64    // number of sizes that were learned
	waiting   []*Waiter // by rank, then by arrival
}

// Kind is a kind of requests whose responses have about the same size.
type Kind struct {
	Service model.PoolName
	// Large says that the route's responses are usually large.
	Large bool
}

// New returns the room of a link with a bandwidth in bytes per second, or nil if that is
// zero, which stands for unknown.
func New(bytesPerSecond float64) *Room {
	if bytesPerSecond <= 0 {
		return nil
	}
	rate := usableShare * bytesPerSecond
	return &Room{
		In: newPacer(rate), Out: newPacer(rate), rate: rate,
		maxInFlight: rate * inFlightTime.Seconds(), sizes: map[Kind]*average{},
	}
}

// ReceiveWindow returns the number of bytes that a server may send before they are read,
// or zero if they need no bound.
func (r *Room) ReceiveWindow() int {
	window := int(r.rate * windowTime.Seconds())
	if window > maxWindowNeeded {
		return 0
	}
	return min(max(window, minWindowBytes), maxWindowBytes)
}

// Admission is the room of an admitted request. The zero value holds none.
type Admission struct {
	room  *Room
	kind  Kind
	claim *claim // nil if the response is small
}

// claim is the room of one large response.
type claim struct {
	expected float64
	at       time.Time
	released bool
}

// Request is a request for whose response room is needed.
type Request struct {
	Kind Kind
	Rank int // lower ranks are more urgent
	// LatencyObjective is the time within which the response is wanted; zero if there is none.
	LatencyObjective time.Duration
}

// objective returns the latency objective, or the usual one.
func (q *Request) objective() time.Duration {
	if q.LatencyObjective <= 0 {
		return defaultObjective
	}
	return q.LatencyObjective
}

// Admit reserves room for the response to a request. If there is none now, or others wait
// for it, Admit returns false and the time after which there is room: the request may wait,
// see Enqueue. One response is always admitted, however large.
func (r *Room) Admit(q *Request, now time.Time) (Admission, time.Duration, bool) {
	if r == nil {
		return Admission{}, 0, true
	}
	passing := max(r.In.due(now), r.Out.due(now))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetOld(now)
	missing := r.missing(q, passing)
	if r.expected(q.Kind) > SmallBytes && len(r.waiting) > 0 {
		missing = max(missing, minRetryAfter)
	}
	if missing > 0 {
		return Admission{}, max(missing, minRetryAfter), false
	}
	return r.admit(q, now), 0, true
}

// missing returns the time until there is room for the response to a request, zero if there
// is room. passing is the time that the link needs for what passes. The caller holds r.mu.
func (r *Room) missing(q *Request, passing time.Duration) time.Duration {
	expected := r.expected(q.Kind)
	if expected <= SmallBytes || r.large == 0 {
		return 0
	}
	allowed := time.Duration(objectiveShare * float64(q.objective()))
	needed := max(passing, r.In.duration(r.committed)) + r.In.duration(2*expected) // it arrives, then it leaves
	return max(needed-allowed, r.In.duration(r.committed+expected-r.maxInFlight), 0)
}

// admit takes room for the response to a request. The caller holds r.mu.
func (r *Room) admit(q *Request, now time.Time) Admission {
	a := Admission{room: r, kind: q.Kind}
	if expected := r.expected(q.Kind); expected > SmallBytes {
		a.claim = &claim{expected: expected, at: now}
		r.admitted = append(r.admitted, a.claim)
		r.large++
		r.committed += expected
	}
	return a
}

// forgetOld releases the room of responses that have been awaited for countedTime. The caller
// holds r.mu.
func (r *Room) forgetOld(now time.Time) {
	first := 0
	for first < len(r.admitted) && (r.admitted[first].released || now.Sub(r.admitted[first].at) > countedTime) {
		r.release(r.admitted[first])
		first++
	}
	r.admitted = slices.Delete(r.admitted, 0, first)
}

// release returns the room of a response, once. The caller holds r.mu.
func (r *Room) release(c *claim) {
	if c.released {
		return
	}
	c.released = true
	r.large--
	r.committed -= c.expected
}

// Release returns the room. received is the size of the response, or negative if there
// was none.
func (a *Admission) Release(received int) {
	r := a.room
	if r == nil {
		return
	}
	a.room = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.claim != nil {
		r.release(a.claim)
	}
	if received >= 0 {
		r.learn(a.kind, float64(received))
	}
}

// expected returns the expected size of a response. The caller holds r.mu.
func (r *Room) expected(kind Kind) float64 {
	size := 0.0
	if known := r.sizes[kind]; known != nil {
		size = known.size
	}
	if kind.Large {
		return max(size, minLargeBytes)
	}
	return size
}

// average is the average size of the responses to a kind of requests.
type average struct {
	size    float64 // in bytes
	learned uint64  // Room.learned at the last response
}

// learn adds the size of a response to the average of its kind. With too many kinds, the one
// is forgotten that had no response for longest. The caller holds r.mu.
func (r *Room) learn(kind Kind, size float64) {
	r.learned++
	known := r.sizes[kind]
	if known == nil {
		if len(r.sizes) >= maxSizes {
			r.forgetKind()
		}
		known = &average{size: size}
		r.sizes[kind] = known
	}
	known.size += sizeWeight * (size - known.size)
	known.learned = r.learned
}

// forgetKind forgets the kind that had no response for longest. The caller holds r.mu.
func (r *Room) forgetKind() {
	var oldest Kind
	at := r.learned
	for kind, known := range r.sizes {
		if known.learned < at {
			oldest, at = kind, known.learned
		}
	}
	delete(r.sizes, oldest)
}

// Full reports whether responses are late because of the link: what passes takes it longer
// than fullAfter.
func (r *Room) Full(now time.Time) bool {
	return r != nil && max(r.In.due(now), r.Out.due(now)) > fullAfter
}

// Large returns the number of admitted requests with large responses that are under way.
func (r *Room) Large() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.large
}

// DueIn returns the time that the link needs for what has to arrive.
func (r *Room) DueIn(now time.Time) time.Duration {
	r.mu.Lock()
	committed := r.committed
	r.mu.Unlock()
	return max(r.In.due(now), r.In.duration(committed))
}

// DueOut returns the time that the link needs for what has to leave.
func (r *Room) DueOut(now time.Time) time.Duration { return r.Out.due(now) }
