// Package observe passes the dispatcher's observations of backend servers to the control
// services of the same daemon, so that neither depends on the other.
package observe

import (
	"sync"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
)

// Table holds the newest health evidence and load report of each server, as this daemon's
// dispatcher observed them. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	evidence map[model.ServerRef]ownership.Evidence
	loads    map[model.ServerRef]ownership.LoadReport
	listener func(ownership.Evidence)
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		evidence: map[model.ServerRef]ownership.Evidence{},
		loads:    map[model.ServerRef]ownership.LoadReport{},
	}
}

// SetListener makes f the only listener. f is called with each evidence that is reported
// from then on, on the reporting goroutine, and must not block.
func (t *Table) SetListener(f func(ownership.Evidence)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = f
}

// Report stores evidence as its server's newest and passes it to the listener.
func (t *Table) Report(e ownership.Evidence) {
	t.mu.Lock()
	t.evidence[e.Server] = e
	listener := t.listener
	t.mu.Unlock()
	if listener != nil {
		listener(e)
	}
}

// Evidence returns the newest evidence of each server.
func (t *Table) Evidence() []ownership.Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]ownership.Evidence, 0, len(t.evidence))
	for _, e := range t.evidence {
		list = append(list, e)
	}
	return list
}

// SetLoad stores a load report as its server's newest.
func (t *Table) SetLoad(report ownership.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads[report.Server] = report
}

// Loads returns the newest load report of each server.
func (t *Table) Loads() []ownership.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]ownership.LoadReport, 0, len(t.loads))
	for _, report := range t.loads {
		list = append(list, report)
	}
	return list
}

// Remove removes the evidence and load of a server that this daemon no longer
// dispatches to.
func (t *Table) Remove(ref model.ServerRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.evidence, ref)
	delete(t.loads, ref)
}
