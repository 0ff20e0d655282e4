package gateway

import (
	"math"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

// In any sequence of requests, the number that each service gets differs from its
// weighted share by at most the number of services.
func TestSharesHoldOverShortRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := &catalog.Route{Name: "r"}
		total := 0
		for i := range rapid.IntRange(2, 4).Draw(t, "services") {
			weight := rapid.IntRange(1, 100).Draw(t, "weight")
			route.Backends = append(route.Backends, catalog.WeightedService{Service: model.PoolName(rune('a' + i)), Weight: weight})
			total += weight
		}
		selector := newServiceSelector()
		for range rapid.IntRange(0, 50).Draw(t, "before") {
			selector.next(route)
		}
		length := rapid.IntRange(1, 300).Draw(t, "run")
		counts := map[model.PoolName]int{}
		for range length {
			counts[selector.next(route)]++
		}
		for _, b := range route.Backends {
			wanted := float64(length) * float64(b.Weight) / float64(total)
			must.LessEq(t, float64(len(route.Backends)), math.Abs(wanted-float64(counts[b.Service])))
		}
	})
}

func TestAServiceOfWeightZeroGetsNothing(t *testing.T) {
	route := &catalog.Route{Name: "r", Backends: []catalog.WeightedService{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}}
	selector := newServiceSelector()
	for range 100 {
		must.Eq(t, "b", string(selector.next(route)))
	}
}

// Each route that was ever split kept its state for as long as the daemon ran.
func TestNumberOfRotationsIsBounded(t *testing.T) {
	selector := newServiceSelector()
	for i := range 2 * maxRotations {
		selector.next(&catalog.Route{Name: model.RouteName(strconv.Itoa(i)), Backends: []catalog.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}})
	}
	must.MapLen(t, maxRotations, selector.routes)
}
