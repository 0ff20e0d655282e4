// Package observe passes what this daemon's dispatcher sees of backend servers
// to its control side, so that neither depends on the other.
package observe

import (
	"sync"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
)

// Table holds the newest evidence and load of each server.
type Table struct {
	mu       sync.Mutex
	evidence map[model.ServerRef]ownership.Evidence
	loads    map[model.ServerRef]ownership.LoadReport
	listener func(ownership.Evidence)
}

// NewTable returns an empty board.
func NewTable() *Table {
	return &Table{
		evidence: map[model.ServerRef]ownership.Evidence{},
		loads:    map[model.ServerRef]ownership.LoadReport{},
	}
}

// SetListener calls f with each later piece of evidence. f must not block.
func (b *Table) SetListener(f func(ownership.Evidence)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener = f
}

// Report stores evidence and passes it on.
func (b *Table) Report(e ownership.Evidence) {
	b.mu.Lock()
	b.evidence[e.Server] = e
	listener := b.listener
	b.mu.Unlock()
	if listener != nil {
		listener(e)
	}
}

// Evidence returns the newest evidence of each server.
func (b *Table) Evidence() []ownership.Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]ownership.Evidence, 0, len(b.evidence))
	for _, e := range b.evidence {
		list = append(list, e)
	}
	return list
}

// SetLoad stores the load of one server.
func (b *Table) SetLoad(report ownership.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads[report.Server] = report
}

// Loads returns the newest load of each server.
func (b *Table) Loads() []ownership.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]ownership.LoadReport, 0, len(b.loads))
	for _, report := range b.loads {
		list = append(list, report)
	}
	return list
}

// Remove drops what is known of a server that this daemon no longer dispatches to.
func (b *Table) Remove(ref model.ServerRef) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.evidence, ref)
	delete(b.loads, ref)
}
