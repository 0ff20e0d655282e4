package gateway

import (
	"fmt"

	"github.com/chicorylug/chicorylug/internal/metrics"
	"github.com/chicorylug/chicorylug/internal/reason"
)

// meters holds the gateway's counters and histograms.
type meters struct {
	registry  *metrics.Registry
	answered  *metrics.Histogram // duration of requests that a server answered, in seconds
	refused   *metrics.Histogram // duration of refused requests, in seconds
	retries   *metrics.Counter   // sends of a request after its first one
	roomWaits *metrics.Counter   // requests that waited for a server with room
}

func newMeters(r *metrics.Registry) meters {
	return meters{
		registry:  r,
		answered:  r.Histogram(`request_seconds{outcome="answered"}`),
		refused:   r.Histogram(`request_seconds{outcome="refused"}`),
		retries:   r.Counter(`repeated_sends_total`),
		roomWaits: r.Counter(`room_waits_total`),
	}
}

// countRefusal counts a refusal by its code and outcome.
func (m *meters) countRefusal(code reason.Code, outcome reason.Outcome) {
	m.registry.Counter(fmt.Sprintf(`refusals_total{reason=%q,outcome=%q}`, code, outcome)).Inc()
}
