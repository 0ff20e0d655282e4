package retry

import (
	"sync"

	"github.com/chicorylug/chicorylug/internal/model"
)

// burst is the largest number of retries that a budget can hold.
const burst = 10

// Budget limits retries to a percentage of first attempts, plus a burst. It is safe
// for concurrent use.
type Budget struct {
	mu      sync.Mutex
	percent int // retries that each hundred first attempts add
	// hundredths is the number of retries left, in hundredths of a retry.
	hundredths int
}

// NewBudget returns a full budget, to which each hundred first attempts add percent
// retries.
func NewBudget(percent int) *Budget {
	return &Budget{percent: percent, hundredths: 100 * burst}
}

// CountRequest counts the first attempt of a request and adds its share to the
// budget.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hundredths = min(b.hundredths+b.percent, 100*burst)
}

// Take takes one retry from the budget. It reports false, and takes nothing, when no
// retry is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hundredths < 100 {
		return false
	}
	b.hundredths -= 100
	return true
}

// Budgets holds one budget for each pool and rank. It is safe for concurrent use.
type Budgets struct {
	mu      sync.RWMutex
	budgets map[scope]*Budget
}

// scope identifies a budget.
type scope struct {
	pool    model.PoolName
	rank    model.Rank
	percent int
}

// NewBudgets returns an empty set of budgets.
func NewBudgets() *Budgets {
	return &Budgets{budgets: map[scope]*Budget{}}
}

// Get returns the budget of a pool and rank, and makes it at the first call. Each
// percentage has a budget of its own, so that a changed percentage starts a new, full
// one.
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
