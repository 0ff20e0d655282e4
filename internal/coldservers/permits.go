package coldservers

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/backends"
	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/coldstart"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/rpc"
	"github.com/chicorylug/chicorylug/internal/sendgate"
)

// methodPermit asks a daemon for a permit to send one request to a cold server.
const methodPermit rpc.Method = "cold.permit"

// permitTimeout bounds the wait for a permit. It leaves most of coldstart.PermitLife for the
// connection to the server.
const permitTimeout = 80 * time.Millisecond

// errNotCold says that the server is not in this daemon's catalog, or its service has no bound.
var errNotCold = errors.New("coldservers: the process is not known here, or its service has no bound")

// permitRequest asks for a permit.
type permitRequest struct {
	Server    model.ServerID `json:"server"`
	Address   string         `json:"address"`
	StartedMS int64          `json:"started_ms"`
	// ColdForMS is the time in milliseconds for which the asking daemon knows the server to be
	// cold yet, at the latest arrival of the question. Zero if it is in doubt.
	ColdForMS int64 `json:"cold_for_ms"`
	Rank      int   `json:"rank,omitempty"` // 0 is the most urgent
}

// permitResponse holds a permit, or the time after which to try again.
type permitResponse struct {
	Permitted    bool  `json:"permitted,omitempty"`
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Permits gets permits from the holders of cold servers, and gives them. It is safe for
// concurrent use.
type Permits struct {
	catalog  *catalog.Catalog
	follow   *follow.Follower
	backends *backends.Backends
	client   *rpc.Client
	log      *zap.Logger
}

// NewPermits returns permits and registers their RPC method at server.
func NewPermits(cat *catalog.Catalog, f *follow.Follower, b *backends.Backends, server *rpc.Server, client *rpc.Client, log *zap.Logger) *Permits {
	p := &Permits{catalog: cat, follow: f, backends: b, client: client, log: log.Named(string(ServiceName))}
	rpc.Handle(server, methodPermit, p.serve)
	return p
}

// Acquire returns the time until which a request of a rank may be sent to the only server that
// can run it. It is zero if the server is warm or this daemon may send to it. An error says
// that the server is cold and must not get the request now.
func (p *Permits) Acquire(ctx context.Context, server *catalog.Server, rank int, request model.RequestID) (time.Time, *backends.HeldError) {
	started := time.Now()
	v := p.backends.ColdVerdict(server, 0, started)
	if v.MaySend {
		return time.Time{}, nil
	}
	holder, found := p.holder(server)
	if !found {
		return time.Time{}, p.backends.RefuseCold(server, request, v)
	}
	response, err := p.ask(ctx, holder, &permitRequest{
		Server:    server.ID,
		Address:   server.Address,
		StartedMS: server.StartedMS,
		ColdForMS: p.statedColdFor(server, started).Milliseconds(),
		Rank:      rank,
	})
	if err != nil {
		p.log.Info("no permit for a cold server", zap.String("request", string(request)), zap.String("server", string(server.ID)),
			zap.String("peer", string(holder.Name)), zap.Error(err))
		return time.Time{}, p.backends.RefuseCold(server, request, v)
	}
	if !response.Permitted {
		v.Until = time.Now().Add(time.Duration(response.RetryAfterMS) * time.Millisecond)
		return time.Time{}, p.backends.RefuseCold(server, request, v)
	}
	return started.Add(coldstart.PermitLife), nil
}

// statedColdFor returns the time for which a question for a permit calls the server cold. It
// leaves out the time of the question: holders that ask each other must not pass on a belief
// that ends later each time.
func (p *Permits) statedColdFor(server *catalog.Server, now time.Time) time.Duration {
	return max(p.backends.ColdFor(server, now)-permitTimeout, 0)
}

// holder returns another daemon that may send to the server while it is cold, one of those
// that answer at random, or false if there is none.
func (p *Permits) holder(server *catalog.Server) (follow.Daemon, bool) {
	var holders []follow.Daemon
	for _, name := range p.backends.Cold().Holders(server, p.backends.ColdRate(server.Service)) {
		d, known := p.follow.DaemonByName(name)
		if known && name != p.follow.Self().Name && !p.follow.Suspected(name) {
			holders = append(holders, d)
		}
	}
	if len(holders) == 0 {
		return follow.Daemon{}, false
	}
	return holders[rand.IntN(len(holders))], true
}

// ask asks a holder for a permit.
func (p *Permits) ask(ctx context.Context, holder follow.Daemon, request *permitRequest) (*permitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return rpc.Call[permitResponse](ctx, p.client, holder.Control, methodPermit, request)
}

// serve serves methodPermit.
func (p *Permits) serve(_ context.Context, r *permitRequest) (*permitResponse, error) {
	server := p.catalog.Load().Servers[r.Server]
	wanted := sendgate.Process{Server: r.Server, Address: r.Address, StartedMS: r.StartedMS}
	if server == nil || sendgate.ProcessOf(server) != wanted || p.backends.ColdRate(server.Service) <= 0 {
		return nil, errNotCold
	}
	now := time.Now()
	v := p.backends.Cold().TakeFor(server, p.backends.ColdRate(server.Service), r.Rank, time.Duration(r.ColdForMS)*time.Millisecond, now)
	if v.MaySend {
		return &permitResponse{Permitted: true}, nil
	}
	return &permitResponse{RetryAfterMS: max(v.Until.Sub(now).Milliseconds(), 1)}, nil
}
