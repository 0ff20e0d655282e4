package rankqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// simulation runs a queue on simulated time.
type simulation struct {
	queue        *Queue[*job]
	now          time.Time
	running      []*job
	serviceTimes []time.Duration
	slotTime     []time.Duration // slot time used by each rank since the last reset
	waits        []time.Duration // waits of the most urgent rank
}

type job struct {
	item    Item[*job]
	arrived time.Time
	ends    time.Time
}

var start = time.Unix(1_700_000_000, 0)

func newSimulation(slots int, floors []int, limit int, service []time.Duration) *simulation {
	return &simulation{
		queue:        New[*job](Settings{Slots: slots, FloorPercent: floors, Limit: limit}, start),
		now:          start,
		serviceTimes: service,
		slotTime:     make([]time.Duration, len(floors)),
	}
}

func (b *simulation) submit(rank int, timeout time.Duration) Decision {
	j := &job{arrived: b.now}
	j.item = Item[*job]{Value: j, Rank: rank, Deadline: b.now.Add(timeout)}
	if b.queue.TryStart(&j.item, b.now) {
		b.recordStart(j)
		return Accepted
	}
	return b.queue.Enqueue(&j.item, b.now)
}

func (b *simulation) recordStart(j *job) {
	j.ends = b.now.Add(b.serviceTimes[j.item.Rank])
	b.running = append(b.running, j)
	if j.item.Rank == 0 {
		b.waits = append(b.waits, b.now.Sub(j.arrived))
	}
}

func (b *simulation) assignSlots() {
	for {
		item, refusal := b.queue.Next(b.now)
		if item == nil {
			return
		}
		if refusal == Accepted {
			b.recordStart(item.Value)
		}
	}
}

// advance moves time forward and ends what ended.
func (b *simulation) advance(step time.Duration) {
	b.now = b.now.Add(step)
	for _, j := range b.running {
		b.slotTime[j.item.Rank] += step
		if !j.ends.After(b.now) {
			b.queue.Done(&j.item, b.serviceTimes[j.item.Rank], b.now)
		}
	}
	b.running = slices.DeleteFunc(b.running, func(j *job) bool { return !j.ends.After(b.now) })
	b.assignSlots()
}

func (b *simulation) flood(rank, limit int) {
	for b.queue.Waiting(rank) < limit {
		if b.submit(rank, time.Hour) != Accepted {
			return
		}
	}
}

func drawServiceTimes(t *rapid.T, ranks int) []time.Duration {
	service := make([]time.Duration, ranks)
	for i := range service {
		service[i] = time.Duration(rapid.IntRange(1, 40).Draw(t, "service_ms")) * time.Millisecond
	}
	return service
}

func TestLowerRanksKeepTheirFloors(t *testing.T) {
	const limit = 8
	rapid.Check(t, func(t *rapid.T) {
		floors := []int{0, rapid.IntRange(5, 30).Draw(t, "floor 1"), rapid.IntRange(5, 30).Draw(t, "floor 2")}
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		b := newSimulation(slots, floors, limit, drawServiceTimes(t, 3))
		for range 2000 { // the least urgent rank floods alone
			b.flood(2, limit)
			b.advance(time.Millisecond)
		}
		b.slotTime = make([]time.Duration, 3)
		const steps = 10_000
		for range steps {
			for rank := range 3 {
				b.flood(rank, limit)
			}
			b.advance(time.Millisecond)
			if b.queue.InUse() != slots {
				t.Fatalf("%d of %d slots in use while requests wait", b.queue.InUse(), slots)
			}
		}
		for rank, floor := range floors {
			used := float64(b.slotTime[rank]) / float64(steps*time.Millisecond) / float64(slots) * 100
			if used < 0.9*float64(floor) {
				t.Fatalf("rank %d kept %.1f%% of the slots, its floor is %d%%", rank, used, floor)
			}
		}
	})
}

