// Package metrics keeps one daemon's counters as expvar maps. The maps are not
// published in the process-wide expvar table, so that several daemons can run
// in one process.
package metrics

import (
	"expvar"
	"fmt"
	"io"
	"strings"
	"sync"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/tally"
)

// Registry holds the counters and gauges of one daemon.
type Registry struct {
	mu   sync.Mutex
	vars expvar.Map

	refusals *expvar.Map
	retries  *expvar.Map
	tally    *tally.Tally

	// published holds the counters and histograms of the metrics address.
	published *vm.Set
}

// Counter and Histogram are metrics of the metrics address. Names may carry labels.
type (
	Counter   = vm.Counter
	Histogram = vm.PrometheusHistogram
)

// Counter returns the named counter of the metrics address.
func (r *Registry) Counter(name string) *Counter { return r.published.GetOrCreateCounter(name) }

// Histogram returns the named histogram, in seconds, of the metrics address.
func (r *Registry) Histogram(name string) *Histogram {
	return r.published.GetOrCreatePrometheusHistogram(name)
}

// Gauge publishes a value on the metrics address that is computed when it is read.
func (r *Registry) Gauge(name string, f func() float64) { r.published.GetOrCreateGauge(name, f) }

// WriteText writes the counters and histograms in the Prometheus text format.
func (r *Registry) WriteText(w io.Writer) { r.published.WritePrometheus(w) }

// New returns an empty registry with the refusal and retry maps in place.
func New() *Registry {
	r := &Registry{tally: tally.New(), published: vm.NewSet()}
	r.vars.Init()
	r.refusals = r.Map("refusals")
	r.retries = r.Map("retries")
	return r
}

// Map returns the named map of counters, creating it when absent.
func (r *Registry) Map(name string) *expvar.Map {
	r.mu.Lock()
	defer r.mu.Unlock()
	if found, ok := r.vars.Get(name).(*expvar.Map); ok {
		return found
	}
	created := new(expvar.Map).Init()
	r.vars.Set(name, created)
	return created
}

// Int returns the named counter, creating it when absent.
func (r *Registry) Int(name string) *expvar.Int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if found, ok := r.vars.Get(name).(*expvar.Int); ok {
		return found
	}
	created := new(expvar.Int)
	r.vars.Set(name, created)
	return created
}

// Func publishes a value that is computed when it is read.
func (r *Registry) Func(name string, f func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vars.Set(name, expvar.Func(f))
}

// Tally returns the counters by pool, rank and server.
func (r *Registry) Tally() *tally.Tally { return r.tally }

// CountRefusal counts one refusal by its reason.
func (r *Registry) CountRefusal(code reason.Code) {
	r.refusals.Add(string(code), 1)
}

// CountRetry counts one retry by its reason.
func (r *Registry) CountRetry(code reason.Code) {
	r.retries.Add(string(code), 1)
}

// JSON renders all values, the process-wide ones (memstats, cmdline) included.
func (r *Registry) JSON() []byte {
	var b strings.Builder
	b.WriteString("{")
	first := true
	write := func(kv expvar.KeyValue) {
		if !first {
			b.WriteString(",\n")
		}
		first = false
		fmt.Fprintf(&b, "%q: %s", kv.Key, kv.Value)
	}
	r.vars.Do(write)
	expvar.Do(write)
	b.WriteString("}\n")
	return []byte(b.String())
}
