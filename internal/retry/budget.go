package retry

import (
	"sync"

	"github.com/chicorylug/chicorylug/internal/model"
)

// burst is the number of retries that a budget holds at most.
const burst = 10

// Budget allows retries as a share of first attempts. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	percent int
	// hundredths counts allowed retries in hundredths of one.
	hundredths int
}

// NewBudget returns a full budget that regains percent retries for each
// hundred first attempts.
func NewBudget(percent int) *Budget {
	return &Budget{percent: percent, hundredths: 100 * burst}
}

// CountRequest counts a first attempt.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hundredths = min(b.hundredths+b.percent, 100*burst)
}

// Take takes one retry and reports whether it is allowed.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hundredths < 100 {
		return false
	}
	b.hundredths -= 100
	return true
}

// Budgets holds the budget of each pool and rank.
type Budgets struct {
	mu      sync.RWMutex
	budgets map[scope]*Budget
}

type scope struct {
	pool    model.PoolName
	rank    model.Rank
	percent int
}

// NewBudgets returns an empty set.
func NewBudgets() *Budgets {
	return &Budgets{budgets: map[scope]*Budget{}}
}

// Get returns the budget of a pool and rank. Another percentage starts a new budget.
func (b *Budgets) Get(pool model.PoolName, rank model.Rank, percent int) *Budget {
	id := scope{pool: pool, rank: rank, percent: percent}
	b.mu.RLock()
	budget, ok := b.budgets[id]
	b.mu.RUnlock()
	if ok {
		return budget
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget, ok := b.budgets[id]; ok {
		return budget
	}
	budget = NewBudget(percent)
	b.budgets[id] = budget
	return budget
}