// urgentWaits runs urgent requests at random times at 60% of the slots, and
// returns the 99th percentile of their waits.
func urgentWaits(seed uint64, slots int, service []time.Duration, flood bool) time.Duration {
	const limit = 64
	random := rand.New(rand.NewPCG(seed, 1))
	b := newSimulation(slots, []int{0, 20, 10}, limit, service)
	const step = time.Millisecond
	chance := 0.6 * float64(slots) * float64(step) / float64(service[0])
	for range 20_000 {
		for range slots {
			if random.Float64() < chance/float64(slots) {
				b.submit(0, time.Hour)
			}
		}
		if flood {
			b.flood(2, limit)
		}
		b.advance(step)
	}
	slices.Sort(b.waits)
	return b.waits[len(b.waits)*99/100]
}

func TestUrgentWaitsAtMostOneServiceTimeLongerUnderFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		slots := rapid.IntRange(2, 4).Draw(t, "slots")
		service := drawServiceTimes(t, 3)
		baseline := urgentWaits(seed, slots, service, false)
		flooded := urgentWaits(seed, slots, service, true)
		if limit := baseline + max(service[0], service[2]); flooded > limit {
			t.Fatalf("urgent requests wait %s under flood, want at most %s", flooded, limit)
		}
	})
}

func TestQueueIsBounded(t *testing.T) {
	b := newSimulation(1, []int{0, 10}, 4, []time.Duration{time.Second, time.Second})
	accepted := 0
	for range 100 {
		if b.submit(1, time.Hour) == Accepted {
			accepted++
		}
	}
	must.Eq(t, 5, accepted)
	must.Eq(t, Full, b.submit(1, time.Hour))
	must.Eq(t, Accepted, b.submit(0, time.Hour))
}

func TestRequestThatCannotFinishIsRefused(t *testing.T) {
	b := newSimulation(1, []int{0}, 8, []time.Duration{100 * time.Millisecond})
	must.Eq(t, Accepted, b.submit(0, time.Hour))
	b.advance(100 * time.Millisecond)
	must.Eq(t, Accepted, b.submit(0, time.Hour))
	must.Eq(t, TooLate, b.submit(0, 50*time.Millisecond))
	must.Eq(t, Accepted, b.submit(0, 150*time.Millisecond))
	must.Eq(t, TooLate, b.submit(0, 150*time.Millisecond))
}

func TestIdleServerStartsRequestDespiteLongServiceTime(t *testing.T) {
	b := newSimulation(1, []int{0}, 8, []time.Duration{time.Second})
	must.Eq(t, Accepted, b.submit(0, time.Hour))
	b.advance(time.Second)
	must.Eq(t, Accepted, b.submit(0, time.Millisecond))
	must.Eq(t, 1, b.queue.InUse())
}

func TestNothingRunsBesideARequestThatRunsAlone(t *testing.T) {
	b := newSimulation(3, []int{0}, 8, []time.Duration{100 * time.Millisecond})
	must.Eq(t, Accepted, b.submit(0, time.Hour))
	suspect := &job{arrived: b.now}
	suspect.item = Item[*job]{Value: suspect, Deadline: b.now.Add(time.Hour), Alone: true}
	must.Eq(t, Accepted, b.queue.Enqueue(&suspect.item, b.now))
	must.Eq(t, Accepted, b.submit(0, time.Hour))
	b.assignSlots()
	must.Eq(t, 1, b.queue.InUse())
	b.advance(100 * time.Millisecond)
	must.Eq(t, 1, b.queue.InUse())
	must.Eq(t, 1, b.queue.Waiting(0))
	b.advance(100 * time.Millisecond)
	must.Eq(t, 1, b.queue.InUse())
	must.Eq(t, 0, b.queue.Waiting(0))
}

func TestRequestThatCannotRunAloneIsRefused(t *testing.T) {
	b := newSimulation(1, []int{0}, 8, []time.Duration{time.Hour})
	must.Eq(t, Accepted, b.submit(0, time.Hour))
	b.queue.SetSlots(2, b.now)
	suspect := &Item[*job]{Deadline: b.now.Add(2 * time.Hour), Alone: true}
	must.Eq(t, Accepted, b.queue.Enqueue(suspect, b.now))
	item, _ := b.queue.Next(b.now)
	must.Nil(t, item)
	item, refusal := b.queue.Next(b.now.Add(aloneTimeout))
	must.Eq(t, suspect, item)
	must.Eq(t, AloneTimeout, refusal)
}
