// Package bytebudget bounds the bytes that are held in memory for bodies whose length
// is not known beforehand, such as answers without end. All holders share one budget.
// Each may hold at most as many bytes as are still free, so that a single one may use
// half of the budget, many get a small part each, and there is always room for others.
package bytebudget

import "sync"

// Budget is a number of bytes that holders share. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Holder is one user of a budget. It must be used by one goroutine only.
type Holder struct {
	budget *Budget
	held   int64
}

// NewHolder returns a holder of no bytes. Its Release must be called in the end.
func (b *Budget) NewHolder() *Holder { return &Holder{budget: b} }

// Grow adds bytes to those held. It reports false, and adds none, if the holder would
// then hold more than is left for others.
func (h *Holder) Grow(bytes int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.limit - b.used - bytes
	if h.held+bytes > free {
		return false
	}
	b.used += bytes
	h.held += bytes
	return true
}

// Release returns all bytes that are held.
func (h *Holder) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.used -= h.held
	h.held = 0
}
