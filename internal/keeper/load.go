package keeper

import (
	"math"
	"time"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/hotkeys"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Constants of the load estimate.
const (
	loadDecay          = hotkeys.LongMemory // time constant of the exponential decay of counts
	uniformShare       = 0.1                // added to the load, as a share of it, and spread evenly over all keys
	minRequests        = 60                 // counted requests below which no keys move to balance the load
	defaultServiceTime = 100 * time.Millisecond
	loadQuantiles      = 64 // keys by which the load is described in the store
)

// load estimates the load of one service by key, and the speed of its servers. Its
// unit is requests, decayed with time constant loadDecay.
type load struct {
	keys      *hotkeys.Estimator
	counted   int // requests counted since the start, without decay
	decayedAt time.Time
	servers   map[model.ServerID]*serverStats
}

// serverStats estimates a server's service time. All fields decay with time constant
// loadDecay.
type serverStats struct {
	responses  float64
	unqueued   float64 // requests that did not wait in the server's queue
	unqueuedMS float64 // total service time of these, in milliseconds
	present    float64 // requests at the server, summed over the responses that report them
	reports    float64 // responses that report present, refusals included
}

func newLoad(now time.Time) *load {
	return &load{keys: hotkeys.New(catalog.LastKey+1, now), decayedAt: now, servers: map[model.ServerID]*serverStats{}}
}

// restore adds the load that an earlier keeper described in the store by points.
func (l *load) restore(points []int, now time.Time) {
	for _, key := range points {
		if key >= 0 && key <= catalog.LastKey {
			l.keys.Seed(key, minRequests/float64(len(points)), now)
		}
	}
	l.keys.Update(now)
}

// points returns the keys at loadQuantiles equal steps of the cumulative load, or nil
// if there is no load.
func (l *load) points() []int {
	if l.keys.Total() <= 0 {
		return nil
	}
	points := make([]int, 0, loadQuantiles)
	step := l.keys.Total() / loadQuantiles
	sum := 0.0
	for key := range catalog.LastKey + 1 {
		sum += l.keys.Load(key)
		for sum >= step*(float64(len(points))+0.5) && len(points) < loadQuantiles {
			points = append(points, key)
		}
	}
	return points
}

// add adds what a daemon counted since its last report. The loads of keys contain it
// after the next update.
func (l *load) add(stats *backends.KeyedStats, now time.Time) {
	for key, count := range stats.Keys {
		if key < 0 || key > catalog.LastKey {
			continue
		}
		l.keys.Add(key, count, now)
		l.counted += count
	}
	for id, s := range stats.Servers {
		known := l.servers[id]
		if known == nil {
			known = &serverStats{}
			l.servers[id] = known
		}
		known.responses += float64(s.Responses)
		known.unqueued += float64(s.Unqueued)
		known.unqueuedMS += s.UnqueuedMS
		known.present += float64(s.LoadSum)
		known.reports += float64(s.Responses + s.Shed)
	}
}

// update computes the loads of keys as of now, and decays the counts of servers by the
// time that passed since the last call.
func (l *load) update(now time.Time) {
	l.keys.Update(now)
	factor := math.Exp(-now.Sub(l.decayedAt).Seconds() / loadDecay.Seconds())
	l.decayedAt = now
	for _, s := range l.servers {
		s.responses *= factor
		s.unqueued *= factor
		s.unqueuedMS *= factor
		s.present *= factor
		s.reports *= factor
	}
}

// rangeLoad returns the load of the keys of the interval [from, to], with the uniform
// part.
func (l *load) rangeLoad(from, to int) float64 {
	sum := l.uniformKeyLoad() * float64(to-from+1)
	for key := from; key <= to; key++ {
		sum += l.keys.Load(key)
	}
	return sum
}

// keyLoad returns the load of one key, with the uniform part.
func (l *load) keyLoad(key int) float64 { return l.keys.Load(key) + l.uniformKeyLoad() }

// uniformKeyLoad returns the load that each key has in addition to its counts.
func (l *load) uniformKeyLoad() float64 {
	return max(uniformShare*l.keys.Total(), 1) / (catalog.LastKey + 1)
}

// capacity estimates how many requests a server can run per second. It serves to
// compare servers.
func (l *load) capacity(server *catalog.Server) float64 {
	return float64(server.Slots) / l.serviceTime(server).Seconds()
}

// serviceTime returns a server's average service time: that of its requests that did
// not wait in a queue or, while the server has more requests than slots, an estimate
// from the rate of its responses. With too few observations it is the average over all
// servers.
func (l *load) serviceTime(server *catalog.Server) time.Duration {
	s := l.servers[server.ID]
	if s == nil || s.reports < 3 {
		return l.averageServiceTime()
	}
	if meanPresent := s.present / s.reports; meanPresent > float64(server.Slots)+1 && s.responses > 3 {
		perSecond := s.responses / loadDecay.Seconds()
		return time.Duration(float64(server.Slots) / perSecond * float64(time.Second))
	}
	if s.unqueued < 2 {
		return l.averageServiceTime()
	}
	return time.Duration(s.unqueuedMS / s.unqueued * float64(time.Millisecond))
}

// averageServiceTime returns the average service time over all servers, or
// defaultServiceTime with too few observations.
func (l *load) averageServiceTime() time.Duration {
	unqueued, ms := 0.0, 0.0
	for _, s := range l.servers {
		unqueued += s.unqueued
		ms += s.unqueuedMS
	}
	if unqueued < 5 {
		return defaultServiceTime
	}
	return time.Duration(ms / unqueued * float64(time.Millisecond))
}
