package backends

import (
	"math"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
)

const (
	budgetShare = 0.7 // share of the allowed retries that is used
	// savedTime is the time constant with which first attempts count for what may be saved.
	savedTime = 4 * time.Second
	// savedShare is the share of the retries of this time that may be saved. Windows in
	// which the platform counts retries may begin with a full bucket, when as many first
	// attempts follow as came before: budgetShare*(1+savedShare) must not exceed 1.
	savedShare = 0.4
)

// RetryBudget limits the retries to each service to a share of the first attempts plus
// a constant for the whole fleet. It is a token bucket per service: each first attempt
// adds a fraction of a token, each retry takes one token. The bucket holds this daemon's
// part of the constant, and savedShare of what was added within savedTime at the recent
// rate. It is safe for concurrent use.
type RetryBudget struct {
	mu        sync.Mutex
	buckets   map[model.PoolName]*bucket
	ratio     float64 // retries per first attempt
	extra     float64 // further retries of the whole fleet that may be saved up
	fleetSize func() int
}

// bucket is the budget of one service.
type bucket struct {
	tokens  float64
	recent  float64 // first attempts, decayed with time constant savedTime, as of firstAt
	firstAt time.Time
}

// NewRetryBudget returns a budget that allows ratio retries per first attempt, plus
// extra retries for the whole fleet. fleetSize returns the current number of daemons.
func NewRetryBudget(ratio, extra float64, fleetSize func() int) *RetryBudget {
	return &RetryBudget{buckets: map[model.PoolName]*bucket{}, ratio: ratio, extra: extra, fleetSize: fleetSize}
}

// bucket returns the bucket of a service; a new one is filled with this daemon's part of
// the constant, at least one token. The caller must hold b.mu.
func (b *RetryBudget) bucket(service model.PoolName) *bucket {
	found := b.buckets[service]
	if found == nil {
		found = &bucket{tokens: b.constantPart()}
		b.buckets[service] = found
	}
	return found
}

// constantPart returns this daemon's part of the constant, at least 1.
func (b *RetryBudget) constantPart() float64 {
	return max(budgetShare*b.extra/float64(max(b.fleetSize(), 1)), 1)
}

// Deposit adds the tokens for the first attempt of a request to a service.
func (b *RetryBudget) Deposit(service model.PoolName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(service)
	bucket.recent = bucket.recent*math.Exp(-now.Sub(bucket.firstAt).Seconds()/savedTime.Seconds()) + 1
	bucket.firstAt = now
	added := budgetShare * b.ratio
	bucket.tokens = min(bucket.tokens+added, b.constantPart()+savedShare*added*(bucket.recent-1))
}

// Take takes a token for a retry and reports whether the retry is allowed.
func (b *RetryBudget) Take(service model.PoolName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.bucket(service)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// Allows reports whether a retry would be allowed now. It takes no token.
func (b *RetryBudget) Allows(service model.PoolName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(service).tokens >= 1
}
