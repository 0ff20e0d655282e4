// Package metrics holds one daemon's metrics in two sets: expvar variables, which the
// admin address serves, and Prometheus metrics, which the metrics address serves. The
// expvar variables are not published in the process-wide expvar table, so that several
// daemons can run in one process.
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

// Registry holds the metrics of one daemon. It is safe for concurrent use.
type Registry struct {
	mu   sync.Mutex
	vars expvar.Map

	refusals *expvar.Map
	retries  *expvar.Map
	tally    *tally.Tally

	// prometheus holds the metrics that the metrics address serves.
	prometheus *vm.Set
}

// Counter and Histogram are Prometheus metrics. Their names may contain labels.
type (
	Counter   = vm.Counter
	Histogram = vm.PrometheusHistogram
)

// Counter returns the named Prometheus counter, creating it when absent.
func (r *Registry) Counter(name string) *Counter { return r.prometheus.GetOrCreateCounter(name) }

// Histogram returns the named Prometheus histogram, in seconds, creating it when absent.
func (r *Registry) Histogram(name string) *Histogram {
	return r.prometheus.GetOrCreatePrometheusHistogram(name)
}

// Gauge registers a Prometheus gauge whose value f computes at each read. It has no
// effect when the name exists.
func (r *Registry) Gauge(name string, f func() float64) { r.prometheus.GetOrCreateGauge(name, f) }

// WriteText writes all Prometheus metrics in the text exposition format.
func (r *Registry) WriteText(w io.Writer) { r.prometheus.WritePrometheus(w) }

// New returns a registry with empty expvar maps for refusals and retries.
func New() *Registry {
	r := &Registry{tally: tally.New(), prometheus: vm.NewSet()}
	r.vars.Init()
	r.refusals = r.Map("refusals")
	r.retries = r.Map("retries")
	return r
}

// Map returns the named expvar map of counters, creating it when absent.
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

// Int returns the named expvar counter, creating it when absent.
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

// Func registers an expvar variable whose value f computes at each read.
func (r *Registry) Func(name string, f func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vars.Set(name, expvar.Func(f))
}

// Tally returns the request counters by pool, rank and server.
func (r *Registry) Tally() *tally.Tally { return r.tally }

// CountRefusal counts one refusal by its reason.
func (r *Registry) CountRefusal(code reason.Code) {
	r.refusals.Add(string(code), 1)
}

// CountRetry counts one retry by its reason.
func (r *Registry) CountRetry(code reason.Code) {
	r.retries.Add(string(code), 1)
}

// JSON returns all expvar variables as a JSON object, including the process-wide ones
// (memstats, cmdline).
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
