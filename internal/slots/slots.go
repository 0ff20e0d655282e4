package slots

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/rpc"
)

const (
	responseTimeout = 40 * time.Millisecond  // time for a dispatcher to respond, in addition to the time that the request may wait there
	releaseTimeout  = 300 * time.Millisecond // time limit for releasing a ticket
)

// RPC methods. Their names, and those of the encoded fields below, are kept for daemons
// of other builds.
const (
	methodAcquire rpc.Method = "slots.ask"
	methodRelease rpc.Method = "slots.done"
)

// acquireRequest asks a dispatcher for a ticket.
type acquireRequest struct {
	Server model.ServerID `json:"server"`
	Slots  int            `json:"slots"`
	Rank   int            `json:"rank"`
	// TimeLeftMS is the time in milliseconds until the response is due.
	TimeLeftMS int64 `json:"in_time_ms"`
}

// acquireResponse holds a ticket, or the time after which to try again.
type acquireResponse struct {
	// Ticket identifies the admitted request; zero if it was refused.
	Ticket uint64 `json:"ticket,omitempty"`
	// RetryAfterMS is the time in milliseconds after which a refused request may try again.
	RetryAfterMS int64 `json:"stay_away_ms,omitempty"`
}

// releaseRequest returns a ticket to its dispatcher.
type releaseRequest struct {
	Server model.ServerID `json:"server"`
	Ticket uint64         `json:"ticket"`
	// TookMS is the time in milliseconds that the request ran; zero if it did not run.
	TookMS int64 `json:"took_ms,omitempty"`
}

type releaseResponse struct{}

// Limiter acquires tickets from dispatchers, and is itself the dispatcher of some
// servers. It is safe for concurrent use.
type Limiter struct {
	follow *follow.Follower
	client *rpc.Client
	log    *zap.Logger

	mu     sync.Mutex
	queues map[model.ServerID]*serverQueue
}

// New returns a limiter and registers its RPC methods at server.
func New(f *follow.Follower, server *rpc.Server, client *rpc.Client, log *zap.Logger) *Limiter {
	l := &Limiter{follow: f, client: client, log: log.Named("slots"), queues: map[model.ServerID]*serverQueue{}}
	rpc.Handle(server, methodAcquire, l.serveAcquire)
	rpc.Handle(server, methodRelease, l.serveRelease)
	return l
}

// Reservation permits one request to be sent to a server. The zero value permits it
// without a ticket.
type Reservation struct {
	limiter    *Limiter
	dispatcher follow.Daemon
	server     model.ServerID
	ticket     uint64 // zero if the dispatcher did not respond
}

// Acquire asks the server's dispatcher for a ticket and waits until it is granted or
// refused. respondBy is the time by which the response is due. If the ticket is
// refused, Acquire returns nil and the time after which a retry makes sense. If there
// is no dispatcher or it does not respond, the reservation is valid without a ticket.
func (l *Limiter) Acquire(ctx context.Context, server *catalog.Server, rank int, respondBy time.Time) (*Reservation, time.Duration) {
	d, found := l.dispatcher(server)
	if !found {
		return &Reservation{}, 0
	}
	request := &acquireRequest{
		Server: server.ID, Slots: server.Slots, Rank: rank,
		TimeLeftMS: time.Until(respondBy).Milliseconds(),
	}
	response, err := l.callAcquire(ctx, d, request)
	if err != nil {
		if ctx.Err() == nil {
			l.follow.Suspect(d.Name)
			l.log.Info("dispatcher did not respond, sending without a ticket", zap.String("peer", string(d.Name)), zap.String("server", string(server.ID)), zap.Error(err))
		}
		return &Reservation{}, 0
	}
	if response.Ticket == 0 {
		return nil, time.Duration(response.RetryAfterMS) * time.Millisecond
	}
	return &Reservation{limiter: l, dispatcher: d, server: server.ID, ticket: response.Ticket}, 0
}

