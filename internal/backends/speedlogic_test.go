package backends

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/bytebudget"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/model"
)

// ownAverages is the baseline: a moving average of each server's service times.
type ownAverages struct {
	states  map[model.ServerID]*averageState
	average time.Duration
}

func newOwnAverages(int) chooser { return &ownAverages{states: map[model.ServerID]*averageState{}} }

type averageState struct {
	state
	serviceTime time.Duration
}

func (a *ownAverages) state(server *catalog.Server) *averageState {
	s := a.states[server.ID]
	if s == nil {
		s = &averageState{}
		a.states[server.ID] = s
	}
	return s
}

func (a *ownAverages) choose(snapshot *catalog.Snapshot, tried []model.ServerID, _ int, now time.Time) *catalog.Server {
	servers := snapshot.ByService[traceService]
	var candidates []averageCandidate
	for _, server := range consider(servers, servers) {
		if slices.Contains(tried, server.ID) {
			continue
		}
		s := a.state(server)
		c := averageCandidate{server: server, ejected: now.Before(s.ejectedUntil), serviceTime: s.serviceTime, failureRate: s.decayedFailureRate(now), expectedLoad: s.expectedLoad(now)}
		if c.serviceTime == 0 {
			c.serviceTime = a.average
		}
		if c.serviceTime == 0 {
			c.serviceTime = initialServiceTime
		}
		candidates = append(candidates, c)
	}
	return chooseByAverage(candidates)
}

func (a *ownAverages) sent(server *catalog.Server, _ time.Time) { a.state(server).requestStarted() }

func (a *ownAverages) ended(server *catalog.Server, run traceRun, now time.Time) {
	s := a.state(server)
	s.requestEnded()
	if run.hasLoad {
		s.setLoad(run.load, now)
	}
	if run.status == traceShed {
		s.eject(now, shedEjection)
		return
	}
	s.recordOutcome(run.status == traceFailed, now)
	if s.load.Waiting > 0 || s.load.Running > server.Slots {
		return
	}
	if a.average == 0 {
		a.average = run.took
	}
	a.average += time.Duration(0.05 * float64(run.took-a.average))
	if s.serviceTime == 0 {
		s.serviceTime = run.took
	}
	s.serviceTime += time.Duration(0.2 * float64(run.took-s.serviceTime))
}

// averageCandidate and chooseByAverage are the choice of the baseline: the least expected
// time of three servers drawn by throughput.
type averageCandidate struct {
	server       *catalog.Server
	ejected      bool
	serviceTime  time.Duration
	failureRate  float64
	expectedLoad float64
}

func (c averageCandidate) cost() float64 {
	over := max(0, c.expectedLoad+1-float64(c.server.Slots)) / float64(c.server.Slots)
	return c.serviceTime.Seconds() * (1 + over) * (1 + failurePenalty*c.failureRate)
}

func chooseByAverage(candidates []averageCandidate) *catalog.Server {
	usable := slices.DeleteFunc(slices.Clone(candidates), func(c averageCandidate) bool { return c.ejected })
	if len(usable) == 0 {
		usable = candidates
	}
	healthy := slices.DeleteFunc(slices.Clone(usable), func(c averageCandidate) bool { return c.failureRate >= failingRate })
	if float64(len(healthy)) >= (1-maxFailingShare)*float64(len(usable)) {
		usable = healthy
	}
	var best *catalog.Server
	least := math.Inf(1)
	for range min(sampleSize, len(usable)) {
		total := 0.0
		for _, c := range usable {
			total += 1 / max(c.serviceTime, time.Millisecond).Seconds()
		}
		point := rand.Float64() * total
		at := 0
		for ; at < len(usable)-1; at++ {
			if point -= 1 / max(usable[at].serviceTime, time.Millisecond).Seconds(); point <= 0 {
				break
			}
		}
		if cost := usable[at].cost(); cost < least {
			best, least = usable[at].server, cost
		}
		usable = slices.Delete(slices.Clone(usable), at, at+1)
	}
	return best
}

// estimates is the logic of Backends.
type estimates struct {
	b *Backends
}

func newEstimates(int) chooser {
	c := &config.Config{Zone: traceZone, Fenced: &config.Fenced{MemoryMB: 100}}
	return &estimates{b: New(c, nil, nil, catalog.New(), func() int { return 1 }, bytebudget.New(1<<20), metrics.New(), zap.NewNop())}
}

func newSharedEstimates(daemon int) chooser {
	e := newEstimates(daemon).(*estimates)
	e.b.speeds.Share()
	return e
}

func traceRoute(kind int) model.RouteName { return model.RouteName(strconv.Itoa(kind)) }

func (e *estimates) choose(snapshot *catalog.Snapshot, tried []model.ServerID, kind int, now time.Time) *catalog.Server {
	return e.b.chooseAt(snapshot, &Criteria{Service: traceService, Route: traceRoute(kind), Tried: tried}, now)
}

func (e *estimates) sent(server *catalog.Server, _ time.Time) {
	e.b.endpoint(server).state.requestStarted()
}

func (e *estimates) ended(server *catalog.Server, run traceRun, now time.Time) {
	end := e.b.endpoint(server)
	end.state.requestEnded()
	r := &Result{Execution: Ran, Sent: true, Took: run.took}
	if run.hasLoad {
		e.b.setLoad(end, run.load, now)
		r.load = &run.load
	}
	if run.status == traceShed {
		r.Execution = NotRun
	} else {
		r.Response = &fasthttp.Response{}
		r.Response.SetStatusCode(fasthttp.StatusOK)
	}
	if run.status == traceFailed {
		r.Response.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	e.b.recordResult(end, &Attempt{Server: server, Route: traceRoute(run.kind), Deadline: now.Add(time.Second)}, r, false, now)
}
