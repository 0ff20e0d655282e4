package gateway

import (
	"math/rand/v2"
	"sync"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// weights deals the requests of a route among its services, smoothly: each
// short run of requests already has the wanted shares.
type weights struct {
	mu     sync.Mutex
	routes map[model.RouteName]*dealt
}

type dealt struct {
	backends []catalog.WeightedService
	credit   []float64
}

func newWeights() *weights { return &weights{routes: map[model.RouteName]*dealt{}} }

// next returns the service of a route's next request.
func (w *weights) next(route *catalog.Route) model.PoolName {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	d := w.routes[route.Name]
	if d == nil || !sameBackends(d.backends, route.Backends) {
		d = newDealt(route.Backends)
		w.routes[route.Name] = d
	}
	return d.next()
}

func sameBackends(a, b []catalog.WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// newDealt starts at a random place, so that the daemons of a fleet don't send
// their first requests to the same service.
func newDealt(backends []catalog.WeightedService) *dealt {
	d := &dealt{backends: backends, credit: make([]float64, len(backends))}
	for i, b := range backends {
		d.credit[i] = float64(b.Weight) * rand.Float64()
	}
	return d
}

func (d *dealt) next() model.PoolName {
	total, best := 0.0, -1
	for i, b := range d.backends {
		if b.Weight <= 0 {
			continue
		}
		d.credit[i] += float64(b.Weight)
		total += float64(b.Weight)
		if best < 0 || d.credit[i] > d.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return d.backends[0].Service
	}
	d.credit[best] -= total
	return d.backends[best].Service
}