// callAcquire calls the dispatcher d, or serves the call if d is this daemon.
func (l *Limiter) callAcquire(ctx context.Context, d follow.Daemon, request *acquireRequest) (*acquireResponse, error) {
	if d.Name == l.follow.Self().Name {
		return l.serveAcquire(ctx, request)
	}
	wait := time.Duration(max(request.TimeLeftMS, 0))*time.Millisecond + responseTimeout
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return rpc.Call[acquireResponse](ctx, l.client, d.Control, methodAcquire, request)
}

// Release returns the ticket to the dispatcher, in the background. took is the time that
// the request ran at the server, or zero if it did not run.
func (r *Reservation) Release(took time.Duration) {
	if r.ticket == 0 {
		return
	}
	request := &releaseRequest{Server: r.server, Ticket: r.ticket, TookMS: took.Milliseconds()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if r.dispatcher.Name == r.limiter.follow.Self().Name {
			_, _ = r.limiter.serveRelease(ctx, request)
			return
		}
		if _, err := rpc.Call[releaseResponse](ctx, r.limiter.client, r.dispatcher.Control, methodRelease, request); err != nil {
			r.limiter.log.Debug("could not release ticket", zap.String("peer", string(r.dispatcher.Name)), zap.Error(err))
		}
	}()
}

// dispatcher returns the server's dispatcher, or false if no daemon is available. It is
// the daemon with the highest score for the server, in the server's zone if there is one
// that is not suspected of being down.
func (l *Limiter) dispatcher(server *catalog.Server) (follow.Daemon, bool) {
	var chosen follow.Daemon
	bestScore := 0.0
	found, sameZone := false, false
	for _, d := range l.follow.Daemons() {
		if l.follow.Suspected(d.Name) {
			continue
		}
		inZone := d.Zone == server.Zone
		score := d.Score(string(server.ID))
		if !found || (inZone && !sameZone) || (inZone == sameZone && score > bestScore) {
			chosen, bestScore, found, sameZone = d, score, true, inZone
		}
	}
	return chosen, found
}

// serveAcquire serves methodAcquire. It returns when the request is admitted or refused,
// at the latest when its response is due.
func (l *Limiter) serveAcquire(ctx context.Context, r *acquireRequest) (*acquireResponse, error) {
	now := time.Now()
	request := slotRequest{
		slots: max(r.Slots, 1), rank: r.Rank,
		respondBy: now.Add(time.Duration(r.TimeLeftMS) * time.Millisecond),
	}
	l.mu.Lock()
	q := l.queues[r.Server]
	if q == nil {
		q = newServerQueue()
		l.queues[r.Server] = q
	}
	ticket, queued, retryAfter := q.acquire(request, now)
	l.mu.Unlock()
	if queued == nil {
		return &acquireResponse{Ticket: ticket, RetryAfterMS: retryAfter.Milliseconds()}, nil
	}
	return l.awaitTicket(ctx, q, queued)
}

// awaitTicket waits until the request is admitted, its response is due or its caller has
// left. A ticket that is granted when the caller has left is released.
func (l *Limiter) awaitTicket(ctx context.Context, q *serverQueue, queued *waiter) (*acquireResponse, error) {
	timer := time.NewTimer(time.Until(queued.respondBy))
	defer timer.Stop()
	var ticket uint64
	select {
	case ticket = <-queued.admitted:
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ticket == 0 && q.remove(queued) {
		return &acquireResponse{RetryAfterMS: q.serviceTime.Milliseconds()}, nil
	}
	if ticket == 0 {
		ticket = <-queued.admitted
	}
	if ctx.Err() != nil {
		q.release(ticket, 0, time.Now())
		return nil, ctx.Err()
	}
	return &acquireResponse{Ticket: ticket}, nil
}

// serveRelease serves methodRelease.
func (l *Limiter) serveRelease(_ context.Context, r *releaseRequest) (*releaseResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.queues[r.Server]; q != nil {
		q.release(r.Ticket, time.Duration(r.TookMS)*time.Millisecond, time.Now())
	}
	return &releaseResponse{}, nil
}

// Prune removes the queues of servers that are not in known, unless requests wait in them.
func (l *Limiter) Prune(known map[model.ServerID]*catalog.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, q := range l.queues {
		if known[id] == nil && len(q.waiting) == 0 {
			delete(l.queues, id)
		}
	}
}
