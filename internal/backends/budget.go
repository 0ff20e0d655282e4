package backends

import (
	"sync"

	"github.com/chicorylug/chicorylug/internal/model"
)

// budgetShare is the share of the allowed retries that is used.
const budgetShare = 0.7

// RetryBudget limits the retries to each service to a share of the first attempts plus
// a constant for the whole fleet. It is a token bucket per service: each first attempt
// adds a fraction of a token, each retry takes one token. It is safe for concurrent use.
type RetryBudget struct {
	mu        sync.Mutex
	tokens    map[model.PoolName]float64
	ratio     float64 // retries per first attempt
	extra     float64 // further retries of the whole fleet that may be saved up
	fleetSize func() int
}

// NewRetryBudget returns a budget that allows ratio retries per first attempt, plus
// extra retries for the whole fleet. fleetSize returns the current number of daemons.
func NewRetryBudget(ratio, extra float64, fleetSize func() int) *RetryBudget {
	return &RetryBudget{tokens: map[model.PoolName]float64{}, ratio: ratio, extra: extra, fleetSize: fleetSize}
}

// maxTokens returns the size of the bucket: this daemon's part of extra, at least 1.
func (b *RetryBudget) maxTokens() float64 {
	return max(budgetShare*b.extra/float64(max(b.fleetSize(), 1)), 1)
}

// Deposit adds the tokens for the first attempt of a request to a service.
func (b *RetryBudget) Deposit(service model.PoolName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.tokensOf(service)+budgetShare*b.ratio, b.maxTokens())
}

// Take takes a token for a retry and reports whether the retry is allowed.
func (b *RetryBudget) Take(service model.PoolName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.tokensOf(service)
	allowed := tokens >= 1
	if allowed {
		tokens--
	}
	b.tokens[service] = tokens
	return allowed
}

// Allows reports whether a retry would be allowed now. It takes no token.
func (b *RetryBudget) Allows(service model.PoolName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokensOf(service) >= 1
}

// tokensOf returns the tokens of a service; a new service has a full bucket. The caller
// must hold b.mu.
func (b *RetryBudget) tokensOf(service model.PoolName) float64 {
	if tokens, known := b.tokens[service]; known {
		return tokens
	}
	return b.maxTokens()
}
