package rankqueue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// simulation drives a queue with simulated time and service times.
type simulation struct {
	queue        *Queue[*job]
	now          time.Time
	running      []*job
	serviceTimes []time.Duration // by rank
	slotTime     []time.Duration // slot time used by each rank since the last reset
	waits        []time.Duration // waits of the most urgent rank
}

// job is a simulated request.
type job struct {
	item    Item[*job]
	arrived time.Time
	ends    time.Time // set when it gets a slot
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

// submit makes a request arrive. It returns Accepted when the request got a slot or
// waits.
func (s *simulation) submit(rank int, timeout time.Duration) Decision {
	j := &job{arrived: s.now}
	j.item = Item[*job]{Value: j, Rank: rank, Deadline: s.now.Add(timeout)}
	if s.queue.TryStart(&j.item, s.now) {
		s.recordStart(j)
		return Accepted
	}
	return s.queue.Enqueue(&j.item, s.now)
}

func (s *simulation) recordStart(j *job) {
	j.ends = s.now.Add(s.serviceTimes[j.item.Rank])
	s.running = append(s.running, j)
	if j.item.Rank == 0 {
		s.waits = append(s.waits, s.now.Sub(j.arrived))
	}
}

func (s *simulation) assignSlots() {
	for {
		item, decision := s.queue.Next(s.now)
		if item == nil {
			return
		}
		if decision == Accepted {
			s.recordStart(item.Value)
		}
	}
}

// advance moves the time forward by step and ends the jobs whose service time has passed.
func (s *simulation) advance(step time.Duration) {
	s.now = s.now.Add(step)
	for _, j := range s.running {
		s.slotTime[j.item.Rank] += step
		if !j.ends.After(s.now) {
			s.queue.Done(&j.item, s.serviceTimes[j.item.Rank], s.now)
		}
	}
	s.running = slices.DeleteFunc(s.running, func(j *job) bool { return !j.ends.After(s.now) })
	s.assignSlots()
}

// flood submits requests of a rank until limit of them wait.
// flood submits requests of a rank until limit of them wait.
func (s *simulation) flood(rank, limit int) {
	for s.queue.Waiting(rank) < limit {
		if s.submit(rank, time.Hour) != Accepted {
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
		s := newSimulation(slots, floors, limit, drawServiceTimes(t, 3))
		for range 2000 { // only the least urgent rank has requests, so it uses the spare slots
			s.flood(2, limit)
			s.advance(time.Millisecond)
		}
		s.slotTime = make([]time.Duration, 3)
		const steps = 10_000
		for range steps {
			for rank := range 3 {
				s.flood(rank, limit)
			}
			s.advance(time.Millisecond)
			if s.queue.InUse() != slots {
				t.Fatalf("%d of %d slots are in use although requests wait", s.queue.InUse(), slots)
			}
		}
		for rank, floor := range floors {
			used := float64(s.slotTime[rank]) / float64(steps*time.Millisecond) / float64(slots) * 100
			if used < 0.9*float64(floor) {
				t.Fatalf("rank %d used %.1f%% of the slots, want at least 90%% of its floor of %d%%", rank, used, floor)
			}
		}
	})
}

// urgentWaits simulates requests of the most urgent rank that arrive at random
// times and use 60% of the slots on average, and returns the 99th percentile of
// their waiting times. With flood, requests of the least urgent rank always wait.
func urgentWaits(seed uint64, slots int, service []time.Duration, flood bool) time.Duration {
	const limit = 64
	random := rand.New(rand.NewPCG(seed, 1))
	s := newSimulation(slots, []int{0, 20, 10}, limit, service)
	const step = time.Millisecond
	chance := 0.6 * float64(slots) * float64(step) / float64(service[0])
	for range 20_000 {
		for range slots {
			if random.Float64() < chance/float64(slots) {
				s.submit(0, time.Hour)
			}
		}
		if flood {
			s.flood(2, limit)
		}
		s.advance(step)
	}
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*99/100]
}

