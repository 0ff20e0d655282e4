package rankqueue

import "time"

// Periods and weights.
const (
	floorPeriod           = time.Second            // period over which a rank gets its minimum share; bounds the credit of a rank
	minPeriodServiceTimes = 4                      // minimum length of that period, in service times of the rank
	surplusPeriod         = 500 * time.Millisecond // bounds the negative credit that a rank gets for using spare slots
	aloneTimeout          = time.Second            // maximum time for which a request that must run alone blocks the queue
	riseWeight            = 0.05                   // weight of a sample above the estimated service time
	fallWeight            = 0.3                    // weight of a sample below it; larger than riseWeight to keep the estimate low
	fullPercent           = 100
)

// Settings configures a queue.
type Settings struct {
	// Slots is the maximum number of requests in progress.
	Slots int
	// FloorPercent is the guaranteed minimum share of each rank in percent of the slots,
	// most urgent rank first.
	FloorPercent []int
	// Limit is the maximum number of waiting requests of each rank.
	Limit int
}

// Decision is the result of Enqueue or Next: Accepted, or the reason for which the
// queue refuses a request.
type Decision int

// Decisions about a request.
const (
	Accepted     Decision = iota // from Enqueue: the request waits; from Next: it has a slot, or there is no request
	Full                         // the rank's queue is full
	TooLate                      // the request is not expected to finish before its deadline
	AloneTimeout                 // the request must run alone and the server was not idle within aloneTimeout
)

// Item is a request that waits for a slot or holds one.
type Item[T any] struct {
	Value    T
	Rank     int       // 0 is the most urgent
	Deadline time.Time // the request is refused when it is not expected to finish by then
	// Alone makes the request run while no other request is in progress at the server.
	Alone bool

	onFloor      bool      // got its slot ahead of a more urgent rank, as part of its rank's minimum share
	blockedSince time.Time // when the request began to wait for an idle server
	prev, next   *Item[T]
	list         *list[T] // list in which the request waits, nil when it does not wait
}

// Queue holds the waiting requests of one server and counts those in progress.
type Queue[T any] struct {
	settings Settings
	ranks    []rank[T] // most urgent rank first
	inUse    int       // number of requests that hold a slot
	alone    bool      // the request in progress must run alone
	now      time.Time // time up to which the credits are updated
}

// rank is the state of one rank. Its floor is its guaranteed minimum share of the
// slots.
type rank[T any] struct {
	waiting     list[T]
	inUse       int           // requests that hold a slot
	floorInUse  int           // those of them that got their slot because of the floor
	credit      time.Duration // slot time by which the rank is behind its floor; negative when ahead
	serviceTime time.Duration // estimated service time, biased low; zero before the first sample
}

// New returns an empty queue with one rank for each entry of s.FloorPercent.
func New[T any](s Settings, now time.Time) *Queue[T] {
	return &Queue[T]{settings: s, ranks: make([]rank[T], len(s.FloorPercent)), now: now}
}

// Configure replaces the settings. Ranks that s no longer has keep their waiting
// requests, after the other ranks and with a floor of zero.
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

// SetSlots changes the number of slots. Requests in progress keep their slots,
// so InUse may exceed Slots for a while.
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

// TryStart gives the request a slot if one is free and no request waits, and
// reports whether it did. It never starts a request that must run alone.
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

// Enqueue appends the request to the queue of its rank and returns Accepted, or
// returns Full or TooLate.
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

// EstimateWait returns how long a new request of a rank would wait, as the lower
// of two estimates: behind all waiting requests that are at least as urgent, or
// behind those of its own rank with only the slots of the rank's floor. The
// estimate is biased low, so that no request is refused that could have been in time.
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

// floorSlots returns the floor of a rank in slots, which may be a fraction.
func (q *Queue[T]) floorSlots(rank int) float64 {
	return float64(q.settings.FloorPercent[rank]) / fullPercent * float64(q.settings.Slots)
}

// Remove removes a request from the queue and reports whether it was waiting.
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

// Next removes a waiting request from the queue and returns it with Accepted if it
// now has a slot, and otherwise with TooLate or AloneTimeout. It returns nil and
// Accepted when no slot is free, no request waits, or the next request waits for an
// idle server.
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

// tooLate reports whether the request is expected to miss its deadline. On an idle
// server a request is started until its deadline has passed, whatever the
// estimate says, so that an outdated estimate is corrected by a new sample.
func (q *Queue[T]) tooLate(item *Item[T], now time.Time) bool {
	if q.inUse == 0 {
		return !now.Before(item.Deadline)
	}
	return now.Add(q.ranks[item.Rank].serviceTime).After(item.Deadline)
}

// waitForIdle leaves the free slots unused until the request can run alone. After
// aloneTimeout it refuses the request.
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

// nextRank returns the rank to serve next, and whether it was chosen because of
// its floor. At least one request must be waiting.
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

// Done releases the slot of a request. A positive service time updates the
// estimate of the request's rank; zero means that none was measured.
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

// advance updates all credits for the time since the last call.
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

// accrue adds the slot time that the floor guarantees for the elapsed time and
// subtracts the slot time that the rank used. Use of spare slots, which no other
// rank needed, lowers the credit to no less than surplusPeriod of the floor, so
// that the rank is not kept from its floor for long afterwards.
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
