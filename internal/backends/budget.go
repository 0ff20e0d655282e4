package backends

import (
	"sync"

	"github.com/chicorylug/chicorylug/internal/model"
)

// budgetShare is the share of the fleet's budget that is used.
const budgetShare = 0.7

// RetryBudget bounds the repeated sends to one service, as a share of the first ones
// plus a constant for the whole fleet.
type RetryBudget struct {
	mu        sync.Mutex
	tokens    map[model.PoolName]float64
	ratio     float64 // repeated sends per first one
	extra     float64 // repeated sends of the fleet in a window, beside those
	fleetSize func() int
}

// NewRetryBudget returns a budget for a fleet of the given size.
func NewRetryBudget(ratio, extra float64, fleetSize func() int) *RetryBudget {
	return &RetryBudget{tokens: map[model.PoolName]float64{}, ratio: ratio, extra: extra, fleetSize: fleetSize}
}

// maxTokens is the number of repeats that can be saved up: this daemon's part of the constant.
func (b *RetryBudget) maxTokens() float64 {
	return max(budgetShare*b.extra/float64(max(b.fleetSize(), 1)), 1)
}

// Deposit counts a request's first send to a service.
func (b *RetryBudget) Deposit(service model.PoolName) {
	maxTokens := b.maxTokens()
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, known := b.tokens[service]
	if !known {
		tokens = maxTokens
	}
	b.tokens[service] = min(tokens+budgetShare*b.ratio, maxTokens)
}

// Take takes one repeat and reports whether it is allowed.
func (b *RetryBudget) Take(service model.PoolName) bool {
	maxTokens := b.maxTokens()
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, known := b.tokens[service]
	if !known {
		tokens = maxTokens
	}
	allowed := tokens >= 1
	if allowed {
		tokens--
	}
	b.tokens[service] = tokens
	return allowed
}
