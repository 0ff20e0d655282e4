package backends

import (
	"sync"

	"github.com/chicorylug/chicorylug/internal/model"
)

// budgetMargin is the share of the fleet's budget that is used.
const budgetMargin = 0.7

// RetryBudget bounds the repeated sends to one service, as a share of the first ones
// plus a constant for the whole fleet.
type RetryBudget struct {
	mu     sync.Mutex
	tokens map[model.PoolName]float64
	ratio  float64 // repeated sends per first one
	extra  float64 // repeated sends of the fleet in a window, beside those
	fleet  func() int
}

// NewBudget returns a budget for a fleet of the given size.
func NewBudget(ratio, extra float64, fleet func() int) *RetryBudget {
	return &RetryBudget{tokens: map[model.PoolName]float64{}, ratio: ratio, extra: extra, fleet: fleet}
}

// most is the number of repeats that can be saved up: this daemon's part of the constant.
func (b *RetryBudget) most() float64 {
	return max(budgetMargin*b.extra/float64(max(b.fleet(), 1)), 1)
}

// First counts a request's first send to a service.
func (b *RetryBudget) First(service model.PoolName) {
	most := b.most()
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, known := b.tokens[service]
	if !known {
		tokens = most
	}
	b.tokens[service] = min(tokens+budgetMargin*b.ratio, most)
}

// Take takes one repeat and reports whether it is allowed.
func (b *RetryBudget) Take(service model.PoolName) bool {
	most := b.most()
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, known := b.tokens[service]
	if !known {
		tokens = most
	}
	allowed := tokens >= 1
	if allowed {
		tokens--
	}
	b.tokens[service] = tokens
	return allowed
}
