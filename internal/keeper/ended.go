package keeper

import (
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/model"
)

// endedDaemons records since when processes of other daemons are known to have ended: nothing
// listens at their addresses. It holds one process of each daemon.
type endedDaemons map[model.DaemonID]endedDaemon

type endedDaemon struct {
	process follow.Daemon
	since   time.Time
}

// called records the outcome of a call to a daemon.
func (e endedDaemons) called(d follow.Daemon, err error, now time.Time) {
	switch {
	case err == nil:
		delete(e, d.Name)
	case errors.Is(err, syscall.ECONNREFUSED) && e[d.Name].process != d:
		e[d.Name] = endedDaemon{process: d, since: now}
	}
}

// noteCall records the outcome of a call to a daemon. It returns the time since when the process
// is known to have ended, if that was the outcome.
func (k *Keeper) noteCall(d follow.Daemon, err error) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended.called(d, err, time.Now())
	return k.ended[d.Name].since
}
