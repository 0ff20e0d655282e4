package keeper

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/retry"
)

// Pauses between writes of an owners record after one that failed, before jitter: they grow,
// so that keepers do not add to the load of a store that is slow or has just returned.
const (
	firstWritePause   = 600 * time.Millisecond
	longestWritePause = 1200 * time.Millisecond
)

// writeRetries returns the pauses between failed writes of an owners record.
func writeRetries() retry.Backoff {
	return retry.Backoff{First: firstWritePause, Limit: longestWritePause}
}

// takeoverRetries delays further tries to become the keeper of a service after one that failed.
type takeoverRetries map[model.PoolName]*takeoverRetry

type takeoverRetry struct {
	pauses retry.Backoff
	until  time.Time
}

// failed records a try that failed.
func (t takeoverRetries) failed(service model.PoolName, now time.Time) {
	if t[service] == nil {
		t[service] = &takeoverRetry{pauses: writeRetries()}
	}
	t[service].until = now.Add(t[service].pauses.Next())
}

// succeeded records a try that succeeded.
func (t takeoverRetries) succeeded(service model.PoolName) { delete(t, service) }

// due reports whether a try may be made now.
func (t takeoverRetries) due(service model.PoolName, now time.Time) bool {
	return t[service] == nil || !now.Before(t[service].until)
}
