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
	answerTime = 40 * time.Millisecond  // beyond the wait that it may make, a dispatcher answers within this
	doneTime   = 300 * time.Millisecond // bound of reporting an end
)

const (
	methodAsk  rpc.Method = "slots.ask"
	methodDone rpc.Method = "slots.done"
)

type askRequest struct {
	Server model.ServerID `json:"server"`
	Slots  int            `json:"slots"`
	Rank   int            `json:"rank"`
	// InTimeMS is the time left to the goal.
	InTimeMS int64 `json:"in_time_ms"`
}

type askAnswer struct {
	// Ticket is zero when the request should not go now.
	Ticket     uint64 `json:"ticket,omitempty"`
	StayAwayMS int64  `json:"stay_away_ms,omitempty"`
}

type doneRequest struct {
	Server model.ServerID `json:"server"`
	Ticket uint64         `json:"ticket"`
	TookMS int64          `json:"took_ms,omitempty"`
}

type doneAnswer struct{}

// Slots asks dispatchers, and is the dispatcher of some servers.
type Slots struct {
	follow *follow.Follower
	client *rpc.Client
	log    *zap.Logger

	mu    sync.Mutex
	books map[model.ServerID]*book
}

// New returns slots without servers.
func New(f *follow.Follower, server *rpc.Server, client *rpc.Client, log *zap.Logger) *Slots {
	s := &Slots{follow: f, client: client, log: log.Named("slots"), books: map[model.ServerID]*book{}}
	rpc.Handle(server, methodAsk, s.serveAsk)
	rpc.Handle(server, methodDone, s.serveDone)
	return s
}

// Pass lets one request go to a server.
type Pass struct {
	slots      *Slots
	dispatcher follow.Daemon
	server     model.ServerID
	ticket     uint64 // zero when the dispatcher did not answer
}

// Ask asks for a slot. It returns a pass, or how long the request should stay away.
func (s *Slots) Ask(ctx context.Context, server *catalog.Server, rank int, inTime time.Time) (*Pass, time.Duration) {
	d, known := s.dispatcher(server)
	if !known {
		return &Pass{}, 0
	}
	request := &askRequest{
		Server: server.ID, Slots: server.Slots, Rank: rank,
		InTimeMS: time.Until(inTime).Milliseconds(),
	}
	answer, err := s.ask(ctx, d, request)
	if err != nil {
		if ctx.Err() == nil {
			s.follow.Suspect(d.Name)
			s.log.Info("dispatcher does not answer, sending without asking", zap.String("peer", string(d.Name)), zap.String("server", string(server.ID)), zap.Error(err))
		}
		return &Pass{}, 0
	}
	if answer.Ticket == 0 {
		return nil, time.Duration(answer.StayAwayMS) * time.Millisecond
	}
	return &Pass{slots: s, dispatcher: d, server: server.ID, ticket: answer.Ticket}, 0
}

func (s *Slots) ask(ctx context.Context, d follow.Daemon, request *askRequest) (*askAnswer, error) {
	if d.Name == s.follow.Self().Name {
		return s.serveAsk(ctx, request)
	}
	wait := time.Duration(max(request.InTimeMS, 0))*time.Millisecond + answerTime
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return rpc.Call[askAnswer](ctx, s.client, d.Control, methodAsk, request)
}

// Done reports that the request has left the server. took is its time there, or
// zero when it did not run.
func (p *Pass) Done(took time.Duration) {
	if p.ticket == 0 {
		return
	}
	request := &doneRequest{Server: p.server, Ticket: p.ticket, TookMS: took.Milliseconds()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), doneTime)
		defer cancel()
		if p.dispatcher.Name == p.slots.follow.Self().Name {
			_, _ = p.slots.serveDone(ctx, request)
			return
		}
		if _, err := rpc.Call[doneAnswer](ctx, p.slots.client, p.dispatcher.Control, methodDone, request); err != nil {
			p.slots.log.Debug("end not reported", zap.String("peer", string(p.dispatcher.Name)), zap.Error(err))
		}
	}()
}

// dispatcher returns the daemon that is asked for a server: of its zone where there is one.
func (s *Slots) dispatcher(server *catalog.Server) (follow.Daemon, bool) {
	var best follow.Daemon
	score := 0.0
	found, near := false, false
	for _, d := range s.follow.Daemons() {
		if s.follow.Suspected(d.Name) {
			continue
		}
		in := d.Zone == server.Zone
		points := d.Score(string(server.ID))
		if !found || (in && !near) || (in == near && points > score) {
			best, score, found, near = d, points, true, in
		}
	}
	return best, found
}

func (s *Slots) serveAsk(ctx context.Context, r *askRequest) (*askAnswer, error) {
	now := time.Now()
	w := want{
		slots: max(r.Slots, 1), rank: r.Rank,
		inTime: now.Add(time.Duration(r.InTimeMS) * time.Millisecond),
	}
	s.mu.Lock()
	b := s.books[r.Server]
	if b == nil {
		b = newBook()
		s.books[r.Server] = b
	}
	ticket, queued, stayAway := b.ask(w, now)
	s.mu.Unlock()
	if queued == nil {
		return &askAnswer{Ticket: ticket, StayAwayMS: stayAway.Milliseconds()}, nil
	}
	timer := time.NewTimer(time.Until(w.inTime))
	defer timer.Stop()
	select {
	case ticket = <-queued.granted:
		return &askAnswer{Ticket: ticket}, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.leave(queued) {
		return &askAnswer{StayAwayMS: b.service.Milliseconds()}, nil
	}
	return &askAnswer{Ticket: <-queued.granted}, nil
}

func (s *Slots) serveDone(_ context.Context, r *doneRequest) (*doneAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.books[r.Server]; b != nil {
		b.done(r.Ticket, time.Duration(r.TookMS)*time.Millisecond, time.Now())
	}
	return &doneAnswer{}, nil
}

// Tidy forgets the servers that are not known any more.
func (s *Slots) Tidy(known map[model.ServerID]*catalog.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, b := range s.books {
		if known[id] == nil && len(b.waiting) == 0 {
			delete(s.books, id)
		}
	}
}
