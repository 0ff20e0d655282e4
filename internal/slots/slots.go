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
	responseTimeout = 40 * time.Millisecond  // beyond the wait that it may make, a dispatcher answers within this
	releaseTimeout  = 300 * time.Millisecond // bound of reporting an end
)

const (
	methodAcquire rpc.Method = "slots.ask"
	methodRelease rpc.Method = "slots.done"
)

type acquireRequest struct {
	Server model.ServerID `json:"server"`
	Slots  int            `json:"slots"`
	Rank   int            `json:"rank"`
	// TimeLeftMS is the time left to the goal.
	TimeLeftMS int64 `json:"in_time_ms"`
}

type acquireResponse struct {
	// Ticket is zero when the request should not go now.
	Ticket       uint64 `json:"ticket,omitempty"`
	RetryAfterMS int64  `json:"stay_away_ms,omitempty"`
}

type releaseRequest struct {
	Server model.ServerID `json:"server"`
	Ticket uint64         `json:"ticket"`
	TookMS int64          `json:"took_ms,omitempty"`
}

type releaseResponse struct{}

// Limiter asks dispatchers, and is the dispatcher of some servers.
type Limiter struct {
	follow *follow.Follow
	client *rpc.Client
	log    *zap.Logger

	mu     sync.Mutex
	queues map[model.ServerID]*serverQueue
}

// New returns slots without servers.
func New(f *follow.Follow, server *rpc.Server, client *rpc.Client, log *zap.Logger) *Limiter {
	l := &Limiter{follow: f, client: client, log: log.Named("slots"), queues: map[model.ServerID]*serverQueue{}}
	rpc.Handle(server, methodAcquire, l.serveAcquire)
	rpc.Handle(server, methodRelease, l.serveRelease)
	return l
}

// Reservation lets one request go to a server.
type Reservation struct {
	limiter    *Limiter
	dispatcher follow.Daemon
	server     model.ServerID
	ticket     uint64 // zero when the dispatcher did not answer
}

// Acquire asks for a slot. It returns a pass, or how long the request should stay away.
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
			l.log.Info("dispatcher does not answer, sending without asking", zap.String("peer", string(d.Name)), zap.String("server", string(server.ID)), zap.Error(err))
		}
		return &Reservation{}, 0
	}
	if response.Ticket == 0 {
		return nil, time.Duration(response.RetryAfterMS) * time.Millisecond
	}
	return &Reservation{limiter: l, dispatcher: d, server: server.ID, ticket: response.Ticket}, 0
}

func (l *Limiter) callAcquire(ctx context.Context, d follow.Daemon, request *acquireRequest) (*acquireResponse, error) {
	if d.Name == l.follow.Self().Name {
		return l.serveAcquire(ctx, request)
	}
	wait := time.Duration(max(request.TimeLeftMS, 0))*time.Millisecond + responseTimeout
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return rpc.Call[acquireResponse](ctx, l.client, d.Control, methodAcquire, request)
}

// Release reports that the request has left the server. took is its time there, or
// zero when it did not run.
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
			r.limiter.log.Debug("end not reported", zap.String("peer", string(r.dispatcher.Name)), zap.Error(err))
		}
	}()
}

// dispatcher returns the daemon that is asked for a server: of its zone where there is one.
func (l *Limiter) dispatcher(server *catalog.Server) (follow.Daemon, bool) {
	var chosen follow.Daemon
	score := 0.0
	found, sameZone := false, false
	for _, d := range l.follow.Daemons() {
		if l.follow.Suspected(d.Name) {
			continue
		}
		inZone := d.Zone == server.Zone
		points := d.Points(string(server.ID))
		if !found || (inZone && !sameZone) || (inZone == sameZone && points > score) {
			chosen, score, found, sameZone = d, points, true, inZone
		}
	}
	return chosen, found
}

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
	timer := time.NewTimer(time.Until(request.respondBy))
	defer timer.Stop()
	select {
	case ticket = <-queued.admitted:
		return &acquireResponse{Ticket: ticket}, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if q.remove(queued) {
		return &acquireResponse{RetryAfterMS: q.serviceTime.Milliseconds()}, nil
	}
	return &acquireResponse{Ticket: <-queued.admitted}, nil
}

func (l *Limiter) serveRelease(_ context.Context, r *releaseRequest) (*releaseResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.queues[r.Server]; q != nil {
		q.release(r.Ticket, time.Duration(r.TookMS)*time.Millisecond, time.Now())
	}
	return &releaseResponse{}, nil
}

// Prune forgets the servers that are not known any more.
func (l *Limiter) Prune(known map[model.ServerID]*catalog.Server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, q := range l.queues {
		if known[id] == nil && len(q.waiting) == 0 {
			delete(l.queues, id)
		}
	}
}
