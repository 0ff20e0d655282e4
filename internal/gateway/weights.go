package gateway

import (
	"math/rand/v2"
	"sync"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// serviceSelector deals the requests of a route among its services, smoothly: each
// short run of requests already has the wanted shares.
type serviceSelector struct {
	mu     sync.Mutex
	routes map[model.RouteName]*rotation
}

type rotation struct {
	backends []catalog.WeightedService
	credits  []float64
}

func newServiceSelector() *serviceSelector {
	return &serviceSelector{routes: map[model.RouteName]*rotation{}}
}

// next returns the service of a route's next request.
func (s *serviceSelector) next(route *catalog.Route) model.PoolName {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[route.Name]
	if r == nil || !sameBackends(r.backends, route.Backends) {
		r = newRotation(route.Backends)
		s.routes[route.Name] = r
	}
	return r.next()
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

// newRotation starts at a random place, so that the daemons of a fleet don't send
// their first requests to the same service.
func newRotation(backends []catalog.WeightedService) *rotation {
	r := &rotation{backends: backends, credits: make([]float64, len(backends))}
	for i, b := range backends {
		r.credits[i] = float64(b.Weight) * rand.Float64()
	}
	return r
}

func (r *rotation) next() model.PoolName {
	total, best := 0.0, -1
	for i, b := range r.backends {
		if b.Weight <= 0 {
			continue
		}
		r.credits[i] += float64(b.Weight)
		total += float64(b.Weight)
		if best < 0 || r.credits[i] > r.credits[best] {
			best = i
		}
	}
	if best < 0 {
		return r.backends[0].Service
	}
	r.credits[best] -= total
	return r.backends[best].Service
}
