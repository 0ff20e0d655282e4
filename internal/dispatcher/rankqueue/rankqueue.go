package rankqueue

import "time"

// Bounds of a floor's period.
const (
	floorPeriod           = time.Second            // time over which a floor is kept
	minPeriodServiceTimes = 4                      // the period spans at least this many service times
	surplusPeriod         = 500 * time.Millisecond // time for which slots that were free for the taking count against a floor
	aloneTimeout          = time.Second            // time for which a request that runs alone may hold back others
	riseWeight            = 0.05                   // weight of a longer service time in the estimate
	fallWeight            = 0.3                    // weight of a shorter one
	percentInFull         = 100
)

// Settings of a queue.
type Settings struct {
	Slots int
	// FloorPercent gives each rank's floor in percent of the slots, most urgent rank first.
	FloorPercent []int
	// Limit bounds the waiting requests of one rank.
	Limit int
}

// Decision says why a request may not wait any longer.
type Decision int

// Refusals.
const (
	Accepted     Decision = iota
	Full                  // the rank's queue is full
	TooLate               // the request cannot finish before its deadline
	AloneTimeout          // the request must run alone and the server stayed busy
)

// Item is a request that waits for a slot or holds one.
type Item[T any] struct {
	Value    T
	Rank     int
	Deadline time.Time
	// Alone asks for all slots: nothing else runs beside the request.
	Alone bool

	onFloor      bool // runs on its rank's floor
	blockedSince time.Time
	prev, next   *Item[T]
	list         *list[T]
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
	waiting     list[T]
	inUse       int
	floorInUse  int           // requests in use that started on the floor
	credit      time.Duration // slot time that the floor owes
	serviceTime time.Duration // low estimate of the service time
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

// TryStart gives a slot to a request at once when one is free and nothing waits.
func (q *Queue[T]) TryStart(item *Item[T], now time.Time) bool {
	if item.Alone || !q.hasFreeSlot() || q.anyWaiting() {
		return false
	}
	q.advance(now)
	q.occupySlot(item, false)
	return true
}

func (q *Queue[T]) hasFreeSlot() bool { return q.inUse < q.settings.Slots && !q.alone }

func (q *Queue[T]) anyWaiting() bool {
	for i := range q.ranks {
		if q.ranks[i].waiting.count > 0 {
			return true
		}
	}
	return false
}

// Enqueue lets a request wait, or refuses it.
func (q *Queue[T]) Enqueue(item *Item[T], now time.Time) Decision {
	r := &q.ranks[item.Rank]
	if r.waiting.count >= q.settings.Limit {
		return Full
	}
	if q.inUse > 0 && now.Add(q.EstimateWait(item.Rank)+r.serviceTime).After(item.Deadline) {
		return TooLate
	}
	q.advance(now)
	r.waiting.push(item)
	return Accepted
}

// EstimateWait estimates, rather too low than too high, how long a new request of a
// rank would wait: behind the ranks that go first, or on its own floor.
func (q *Queue[T]) EstimateWait(rank int) time.Duration {
	var ahead time.Duration
	for i := range rank + 1 {
		ahead += time.Duration(q.ranks[i].waiting.count) * q.ranks[i].serviceTime
	}
	wait := ahead / time.Duration(max(q.settings.Slots, 1))
	if floorSlots := q.floorSlots(rank); floorSlots > 0 {
		ownRank := time.Duration(q.ranks[rank].waiting.count) * q.ranks[rank].serviceTime
		wait = min(wait, time.Duration(float64(ownRank)/floorSlots))
	}
	return wait
}

// floorSlots returns a rank's floor in slots.
func (q *Queue[T]) floorSlots(rank int) float64 {
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
func (q *Queue[T]) Next(now time.Time) (*Item[T], Decision) {
	if !q.hasFreeSlot() || !q.anyWaiting() {
		return nil, Accepted
	}
	q.advance(now)
	rank, onFloor := q.nextRank()
	item := q.ranks[rank].waiting.first
	if q.tooLate(item, now) {
		item.list.remove(item)
		return item, TooLate
	}
	if item.Alone && q.inUse > 0 {
		return q.waitForIdle(item, now)
	}
	item.list.remove(item)
	q.occupySlot(item, onFloor)
	return item, Accepted
}

// tooLate reports that the request cannot finish. On an idle server every
// request may try until its deadline, so that a stale estimate is corrected.
func (q *Queue[T]) tooLate(item *Item[T], now time.Time) bool {
	if q.inUse == 0 {
		return !now.Before(item.Deadline)
	}
	return now.Add(q.ranks[item.Rank].serviceTime).After(item.Deadline)
}

// waitForIdle keeps the free slots empty until a request can run alone, for a bounded time.
func (q *Queue[T]) waitForIdle(item *Item[T], now time.Time) (*Item[T], Decision) {
	if item.blockedSince.IsZero() {
		item.blockedSince = now
	}
	if now.Sub(item.blockedSince) < aloneTimeout {
		return nil, Accepted
	}
	item.list.remove(item)
	return item, AloneTimeout
}

// nextRank returns the rank that goes next, and whether its floor made it so.
func (q *Queue[T]) nextRank() (int, bool) {
	mostUrgent := -1
	mostCredit := -1
	for i := range q.ranks {
		if q.ranks[i].waiting.count == 0 {
			continue
		}
		if mostUrgent < 0 {
			mostUrgent = i
			continue
		}
		if q.ranks[i].credit > 0 && (mostCredit < 0 || q.ranks[i].credit > q.ranks[mostCredit].credit) {
			mostCredit = i
		}
	}
	if mostCredit >= 0 && q.ranks[mostCredit].credit > q.ranks[mostUrgent].credit {
		return mostCredit, true
	}
	return mostUrgent, false
}

func (q *Queue[T]) occupySlot(item *Item[T], onFloor bool) {
	r := &q.ranks[item.Rank]
	item.onFloor = onFloor
	r.inUse++
	q.inUse++
	q.alone = item.Alone
	if onFloor {
		r.floorInUse++
	}
}

// Done gives a slot back. A positive service time updates the estimate.
func (q *Queue[T]) Done(item *Item[T], service time.Duration, now time.Time) {
	q.advance(now)
	r := &q.ranks[item.Rank]
	r.inUse--
	q.inUse--
	if item.onFloor {
		r.floorInUse--
	}
	if item.Alone {
		q.alone = false
	}
	r.updateServiceTime(service)
}

func (r *rank[T]) updateServiceTime(service time.Duration) {
	if service <= 0 {
		return
	}
	if r.serviceTime == 0 {
		r.serviceTime = service
		return
	}
	weight := riseWeight
	if service < r.serviceTime {
		weight = fallWeight
	}
	r.serviceTime += time.Duration(weight * float64(service-r.serviceTime))
}

// advance brings all credits up to now.
func (q *Queue[T]) advance(now time.Time) {
	elapsed := now.Sub(q.now)
	if elapsed <= 0 {
		return
	}
	q.now = now
	for i := range q.ranks {
		if floorSlots := q.floorSlots(i); floorSlots > 0 {
			q.ranks[i].accrue(floorSlots, elapsed)
		}
	}
}

// accrue adds what the floor owes and subtracts what the rank used. Slots that
// were free for the taking count too, but no further than a short period, so
// that a rank is not shut out for what nobody else wanted.
func (r *rank[T]) accrue(floorSlots float64, elapsed time.Duration) {
	maxCredit := time.Duration(floorSlots * float64(max(floorPeriod, minPeriodServiceTimes*r.serviceTime)))
	r.credit += time.Duration((floorSlots - float64(r.floorInUse)) * float64(elapsed))
	if minCredit := -time.Duration(floorSlots * float64(surplusPeriod)); r.credit > minCredit {
		surplus := time.Duration(r.inUse-r.floorInUse) * elapsed
		r.credit = max(r.credit-surplus, minCredit)
	}
	if r.waiting.count == 0 {
		r.credit = min(r.credit, 0)
	}
	r.credit = min(r.credit, maxCredit)
}
