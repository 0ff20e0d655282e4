package follow

import (
	"encoding/json"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
)

// Daemon is the record with which a daemon registers itself in the store. The encoded
// names are kept for daemons of other builds.
type Daemon struct {
	Name        model.DaemonID    `json:"name"`
	Incarnation model.Incarnation `json:"life"`
	Zone        model.Zone        `json:"zone"`
	Control     string            `json:"control"` // ip:port at which other daemons call it
	// Cores is the number of processor cores that the daemon may use.
	Cores float64 `json:"cores"`
}

// Score returns the daemon's score for a task; the daemon with the highest score is
// chosen. All daemons compute the same score, and a daemon is chosen for a share of
// the tasks that grows with its cores.
func (d Daemon) Score(task string) float64 {
	return placement.WeightedScore(task, string(d.Name), d.Cores)
}

// Self returns this daemon's record.
func (f *Follower) Self() Daemon {
	return Daemon{Name: f.config.Name, Incarnation: f.incarnation, Zone: f.config.Zone, Control: f.config.ControlAddress, Cores: f.config.Fenced.Cores}
}

// Daemons returns the registered daemons, and this one in any case.
func (f *Follower) Daemons() []Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Daemon, 0, len(f.daemons)+1)
	for _, d := range f.daemons {
		if d.Name != f.config.Name {
			list = append(list, d)
		}
	}
	return append(list, f.Self())
}

// Peers returns the control addresses (ip:port) of the other daemons that are not suspected.
func (f *Follower) Peers() []string {
	var peers []string
	for _, d := range f.Daemons() {
		if d.Name != f.config.Name && !f.Suspected(d.Name) {
			peers = append(peers, d.Control)
		}
	}
	return peers
}

// DaemonByName returns the daemon of that name, or false when it is not registered.
func (f *Follower) DaemonByName(name model.DaemonID) (Daemon, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.daemons[name]
	return d, ok
}

func (f *Follower) applyDaemon(name model.DaemonID, record change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.daemons[name]; known && record.acrossEras {
		return // the daemon registers again if this is not its current record
	}
	if record.Deleted {
		delete(f.daemons, name)
		return
	}
	var d Daemon
	if err := json.Unmarshal(record.Value, &d); err != nil {
		f.log.Error("daemon record could not be decoded", zap.String("daemon", string(name)), zap.Error(err))
		return
	}
	f.daemons[name] = d
	delete(f.suspectedAt, name)
}
