package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/reason"
)

// Permit allows this daemon to send requests to one server until a deadline.
type Permit struct {
	Server  model.ServerRef
	Address string
	Zone    model.Zone
	Term    model.Term
	Seq     model.Seq
	Keyed   bool
	// Shards maps each shard that may be sent to its epoch. Shards that move
	// are left out.
	Shards map[model.ShardID]model.Epoch
	Slots  int // maximum number of requests in flight
	// Until is the expiry of the permit on this daemon's monotonic clock.
	Until time.Time
}

// Gate enforces the permits of one daemon. The control side replaces the
// permits with Apply; the request path calls Begin just before it writes the
// first byte to a server. Once Apply has returned, no request passes under the
// earlier permits; InFlightShards returns the shards of those that passed
// before and have not ended.
type Gate struct {
	mu       sync.Mutex
	servers  map[model.ServerRef]*gateServer
	onChange func()
}

// gateServer is the state of one server at the gate.
type gateServer struct {
	permit   *Permit               // nil when this daemon may not send to the server
	inFlight map[model.ShardID]int // number of requests that have not ended
	tickets  map[*Ticket]struct{}  // of the requests that have not ended
	// mayRunUntil gives, for each shard, the latest time until which the server
	// may still run a request that ended here without a complete answer.
	mayRunUntil map[model.ShardID]time.Time
}

// NewGate returns a gate without permits.
func NewGate() *Gate {
	return &Gate{servers: map[model.ServerRef]*gateServer{}}
}

// OnChange registers f to be called after each change of the permits, in place
// of an earlier function. f must not block.
func (g *Gate) OnChange(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onChange = f
}

// Apply replaces all permits of the daemon. No new request passes to a server
// without a permit.
func (g *Gate) Apply(permits []*Permit) {
	if onChange := g.apply(permits); onChange != nil {
		onChange()
	}
}

func (g *Gate) apply(permits []*Permit) func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers {
		s.permit = nil
	}
	for _, permit := range permits {
		g.serverLocked(permit.Server).permit = permit
	}
	return g.onChange
}

// serverLocked returns the state of a server and creates it when missing. g.mu
// must be held.
func (g *Gate) serverLocked(ref model.ServerRef) *gateServer {
	s, ok := g.servers[ref]
	if !ok {
		s = &gateServer{inFlight: map[model.ShardID]int{}, tickets: map[*Ticket]struct{}{}, mayRunUntil: map[model.ShardID]time.Time{}}
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

// Check returns nil when a request would pass now, and the refusal otherwise.
// It does not register a request.
func (g *Gate) Check(ref model.ServerRef, shard model.ShardID, epoch model.Epoch, now time.Time) *reason.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, refusal := g.checkLocked(ref, shard, epoch, now)
	return refusal
}

// checkLocked is Check with g.mu held. It also returns the state of the server
// when the request would pass.
func (g *Gate) checkLocked(ref model.ServerRef, shard model.ShardID, epoch model.Epoch, now time.Time) (*gateServer, *reason.Error) {
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
	current, ok := permit.Shards[shard]
	if ok && current == epoch {
		return nil
	}
	refusal := reason.New(reason.WrongEpoch, "gate", permit.Server.String(), "shard %d is not at this server under epoch %d", shard, epoch)
	refusal.Epoch = current
	refusal.Seq = permit.Seq
	return refusal
}

// Ticket is a request that passed the gate and has not ended.
type Ticket struct {
	gate     *Gate
	server   *gateServer
	shard    model.ShardID
	until    time.Time // expiry of the permit
	deadline time.Time // time until which the server may run the request
	answered bool      // the complete answer has arrived
	cancel   context.CancelCauseFunc
}

// Begin admits a request or refuses it. The deadline of ctx must be the one
// that is sent to the server. The returned context is cancelled when the server
// is abandoned; its cause is then an *AbandonedError. The caller must call Done
// on the ticket.
func (g *Gate) Begin(ctx context.Context, ref model.ServerRef, shard model.ShardID, epoch model.Epoch, now time.Time) (context.Context, *Ticket, *reason.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, refusal := g.checkLocked(ref, shard, epoch, now)
	if refusal != nil {
		return nil, nil, refusal
	}
	deadline, ok := ctx.Deadline()
	if !ok || (s.permit.Keyed && s.permit.Until.Before(deadline)) {
		deadline = s.permit.Until
	}
	ctx, cancel := context.WithCancelCause(ctx)
	t := &Ticket{gate: g, server: s, shard: shard, until: s.permit.Until, deadline: deadline, cancel: cancel}
	s.inFlight[shard]++
	s.tickets[t] = struct{}{}
	return ctx, t, nil
}

// Until returns the expiry of the permit under which the request passed. The
// deadline sent to the server must not be later.
func (t *Ticket) Until() time.Time { return t.until }

// MarkAnswered records that the server's complete answer arrived, so that the
// request no longer runs there. It must be called before Done.
func (t *Ticket) MarkAnswered() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	t.answered = true
}

// Done ends the request. Further calls have no effect. Without MarkAnswered the
// request counts as running at the server until its deadline plus ClockMargin.
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
		t.server.extendMayRunLocked(t.shard, t.deadline.Add(ClockMargin))
	}
	t.cancel(nil)
}

// extendMayRunLocked raises mayRunUntil of the shard to end, if end is later. The
// gate's mutex must be held.
func (s *gateServer) extendMayRunLocked(shard model.ShardID, end time.Time) {
	if end.After(s.mayRunUntil[shard]) {
		s.mayRunUntil[shard] = end
	}
}

// AbandonedError is the cause of cancelling the requests at a server.
type AbandonedError struct {
	Server model.ServerRef
	Cause  string
}

// Error implements the error interface.
func (e *AbandonedError) Error() string {
	return "requests at " + e.Server.String() + " were given up: " + e.Cause
}

// Abandon cancels the contexts of all requests at a server that is judged lost.
// They stay in flight until their Done.
func (g *Gate) Abandon(ref model.ServerRef, cause string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.servers[ref]
	if !ok {
		return
	}
	for t := range s.tickets {
		t.cancel(&AbandonedError{Server: ref, Cause: cause})
	}
}

// InFlightShards returns the shards of a server with requests that have not
// ended.
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
// at a server: those with requests in flight, and those with requests that
// ended without a complete answer and whose deadline has not passed.
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
	for shard, end := range s.mayRunUntil {
		if !now.Before(end) {
			delete(s.mayRunUntil, shard)
		} else if s.inFlight[shard] == 0 {
			shards = append(shards, shard)
		}
	}
	return shards
}

// MarkServerEnded records that the server's process has ended, and with it all
// requests that ended here without a complete answer.
func (g *Gate) MarkServerEnded(ref model.ServerRef) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.servers[ref]; ok {
		clear(s.mayRunUntil)
	}
}

// Servers returns all servers that have had a permit since the gate was
// created, in no particular order.
func (g *Gate) Servers() []model.ServerRef {
	g.mu.Lock()
	defer g.mu.Unlock()
	refs := make([]model.ServerRef, 0, len(g.servers))
	for ref := range g.servers {
		refs = append(refs, ref)
	}
	return refs
}

// InFlight returns the number of requests at a server that have not ended.
func (g *Gate) InFlight(ref model.ServerRef) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := g.servers[ref]; ok {
		return len(s.tickets)
	}
	return 0
}
