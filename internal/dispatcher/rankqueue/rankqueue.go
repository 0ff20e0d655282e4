package rankqueue

import "time"

// Bounds of a floor's period.
const (
	floorPeriod   = time.Second            // time over which a floor is kept
	periodInRuns  = 4                      // the period spans at least this many service times
	surplusPeriod = 500 * time.Millisecond // time for which slots that were free for the taking count against a floor
	aloneWait     = time.Second            // time for which a request that runs alone may hold back others
	riseWeight    = 0.05                   // weight of a longer service time in the estimate
	fallWeight    = 0.3                    // weight of a shorter one
	percentInFull = 100
)

// Settings of a queue.
type Settings struct {
	Slots int
	// FloorPercent gives each rank's floor in percent of the slots, most urgent rank first.
	FloorPercent []int
	// Limit bounds the waiting requests of one rank.
	Limit int
}

// Refusal says why a request may not wait any longer.
type Refusal int

// Refusals.
const (
	Accepted Refusal = iota
	Full             // the rank's queue is full
	TooLate          // the request cannot finish before its deadline
	NotAlone         // the request must run alone and the server stayed busy
)

// Item is a request that waits for a slot or holds one.
type Item[T any] struct {
	Value    T
	Rank     int
	Deadline time.Time
	// Alone asks for all slots: nothing else runs beside the request.
	Alone bool

	owed       bool // runs on its rank's floor
	heldSince  time.Time
	prev, next *Item[T]
	list       *list[T]
}

// Queue holds the requests of one server.
type Queue[T any] struct {
	settings Settings
	ranks    []rank[T]
	inUse    int
	alone    bool // the running request must stay alone
	now      time.Time
}

type rank[T any] struct {
	waiting list[T]
	inUse   int
	owed    int           // requests in use that started on the floor
	credit  time.Duration // slot time that the floor owes
	service time.Duration // low estimate of the service time
}

// New returns an empty queue.
func New[T any](s Settings, now time.Time) *Queue[T] {
	return &Queue[T]{settings: s, ranks: make([]rank[T], len(s.FloorPercent)), now: now}
}

// Configure puts other settings in force. Requests of ranks that are gone keep
// their place behind the others.
func (q *Queue[T]) Configure(s Settings, now time.Time) {
	q.advance(now)
	for len(s.FloorPercent) < len(q.ranks) {
		s.FloorPercent = append(s.FloorPercent, 0)
	}
	for len(q.ranks) < len(s.FloorPercent) {
		q.ranks = append(q.ranks, rank[T]{})
	}
	q.settings = s
}

// SetSlots changes the number of slots. Requests that hold a slot keep it.
func (q *Queue[T]) SetSlots(slots int, now time.Time) {
	q.advance(now)
	q.settings.Slots = slots
}

// Slots returns the number of slots.
func (q *Queue[T]) Slots() int { return q.settings.Slots }

// InUse returns the number of requests that hold a slot.
func (q *Queue[T]) InUse() int { return q.inUse }

// Waiting returns the number of waiting requests of a rank.
func (q *Queue[T]) Waiting(rank int) int { return q.ranks[rank].waiting.count }

// Start gives a slot to a request at once when one is free and nothing waits.
func (q *Queue[T]) Start(item *Item[T], now time.Time) bool {
	if item.Alone || !q.free() || q.anyWaiting() {
		return false
	}
	q.advance(now)
	q.take(item, false)
	return true
}

func (q *Queue[T]) free() bool { return q.inUse < q.settings.Slots && !q.alone }

func (q *Queue[T]) anyWaiting() bool {
	for i := range q.ranks {
		if q.ranks[i].waiting.count > 0 {
			return true
		}
	}
	return false
}

// Offer lets a request wait, or refuses it.
func (q *Queue[T]) Offer(item *Item[T], now time.Time) Refusal {
	r := &q.ranks[item.Rank]
	if r.waiting.count >= q.settings.Limit {
		return Full
	}
	if q.inUse > 0 && now.Add(q.Wait(item.Rank)+r.service).After(item.Deadline) {
		return TooLate
	}
	q.advance(now)
	r.waiting.push(item)
	return Accepted
}

// Wait estimates, rather too low than too high, how long a new request of a
// rank would wait: behind the ranks that go first, or on its own floor.
func (q *Queue[T]) Wait(rank int) time.Duration {
	var ahead time.Duration
	for i := range rank + 1 {
		ahead += time.Duration(q.ranks[i].waiting.count) * q.ranks[i].service
	}
	wait := ahead / time.Duration(max(q.settings.Slots, 1))
	if share := q.share(rank); share > 0 {
		own := time.Duration(q.ranks[rank].waiting.count) * q.ranks[rank].service
		wait = min(wait, time.Duration(float64(own)/share))
	}
	return wait
}

