package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/reason"
)

// Permit is the permission of this daemon to send to one server.
type Permit struct {
	Server  model.ServerRef
	Address string
	Zone    model.Zone
	Term    model.Term
	Seq     model.Seq
	Keyed   bool
	// Shards gives the epoch of each shard that may be sent; moving shards are absent.
	Shards map[model.ShardID]model.Epoch
	Slots  int
	// Until is the end of the permission on this daemon's monotonic clock.
	Until time.Time
}

// Gate holds the permits of one daemon. Control replaces them; traffic passes
// through Begin right before the first byte is written to a server. Once Apply
// has returned, no request passes under the earlier permits, and Busy names the
// ones that passed before and are not done.
type Gate struct {
	mu       sync.Mutex
	servers  map[model.ServerRef]*gateServer
	listener func()
}

type gateServer struct {
	permit   *Permit
	inFlight map[model.ShardID]int
	tickets  map[*Ticket]struct{}
	// tails gives the end of what the server may still run of requests that
	// were given up before their answer was whole.
	tails map[model.ShardID]time.Time
}

// NewGate returns a gate without permits.
func NewGate() *Gate {
	return &Gate{servers: map[model.ServerRef]*gateServer{}}
}

// OnChange calls f after each change of the permits. f must not block.
func (g *Gate) OnChange(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener = f
}

// Apply replaces the permits of a daemon. Servers without a permit are closed.
func (g *Gate) Apply(permits []*Permit) {
	if listener := g.apply(permits); listener != nil {
		listener()
	}
}

func (g *Gate) apply(permits []*Permit) func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.permit = nil
	}
	for _, permit := range permits {
		g.server(permit.Server).permit = permit
	}
	return g.listener
}

// server runs under the lock.
func (g *Gate) server(ref model.ServerRef) *gateServer {
	s, ok := g.servers[ref]
	if !ok {
		s = &gateServer{inFlight: map[model.ShardID]int{}, tickets: map[*Ticket]struct{}{}, tails: map[model.ShardID]time.Time{}}
		g.servers[ref] = s
	}
	return s
}

// Permits returns the current permits.
func (g *Gate) Permits() []*Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	var permits []*Permit
	for _, s := range g.servers {
		if s.permit != nil {
			permits = append(permits, s.permit)
		}
	}
	return permits
}

// Permit returns the current permit for a server, or nil.
func (g *Gate) Permit(ref model.ServerRef) *Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.servers[ref]; ok {
		return s.permit
	}
	return nil
}

// Check returns nil when a request could pass now. It takes nothing.
func (g *Gate) Check(ref model.ServerRef, shard model.ShardID, epoch model.Epoch, now time.Time) *reason.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, refusal := g.check(ref, shard, epoch, now)
	return refusal
}

// check runs under the lock.
func (g *Gate) check(ref model.ServerRef, shard model.ShardID, epoch model.Epoch, now time.Time) (*gateServer, *reason.Error) {
	s, ok := g.servers[ref]
	if !ok || s.permit == nil {
		return nil, reason.New(reason.NotDispatcher, "gate", ref.String(), "this daemon does not dispatch to the server")
	}
	if !now.Before(s.permit.Until) {
		return nil, reason.New(reason.PermitExpired, "gate", ref.String(), "the permission to send ended")
	}
	if !s.permit.Keyed {
		return s, nil
	}
	return s, checkShard(s.permit, shard, epoch)
}

func checkShard(permit *Permit, shard model.ShardID, epoch model.Epoch) *reason.Error {
	known, ok := permit.Shards[shard]
	if ok && known == epoch {
		return nil
	}
	refusal := reason.New(reason.WrongEpoch, "gate", permit.Server.String(), "shard %d is not at this server under epoch %d", shard, epoch)
	refusal.Epoch = known
	refusal.Seq = permit.Seq
	return refusal
}

// Ticket is a request that passed the gate and is not done.
type Ticket struct {
	gate     *Gate
	server   *gateServer
	shard    model.ShardID
	until    time.Time
	deadline time.Time
	answered bool
	lost     context.CancelCauseFunc
}

