package overload

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/model"
)

// Outcome says how a request ended.
type Outcome int

// Values of Outcome.
const (
	// Other: neither of the others; nothing is learned.
	Other Outcome = iota
	// Ran: a server ran the request.
	Ran
	// Full: the servers turned the request away because they were full.
	Full
)

// Request describes a request that is about to be sent.
type Request struct {
	Service model.PoolName
	Rank    int           // 0 is the most urgent
	MaxWait time.Duration // for a permit
}

// Limiter holds the limits of the services. It is safe for concurrent use.
type Limiter struct {
	log *zap.Logger

	mu       sync.Mutex
	services map[model.PoolName]*service
}

// New returns a limiter without limits.
func New(log *zap.Logger) *Limiter {
	return &Limiter{log: log.Named("overload"), services: map[model.PoolName]*service{}}
}

// Permit permits one request to be in progress. It must be released.
type Permit struct {
	limiter *Limiter
	service model.PoolName
}

// Acquire returns a permit for a request, for which it may wait. If it returns nil, the
// request is refused, and retryAfter is the time after which its turn is expected.
func (l *Limiter) Acquire(ctx context.Context, r *Request) (permit *Permit, retryAfter time.Duration) {
	l.mu.Lock()
	s := l.service(r.Service)
	before := s.limit
	admitted, queued := s.acquire(r.Rank, time.Now())
	l.logChange(r.Service, s, before)
	if !admitted && queued == nil {
		defer l.mu.Unlock()
		return nil, s.expectedWait(r.Rank)
	}
	l.mu.Unlock()
	if admitted || l.await(ctx, s, queued, r.MaxWait) {
		return &Permit{limiter: l, service: r.Service}, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return nil, s.expectedWait(r.Rank)
}

// await waits until a queued request is admitted, and reports whether it was.
func (l *Limiter) await(ctx context.Context, s *service, w *waiter, maxWait time.Duration) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case admitted := <-w.decided:
		return admitted
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.remove(w) {
		return false
	}
	return <-w.decided
}

// service returns the state of a service. The caller must hold l.mu.
func (l *Limiter) service(name model.PoolName) *service {
	s := l.services[name]
	if s == nil {
		s = &service{}
		l.services[name] = s
	}
	return s
}

// Release ends a request. took is the time that it ran at a server, if it ran.
func (p *Permit) Release(outcome Outcome, took time.Duration) {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.service(p.service)
	before := s.limit
	s.release(outcome, took, time.Now())
	l.logChange(p.service, s, before)
}

// logChange logs the start and the end of a limit.
func (l *Limiter) logChange(name model.PoolName, s *service, before float64) {
	switch {
	case before == 0 && s.limit > 0:
		l.log.Info("service is full, limiting its requests in progress", zap.String("service", string(name)),
			zap.Float64("limit", s.limit), zap.Float64("turned_away", s.fullShare()))
	case before > 0 && s.limit == 0:
		l.log.Info("service is no longer full, limit ended", zap.String("service", string(name)), zap.Float64("limit", before))
	}
}

// Prune forgets services that have no requests.
func (l *Limiter) Prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.services {
		if s.inProgress == 0 && len(s.waiting) == 0 && now.Sub(s.decayedAt) > calmTime {
			delete(l.services, name)
		}
	}
}
