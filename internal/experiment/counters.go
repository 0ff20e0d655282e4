package experiment

import (
	"expvar"
	"fmt"
	"sort"
	"strings"

	"github.com/chicorylug/chicorylug/internal/fleet"
	"github.com/chicorylug/chicorylug/internal/metrics"
)

// counterSums formats a map of counters, such as "refusals", summed over all daemons.
func counterSums(f *fleet.Fleet, name string) string {
	sums := map[string]int64{}
	for _, node := range f.Nodes {
		_ = node.Daemon.Invoke(func(m *metrics.Registry) {
			m.Map(name).Do(func(kv expvar.KeyValue) {
				if count, ok := kv.Value.(*expvar.Int); ok {
					sums[kv.Key] += count.Value()
				}
			})
		})
	}
	var parts []string
	for key, sum := range sums {
		parts = append(parts, fmt.Sprintf("%s %d", key, sum))
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
