// Package observe passes what this daemon's dispatcher sees of backend servers
// to its control side, so that neither depends on the other.
package observe

import (
	"sync"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
)

// Board holds the newest evidence and load of each server.
type Board struct {
	mu       sync.Mutex
	evidence map[model.ServerRef]ownership.Evidence
	loads    map[model.ServerRef]ownership.LoadReport
	listener func(ownership.Evidence)
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		evidence: map[model.ServerRef]ownership.Evidence{},
		loads:    map[model.ServerRef]ownership.LoadReport{},
	}
}

// Listen calls f with each later piece of evidence. f must not block.
func (b *Board) Listen(f func(ownership.Evidence)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener = f
}

// Report stores evidence and passes it on.
func (b *Board) Report(e ownership.Evidence) {
	b.mu.Lock()
	b.evidence[e.Server] = e
	listener := b.listener
	b.mu.Unlock()
	if listener != nil {
		listener(e)
	}
}

// Evidence returns the newest evidence of each server.
func (b *Board) Evidence() []ownership.Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]ownership.Evidence, 0, len(b.evidence))
	for _, e := range b.evidence {
		list = append(list, e)
	}
	return list
}

// SetLoad stores the load of one server.
func (b *Board) SetLoad(report ownership.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads[report.Server] = report
}

// Loads returns the newest load of each server.
func (b *Board) Loads() []ownership.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]ownership.LoadReport, 0, len(b.loads))
	for _, report := range b.loads {
		list = append(list, report)
	}
	return list
}

// Forget drops what is known of a server that this daemon no longer dispatches to.
func (b *Board) Forget(ref model.ServerRef) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.evidence, ref)
	delete(b.loads, ref)
}
