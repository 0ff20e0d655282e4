package dispatcher

import (
	"time"

	"github.com/chicorylug/chicorylug/internal/wire"
)

// attemptDeadline bounds one attempt: by the request's own deadline and the
// pool's limit, and in a keyed pool by the end of the permit, so that nothing
// runs at a server after its shard may have moved away.
func (d *Dispatcher) attemptDeadline(work *wire.Work, now time.Time) time.Time {
	deadline := work.Deadline
	if compiled := d.directory.Load().Settings; compiled != nil {
		if pool := compiled.Pools[work.Server.Pool]; pool != nil {
			deadline = earlier(deadline, now.Add(pool.AttemptTimeout()))
		}
	}
	if permit := d.gate.Permit(work.Server); permit != nil && permit.Keyed {
		deadline = earlier(deadline, permit.Until)
	}
	return deadline
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
