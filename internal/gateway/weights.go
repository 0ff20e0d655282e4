package gateway

import (
	"math/rand/v2"
	"sync"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// maxRotations bounds the routes whose state is kept. Another one takes the place of any.
const maxRotations = 4096

// serviceSelector distributes the requests of each route over its services by smooth
// weighted round robin: even short sequences of requests follow the weights closely.
type serviceSelector struct {
	mu     sync.Mutex
	routes map[model.RouteName]*rotation
}

// rotation is the state of the weighted round robin of one route.
type rotation struct {
	backends []catalog.WeightedService
	credits  []float64 // by service; the highest is chosen next
}

func newServiceSelector() *serviceSelector {
	return &serviceSelector{routes: map[model.RouteName]*rotation{}}
}

// next returns the service for a route's next request.
func (s *serviceSelector) next(route *catalog.Route) model.PoolName {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes[route.Name]
	if r == nil {
		s.makeRoom()
	}
	if r == nil || !sameBackends(r.backends, route.Backends) {
		r = newRotation(route.Backends)
		s.routes[route.Name] = r
	}
	return r.next()
}

// makeRoom forgets a route if maxRotations are known. The caller must hold s.mu.
func (s *serviceSelector) makeRoom() {
	if len(s.routes) < maxRotations {
		return
	}
	for name := range s.routes {
		delete(s.routes, name)
		return
	}
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

// newRotation starts with random credits, so that the daemons of a fleet do not all
// send their first requests to the same service.
func newRotation(backends []catalog.WeightedService) *rotation {
	r := &rotation{backends: backends, credits: make([]float64, len(backends))}
	for i, b := range backends {
		r.credits[i] = float64(b.Weight) * rand.Float64()
	}
	return r
}

// next returns the service with the highest credit. Services of weight 0 get no
// requests, unless all weights are 0.
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