func TestUrgentWaitsAtMostOneServiceTimeLongerUnderFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		slots := rapid.IntRange(2, 4).Draw(t, "slots")
		service := drawServiceTimes(t, 3)
		baseline := urgentWaits(seed, slots, service, false)
		flooded := urgentWaits(seed, slots, service, true)
		if limit := baseline + max(service[0], service[2]); flooded > limit {
			t.Fatalf("99th percentile of the most urgent rank's waiting time is %s under a flood of another rank, want at most %s", flooded, limit)
		}
	})
}

func TestQueueIsBounded(t *testing.T) {
	s := newSimulation(1, []int{0, 10}, 4, []time.Duration{time.Second, time.Second})
	accepted := 0
	for range 100 {
		if s.submit(1, time.Hour) == Accepted {
			accepted++
		}
	}
	must.Eq(t, 5, accepted)
	must.Eq(t, Full, s.submit(1, time.Hour))
	must.Eq(t, Accepted, s.submit(0, time.Hour))
}

func TestRequestThatCannotFinishIsRefused(t *testing.T) {
	s := newSimulation(1, []int{0}, 8, []time.Duration{100 * time.Millisecond})
	must.Eq(t, Accepted, s.submit(0, time.Hour))
	s.advance(100 * time.Millisecond)
	must.Eq(t, Accepted, s.submit(0, time.Hour))
	must.Eq(t, TooLate, s.submit(0, 50*time.Millisecond))
	must.Eq(t, Accepted, s.submit(0, 150*time.Millisecond))
	must.Eq(t, TooLate, s.submit(0, 150*time.Millisecond))
}

// On an idle server a request is started even when the estimated service time does
// not fit its deadline. Otherwise one long sample could block a rank for good.
func TestIdleServerStartsRequestDespiteLongServiceTime(t *testing.T) {
	s := newSimulation(1, []int{0}, 8, []time.Duration{time.Second})
	must.Eq(t, Accepted, s.submit(0, time.Hour))
	s.advance(time.Second)
	must.Eq(t, Accepted, s.submit(0, time.Millisecond))
	must.Eq(t, 1, s.queue.InUse())
}

func TestNothingRunsBesideARequestThatRunsAlone(t *testing.T) {
	s := newSimulation(3, []int{0}, 8, []time.Duration{100 * time.Millisecond})
	must.Eq(t, Accepted, s.submit(0, time.Hour))
	suspect := &job{arrived: s.now}
	suspect.item = Item[*job]{Value: suspect, Deadline: s.now.Add(time.Hour), Alone: true}
	must.Eq(t, Accepted, s.queue.Enqueue(&suspect.item, s.now))
	must.Eq(t, Accepted, s.submit(0, time.Hour))
	s.assignSlots()
	must.Eq(t, 1, s.queue.InUse())
	s.advance(100 * time.Millisecond)
	must.Eq(t, 1, s.queue.InUse())
	must.Eq(t, 1, s.queue.Waiting(0))
	s.advance(100 * time.Millisecond)
	must.Eq(t, 1, s.queue.InUse())
	must.Eq(t, 0, s.queue.Waiting(0))
}

func TestRequestThatCannotRunAloneIsRefused(t *testing.T) {
	s := newSimulation(1, []int{0}, 8, []time.Duration{time.Hour})
	must.Eq(t, Accepted, s.submit(0, time.Hour))
	s.queue.SetSlots(2, s.now)
	suspect := &Item[*job]{Deadline: s.now.Add(2 * time.Hour), Alone: true}
	must.Eq(t, Accepted, s.queue.Enqueue(suspect, s.now))
	item, _ := s.queue.Next(s.now)
	must.Nil(t, item)
	item, refusal := s.queue.Next(s.now.Add(aloneTimeout))
	must.Eq(t, suspect, item)
	must.Eq(t, AloneTimeout, refusal)
}
