package keeper

import (
	"math"
	"time"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// How load is averaged.
const (
	loadFades     = 8 * time.Second // time in which a count loses most of its worth
	uniformShare  = 0.1             // part of the load that is taken to be the same for all keys
	leastRequests = 60              // requests that must have been counted before keys move for balance
	usualService  = 100 * time.Millisecond
	quantiles     = 64 // points at which the load by key is kept in the store
)

// load is what the keeper knows of the requests to one service.
type load struct {
	keys    [catalog.LastKey + 1]float64 // requests, faded
	total   float64
	counted int // requests ever counted
	fadedAt time.Time
	servers map[model.ServerID]*speed
}

// speed is what is known of a server's service time.
type speed struct {
	answers    float64 // faded
	unqueued   float64
	unqueuedMS float64
	present    float64 // requests at the server, summed over reports
	reports    float64
}

func newLoad(now time.Time) *load {
	return &load{fadedAt: now, servers: map[model.ServerID]*speed{}}
}

// restore takes the load that an earlier keeper left in the store.
func (l *load) restore(points []int) {
	if len(points) == 0 {
		return
	}
	for _, key := range points {
		if key >= 0 && key <= catalog.LastKey {
			l.keys[key] += leastRequests / float64(len(points))
			l.total += leastRequests / float64(len(points))
		}
	}
}

// points returns keys at equal steps of the load.
func (l *load) points() []int {
	if l.total <= 0 {
		return nil
	}
	points := make([]int, 0, quantiles)
	step := l.total / quantiles
	passed := 0.0
	for key, count := range l.keys {
		passed += count
		for passed >= step*(float64(len(points))+0.5) && len(points) < quantiles {
			points = append(points, key)
		}
	}
	return points
}

func (l *load) add(stats *backends.KeyedStats) {
	for key, count := range stats.Keys {
		if key < 0 || key > catalog.LastKey {
			continue
		}
		l.keys[key] += float64(count)
		l.total += float64(count)
		l.counted += count
	}
	for id, s := range stats.Servers {
		known := l.servers[id]
		if known == nil {
			known = &speed{}
			l.servers[id] = known
		}
		known.answers += float64(s.Responses)
		known.unqueued += float64(s.Unqueued)
		known.unqueuedMS += s.UnqueuedMS
		known.present += float64(s.LoadSum)
		known.reports += float64(s.Responses + s.Shed)
	}
}

// fade lets older counts lose their worth.
func (l *load) fade(now time.Time) {
	factor := math.Exp(-now.Sub(l.fadedAt).Seconds() / loadFades.Seconds())
	l.fadedAt = now
	l.total = 0
	for key := range l.keys {
		l.keys[key] *= factor
		l.total += l.keys[key]
	}
	for _, s := range l.servers {
		s.answers *= factor
		s.unqueued *= factor
		s.unqueuedMS *= factor
		s.present *= factor
		s.reports *= factor
	}
}

// of returns the load of a run of keys, the uniform part included.
func (l *load) of(from, to int) float64 {
	sum := l.uniform() * float64(to-from+1)
	for key := from; key <= to; key++ {
		sum += l.keys[key]
	}
	return sum
}

// key returns the load of one key.
func (l *load) key(key int) float64 { return l.keys[key] + l.uniform() }

func (l *load) uniform() float64 {
	return max(uniformShare*l.total, 1) / (catalog.LastKey + 1)
}

// capacity returns the requests that a server can run in a second, relative to others.
func (l *load) capacity(server *catalog.Server) float64 {
	return float64(server.Slots) / l.service(server).Seconds()
}

// service returns a server's average service time: of its runs that did not
// wait or, while it is never idle, by what it gets done.
func (l *load) service(server *catalog.Server) time.Duration {
	s := l.servers[server.ID]
	if s == nil || s.reports < 3 {
		return l.average()
	}
	if busy := s.present / s.reports; busy > float64(server.Slots)+1 && s.answers > 3 {
		perSecond := s.answers / loadFades.Seconds()
		return time.Duration(float64(server.Slots) / perSecond * float64(time.Second))
	}
	if s.unqueued < 2 {
		return l.average()
	}
	return time.Duration(s.unqueuedMS / s.unqueued * float64(time.Millisecond))
}

// average is the service time over all servers.
func (l *load) average() time.Duration {
	runs, ms := 0.0, 0.0
	for _, s := range l.servers {
		runs += s.unqueued
		ms += s.unqueuedMS
	}
	if runs < 5 {
		return usualService
	}
	return time.Duration(ms / runs * float64(time.Millisecond))
}
