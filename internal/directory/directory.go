// Package directory publishes the immutable snapshot that the request path
// reads: the settings in force, the assignments of the pools and the known
// daemons. Only the control goroutine publishes.
package directory

import (
	"maps"
	"sync/atomic"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// Daemon is a known daemon with its addresses, each host:port.
type Daemon struct {
	ID          model.DaemonID    `json:"id"`
	Incarnation model.Incarnation `json:"incarnation"`
	Zone        model.Zone        `json:"zone"`
	Control     string            `json:"control"`
	Dispatch    string            `json:"dispatch"`
	Admin       string            `json:"admin"`
	Leaving     bool              `json:"leaving,omitempty"`
}

// Snapshot is the state that the request path reads. It is immutable once
// published.
type Snapshot struct {
	// Settings is nil until settings are in force.
	Settings *settings.Compiled
	Pools    map[model.PoolName]*ownership.Assignment
	Daemons  map[model.DaemonID]Daemon
}

// Directory holds the current snapshot.
type Directory struct {
	current atomic.Pointer[Snapshot]
}

// New returns a directory with an empty snapshot.
func New() *Directory {
	d := &Directory{}
	d.current.Store(&Snapshot{})
	return d
}

// Load returns the current snapshot.
func (d *Directory) Load() *Snapshot { return d.current.Load() }

// PublishSettings replaces the settings in force. It runs on the control
// goroutine.
func (d *Directory) PublishSettings(c *settings.Compiled) {
	next := *d.Load()
	next.Settings = c
	d.current.Store(&next)
}

// PublishAssignment replaces one pool's assignment. It runs on the control goroutine.
func (d *Directory) PublishAssignment(a *ownership.Assignment) {
	next := *d.Load()
	next.Pools = maps.Clone(next.Pools)
	if next.Pools == nil {
		next.Pools = map[model.PoolName]*ownership.Assignment{}
	}
	next.Pools[a.Pool] = a
	d.current.Store(&next)
}

// PublishDaemons replaces the known daemons. It runs on the control goroutine.
func (d *Directory) PublishDaemons(daemons map[model.DaemonID]Daemon) {
	next := *d.Load()
	next.Daemons = daemons
	d.current.Store(&next)
}
