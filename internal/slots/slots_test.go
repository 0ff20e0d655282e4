package slots

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/model"
)

// A request whose caller left just when its ticket was granted kept a slot of the server until
// the ticket expired, four service times later.
func TestTicketOfCancelledRequestIsFreeAtOnce(t *testing.T) {
	const server model.ServerID = "s"
	l := &Limiter{queues: map[model.ServerID]*serverQueue{}}
	request := &acquireRequest{Server: server, Slots: 1, TimeLeftMS: time.Minute.Milliseconds()}
	for range 1 + extraInFlight {
		_, err := l.serveAcquire(t.Context(), request)
		must.NoError(t, err)
	}
	q := l.queues[server]
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := l.serveAcquire(ctx, request)
		ended <- err
	}()
	for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		waiting = len(q.waiting)
		l.mu.Unlock()
	}
	l.mu.Lock()
	cancel()
	q.release(1, 0, time.Now())
	l.mu.Unlock()
	must.ErrorIs(t, <-ended, context.Canceled)
	must.MapLen(t, extraInFlight, q.tickets)
}