// share returns a rank's floor in slots.
func (q *Queue[T]) share(rank int) float64 {
	return float64(q.settings.FloorPercent[rank]) / percentInFull * float64(q.settings.Slots)
}

// Remove takes a waiting request out and reports whether it was waiting.
func (q *Queue[T]) Remove(item *Item[T], now time.Time) bool {
	if item.list == nil {
		return false
	}
	q.advance(now)
	item.list.remove(item)
	return true
}

// Each calls f with every waiting request. f may remove the request.
func (q *Queue[T]) Each(f func(*Item[T])) {
	for i := range q.ranks {
		for item := q.ranks[i].waiting.first; item != nil; {
			next := item.next
			f(item)
			item = next
		}
	}
}

// Next returns a waiting request that gets a slot (Accepted) or is refused, or
// nil when nothing can be done now.
func (q *Queue[T]) Next(now time.Time) (*Item[T], Refusal) {
	if !q.free() || !q.anyWaiting() {
		return nil, Accepted
	}
	q.advance(now)
	rank, owed := q.choose()
	item := q.ranks[rank].waiting.first
	if q.tooLate(item, now) {
		item.list.remove(item)
		return item, TooLate
	}
	if item.Alone && q.inUse > 0 {
		return q.holdBack(item, now)
	}
	item.list.remove(item)
	q.take(item, owed)
	return item, Accepted
}

// tooLate reports that the request cannot finish. On an idle server every
// request may try until its deadline, so that a stale estimate is corrected.
func (q *Queue[T]) tooLate(item *Item[T], now time.Time) bool {
	if q.inUse == 0 {
		return !now.Before(item.Deadline)
	}
	return now.Add(q.ranks[item.Rank].service).After(item.Deadline)
}

// holdBack keeps the free slots empty until a request can run alone, for a bounded time.
func (q *Queue[T]) holdBack(item *Item[T], now time.Time) (*Item[T], Refusal) {
	if item.heldSince.IsZero() {
		item.heldSince = now
	}
	if now.Sub(item.heldSince) < aloneWait {
		return nil, Accepted
	}
	item.list.remove(item)
	return item, NotAlone
}

// choose returns the rank that goes next, and whether its floor made it so.
func (q *Queue[T]) choose() (int, bool) {
	first := -1
	owed := -1
	for i := range q.ranks {
		if q.ranks[i].waiting.count == 0 {
			continue
		}
		if first < 0 {
			first = i
			continue
		}
		if q.ranks[i].credit > 0 && (owed < 0 || q.ranks[i].credit > q.ranks[owed].credit) {
			owed = i
		}
	}
	if owed >= 0 && q.ranks[owed].credit > q.ranks[first].credit {
		return owed, true
	}
	return first, false
}

func (q *Queue[T]) take(item *Item[T], owed bool) {
	r := &q.ranks[item.Rank]
	item.owed = owed
	r.inUse++
	q.inUse++
	q.alone = item.Alone
	if owed {
		r.owed++
	}
}

// Done gives a slot back. A positive service time updates the estimate.
func (q *Queue[T]) Done(item *Item[T], service time.Duration, now time.Time) {
	q.advance(now)
	r := &q.ranks[item.Rank]
	r.inUse--
	q.inUse--
	if item.owed {
		r.owed--
	}
	if item.Alone {
		q.alone = false
	}
	r.observe(service)
}

func (r *rank[T]) observe(service time.Duration) {
	if service <= 0 {
		return
	}
	if r.service == 0 {
		r.service = service
		return
	}
	weight := riseWeight
	if service < r.service {
		weight = fallWeight
	}
	r.service += time.Duration(weight * float64(service-r.service))
}

// advance brings all credits up to now.
func (q *Queue[T]) advance(now time.Time) {
	passed := now.Sub(q.now)
	if passed <= 0 {
		return
	}
	q.now = now
	for i := range q.ranks {
		if share := q.share(i); share > 0 {
			q.ranks[i].accrue(share, passed)
		}
	}
}

// accrue adds what the floor owes and subtracts what the rank used. Slots that
// were free for the taking count too, but no further than a short period, so
// that a rank is not shut out for what nobody else wanted.
func (r *rank[T]) accrue(share float64, passed time.Duration) {
	limit := time.Duration(share * float64(max(floorPeriod, periodInRuns*r.service)))
	r.credit += time.Duration((share - float64(r.owed)) * float64(passed))
	if lowest := -time.Duration(share * float64(surplusPeriod)); r.credit > lowest {
		surplus := time.Duration(r.inUse-r.owed) * passed
		r.credit = max(r.credit-surplus, lowest)
	}
	if r.waiting.count == 0 {
		r.credit = min(r.credit, 0)
	}
	r.credit = min(r.credit, limit)
}