// Begin lets a request pass or refuses it. The deadline of ctx is the one that
// the server is told. The returned context ends when the
// server is abandoned; its cause is then an *AbandonedError. Done must be called on the ticket.
func (g *Gate) Begin(ctx context.Context, ref model.ServerRef, shard model.ShardID, epoch model.Epoch, now time.Time) (context.Context, *Ticket, *reason.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, refusal := g.check(ref, shard, epoch, now)
	if refusal != nil {
		return nil, nil, refusal
	}
	deadline, ok := ctx.Deadline()
	if !ok || (s.permit.Keyed && s.permit.Until.Before(deadline)) {
		deadline = s.permit.Until
	}
	ctx, lost := context.WithCancelCause(ctx)
	t := &Ticket{gate: g, server: s, shard: shard, until: s.permit.Until, deadline: deadline, lost: lost}
	s.inFlight[shard]++
	s.tickets[t] = struct{}{}
	return ctx, t, nil
}

// Until returns the end of the permission under which the request passed. The
// server's deadline must not be later.
func (t *Ticket) Until() time.Time { return t.until }

// MarkAnswered says that the server's answer arrived whole, so that nothing of the
// request runs there any more. It is called before Done.
func (t *Ticket) MarkAnswered() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.answered = true
}

// Done ends the request. It may be called more than once. Without Answered the
// server is taken to run it until its deadline.
func (t *Ticket) Done() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if _, open := t.server.tickets[t]; !open {
		return
	}
	delete(t.server.tickets, t)
	t.server.inFlight[t.shard]--
	if t.server.inFlight[t.shard] == 0 {
		delete(t.server.inFlight, t.shard)
	}
	if !t.answered {
		t.server.extendTail(t.shard, t.deadline.Add(ClockMargin))
	}
	t.lost(nil)
}

// extendTail runs under the lock.
func (s *gateServer) extendTail(shard model.ShardID, end time.Time) {
	if end.After(s.tails[shard]) {
		s.tails[shard] = end
	}
}

// AbandonedError says why the requests at a server were given up.
type AbandonedError struct {
	Server model.ServerRef
	Cause  string
}

// Error implements the error interface.
func (e *AbandonedError) Error() string {
	return "requests at " + e.Server.String() + " were given up: " + e.Cause
}

// Abandon ends the contexts of all requests at a server that is judged lost.
// They stay in Busy until their Done.
func (g *Gate) Abandon(ref model.ServerRef, cause string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.servers[ref]
	if !ok {
		return
	}
	for t := range s.tickets {
		t.lost(&AbandonedError{Server: ref, Cause: cause})
	}
}

// InFlightShards returns the shards of a server with requests that are not done.
func (g *Gate) InFlightShards(ref model.ServerRef) []model.ShardID {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.servers[ref]
	if !ok {
		return nil
	}
	shards := make([]model.ShardID, 0, len(s.inFlight))
	for shard := range s.inFlight {
		shards = append(shards, shard)
	}
	return shards
}

// Undrained returns the shards on which a request of this daemon may still run
// at a server: those not done, and those given up whose deadline has not passed.
func (g *Gate) Undrained(ref model.ServerRef, now time.Time) []model.ShardID {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.servers[ref]
	if !ok {
		return nil
	}
	var shards []model.ShardID
	for shard := range s.inFlight {
		shards = append(shards, shard)
	}
	for shard, end := range s.tails {
		if !now.Before(end) {
			delete(s.tails, shard)
		} else if s.inFlight[shard] == 0 {
			shards = append(shards, shard)
		}
	}
	return shards
}

// MarkServerEnded says that the server's process is known to have ended: what was
// given up there runs no more.
func (g *Gate) MarkServerEnded(ref model.ServerRef) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.servers[ref]; ok {
		clear(s.tails)
	}
}

// Servers returns the servers with permits, with requests that are not done or
// with ones given up.
func (g *Gate) Servers() []model.ServerRef {
	g.mu.Lock()
	defer g.mu.Unlock()
	refs := make([]model.ServerRef, 0, len(g.servers))
	for ref := range g.servers {
		refs = append(refs, ref)
	}
	return refs
}

// InFlight returns the number of requests at a server that are not done.
func (g *Gate) InFlight(ref model.ServerRef) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.servers[ref]; ok {
		return len(s.tickets)
	}
	return 0
}
