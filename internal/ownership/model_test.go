package ownership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
)

// Size of the model.
const (
	modelHistories = 10_000
	modelSeed      = 20261204
	modelDaemons   = 4
	modelServers   = 3
	modelShards    = 4
	modelAttempt   = 400 * time.Millisecond
	serverSkew     = ClockMargin / 2 // by which a server may end a run too late
)

// TestProtocolKeepsOneOwner runs random histories of the protocol with lost,
// delayed, duplicated and reordered messages, pauses, restarts and outages, and
// checks the invariants in every state.
func TestProtocolKeepsOneOwner(t *testing.T) {
	must.NoError(t, flag.Set("rapid.checks", fmt.Sprint(modelHistories)))
	must.NoError(t, flag.Set("rapid.seed", fmt.Sprint(modelSeed)))
	must.NoError(t, flag.Set("rapid.steps", "250"))
	must.NoError(t, flag.Set("rapid.nofailfile", "true"))
	moves, barriers, attested := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newModelWorld(t)
		w.settle()
		t.Repeat(w.actions())
		moves += w.moves
		barriers += w.barriers
		attested += w.attested
	})
	t.Logf("%d moves, %d barriers and %d attested permits in %d histories", moves, barriers, attested, modelHistories)
	must.Positive(t, moves)
	must.Positive(t, barriers)
	must.Positive(t, attested)
}

// modelDaemon is one daemon with its present life.
type modelDaemon struct {
	id      model.DaemonID
	life    model.Incarnation
	dead    bool
	paused  bool
	cut     cutState
	holder  *Replica
	witness *Witness
	coord   *modelCoordinator
	watch   LeaseWatch
}

// cutState says with whom a daemon cannot talk.
type cutState int

const (
	cutNone cutState = iota
	cutFromCoordinator
	cutFromAll
)

// modelCoordinator is a coordinator during one term.
type modelCoordinator struct {
	term     model.Term
	until    time.Time // of the lease
	version  uint64    // of the assignment row
	current  *Assignment
	base     *Assignment
	acks     map[model.DaemonID]Ack
	ended    map[model.Incarnation]time.Time
	barrier  model.Seq
	write    *modelWrite
	telling  model.Seq
	told     []Attestation
	toldAt   time.Time
	toldDone bool
}

// modelWrite is a conditional write on its way to the table.
type modelWrite struct {
	id      int
	expect  uint64
	next    *Assignment
	changes []Change
}

// modelRun is a request at a server.
type modelRun struct {
	server   model.ServerID
	shard    model.ShardID
	life     model.Incarnation
	deadline time.Time
	done     bool
}

type modelWorld struct {
	now     time.Time
	daemons []*modelDaemon
	servers map[model.ServerID]ServerState
	lives   int
	dead    map[model.Incarnation]bool

	storeDown    bool
	row          *Assignment
	rowVersion   uint64
	rowWrite     int
	writes       int
	lease        Lease
	leaseVersion uint64
	history      map[model.Seq]*Assignment

	network []func() // messages on their way
	runs    []*modelRun

	moves, barriers, attested int
}

func newModelWorld(*rapid.T) *modelWorld {
	w := &modelWorld{
		now:     time.Unix(1_000_000, 0),
		servers: map[model.ServerID]ServerState{},
		dead:    map[model.Incarnation]bool{},
		row:     &Assignment{Pool: "pool"},
		history: map[model.Seq]*Assignment{},
	}
	for i := range modelServers {
		w.servers[model.ServerID(fmt.Sprintf("s%d", i))] = ServerActive
	}
	fleet := Fleet{Version: 1}
	for i := range modelDaemons {
		d := &modelDaemon{id: model.DaemonID(fmt.Sprintf("d%d", i))}
		w.daemons = append(w.daemons, d)
		fleet.Members = append(fleet.Members, d.id)
	}
	for _, d := range w.daemons {
		w.startLife(d)
		d.witness.ObserveFleet(fleet)
		d.witness.MarkSynced()
	}
	return w
}

func (w *modelWorld) startLife(d *modelDaemon) {
	w.lives++
	d.life = model.Incarnation(fmt.Sprintf("%s.%d", d.id, w.lives))
	d.dead, d.paused, d.cut, d.coord = false, false, cutNone, nil
	d.holder = NewReplica(d.id, d.life)
	d.witness = NewWitness()
	d.watch = LeaseWatch{}
}

func (w *modelWorld) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"time passes":   func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
		"deliver":       w.deliver,
		"deliver late":  func(t *rapid.T) { w.deliverAt(t, true) },
		"drop":          func(t *rapid.T) { w.take(t) },
		"settle":        func(t *rapid.T) { w.settle() },
		"settle again":  func(t *rapid.T) { w.settle() },
		"barrier":       func(t *rapid.T) { w.waitBarrier() },
		"lease":         func(t *rapid.T) { w.tryLease(w.running(t)) },
		"round":         func(t *rapid.T) { w.round(w.running(t)) },
		"resolve":       func(t *rapid.T) { w.resolve(w.running(t)) },
		"renew":         func(t *rapid.T) { w.renew(w.running(t)) },
		"attest":        func(t *rapid.T) { w.attestRound(w.running(t)) },
		"tell":          func(t *rapid.T) { w.tell(w.running(t)) },
		"spread":        func(t *rapid.T) { w.spread(w.running(t), w.running(t)) },
		"request":       w.request,
		"request again": w.request,
		"answer":        w.answer,
		"kill":          func(t *rapid.T) { w.kill(w.any(t)) },
		"start":         func(t *rapid.T) { w.restart(w.any(t)) },
		"inform":        func(t *rapid.T) { w.inform(w.running(t)) },
		"pause":         func(t *rapid.T) { d := w.any(t); d.paused = !d.paused },
		"cut":           func(t *rapid.T) { w.cut(t, w.any(t)) },
		"heal":          func(t *rapid.T) { w.any(t).cut = cutNone },
		"two faults":    w.twoFaults,
		"store":         func(t *rapid.T) { w.storeDown = !w.storeDown },
		"server":        w.changeServer,
		"":              w.check,
	}
}

func (w *modelWorld) pass(d time.Duration) { w.now = w.now.Add(d) }

func (w *modelWorld) any(t *rapid.T) *modelDaemon {
	return w.daemons[rapid.IntRange(0, modelDaemons-1).Draw(t, "daemon")]
}

// running returns a daemon that acts now, or one without effect.
func (w *modelWorld) running(t *rapid.T) *modelDaemon { return w.any(t) }

func acts(d *modelDaemon) bool { return !d.dead && !d.paused }

// send puts a message to one life of a daemon on the network.
func (w *modelWorld) send(to *modelDaemon, effect func()) {
	life := to.life
	w.network = append(w.network, func() {
		if acts(to) && to.life == life {
			effect()
		}
	})
}

func (w *modelWorld) take(t *rapid.T) func() {
	if len(w.network) == 0 {
		return func() {}
	}
	i := rapid.IntRange(0, len(w.network)-1).Draw(t, "message")
	message := w.network[i]
	w.network = append(w.network[:i:i], w.network[i+1:]...)
	return message
}

func (w *modelWorld) deliver(t *rapid.T) { w.deliverAt(t, false) }

// deliverAt delivers a message, and with keep leaves a duplicate for later.
func (w *modelWorld) deliverAt(t *rapid.T, keep bool) {
	message := w.take(t)
	if keep {
		w.network = append(w.network, message)
	}
	message()
}

// settle lets all running daemons do their work over a good network.
func (w *modelWorld) settle() {
	for range 2 {
		for _, d := range w.daemons {
			w.tryLease(d)
			w.round(d)
			w.flush()
			w.resolve(d)
			w.renew(d)
			w.flush()
		}
		w.pass(10 * time.Millisecond)
	}
}

// waitBarrier lets the coordinators tell the fleet and wait, while the daemons
// that run go on with their work.
func (w *modelWorld) waitBarrier() {
	for _, d := range w.daemons {
		w.tell(d)
	}
	w.flush()
	for range 4 {
		w.settle()
		for _, d := range w.daemons {
			if d.cut == cutFromCoordinator {
				w.attestRound(d)
			}
		}
		w.flush()
		w.pass(800 * time.Millisecond)
	}
	w.settle()
}

func (w *modelWorld) cut(t *rapid.T, d *modelDaemon) {
	d.cut = rapid.SampledFrom([]cutState{cutFromCoordinator, cutFromAll}).Draw(t, "cut")
}

// twoFaults takes a dispatcher away while its server is judged lost, in one of
// several ways, and lets the others go on.
func (w *modelWorld) twoFaults(t *rapid.T) {
	w.settle()
	d := w.any(t)
	if !acts(d) || d.coord != nil || len(d.holder.Permits()) == 0 {
		return
	}
	late := w.lateAnswer(t, d)
	w.request(t)
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		w.kill(d)
	case 1:
		d.paused = true
	case 2:
		w.cutAllButOne(d)
	default:
		w.cut(t, d)
	}
	for _, permit := range d.holder.Permits() {
		w.servers[permit.Server.Server] = ServerLost
	}
	w.settle()
	for _, other := range w.daemons {
		w.tell(other)
	}
	w.flush()
	if rapid.Bool().Draw(t, "restarts") {
		w.restartOthers(d)
	}
	w.attestRound(d)
	w.flush()
	w.settle()
	w.check(t)
	if rapid.Bool().Draw(t, "wait") {
		w.waitBarrier()
	}
	d.paused = false
	late()
}

// cutAllButOne cuts a dispatcher and all but one of the other daemons from the coordinator.
func (w *modelWorld) cutAllButOne(d *modelDaemon) {
	d.cut = cutFromCoordinator
	spared := false
	for _, other := range w.daemons {
		if other == d || other.coord != nil {
			continue
		}
		if spared {
			other.cut = cutFromCoordinator
		}
		spared = true
	}
}

// lateAnswer lets a daemon renew and holds the coordinator's answer back.
func (w *modelWorld) lateAnswer(t *rapid.T, d *modelDaemon) func() {
	w.flush()
	w.renew(d)
	if len(w.network) == 0 || !rapid.Bool().Draw(t, "late") {
		return func() {}
	}
	w.network[0]()
	late := w.network[1:]
	w.network = nil
	return func() {
		for _, message := range late {
			message()
		}
	}
}

// restartOthers restarts the daemons that control nothing.
func (w *modelWorld) restartOthers(d *modelDaemon) {
	for _, other := range w.daemons {
		if other != d && other.coord == nil {
			w.kill(other)
			w.restart(other)
		}
	}
}

func (w *modelWorld) flush() {
	for len(w.network) > 0 {
		message := w.network[0]
		w.network = w.network[1:]
		message()
	}
}

func (w *modelWorld) tryLease(d *modelDaemon) {
	if !acts(d) || w.storeDown || d.cut == cutFromAll || !d.witness.Synced() {
		return
	}
	asked := w.now
	if d.coord != nil {
		if w.lease.Incarnation == d.life {
			w.leaseVersion++
			d.coord.until = asked.Add(LeaseDuration)
		} else {
			d.coord = nil
		}
		return
	}
	d.watch.Observe(w.leaseVersion, w.now)
	if w.leaseVersion > 0 && !d.watch.CanAcquire(w.lease, d.id, w.now) {
		return
	}
	w.leaseVersion++
	w.lease = Lease{Holder: d.id, Incarnation: d.life, Term: w.lease.Term + 1}
	d.coord = &modelCoordinator{
		term:    w.lease.Term,
		until:   asked.Add(LeaseDuration),
		version: w.rowVersion,
		base:    w.row,
		acks:    map[model.DaemonID]Ack{},
		ended:   map[model.Incarnation]time.Time{},
	}
}

// round decides and sends the write towards the table.
func (w *modelWorld) round(d *modelDaemon) {
	c := d.coord
	if !acts(d) || c == nil || c.write != nil || !w.now.Before(c.until) {
		return
	}
	w.passBarrier(c)
	from := c.current
	if from == nil {
		from = c.base
	}
	next, changes := Plan(from, w.view(d, c))
	if next == nil {
		return
	}
	w.writes++
	c.write = &modelWrite{id: w.writes, expect: c.version, next: next, changes: changes}
	w.sendWrite(d, c)
}

func (w *modelWorld) sendWrite(d *modelDaemon, c *modelCoordinator) {
	write := c.write
	w.network = append(w.network, func() {
		if w.storeDown || w.rowVersion != write.expect {
			return
		}
		w.rowVersion++
		w.row, w.rowWrite = write.next, write.id
		w.history[write.next.Seq] = write.next
		w.send(d, func() { w.commit(d, c, write) })
	})
}

func (w *modelWorld) commit(d *modelDaemon, c *modelCoordinator, write *modelWrite) {
	if d.coord != c || c.write != write {
		return
	}
	c.write = nil
	c.version = write.expect + 1
	c.current = write.next
	d.witness.Observe("pool", write.next.Seq)
	d.holder.Advance(write.next)
	for _, change := range write.changes {
		if change.Kind == ChangeMoveEnded {
			w.moves++
		}
	}
}

// resolve reads the row after a write without an answer.
func (w *modelWorld) resolve(d *modelDaemon) {
	c := d.coord
	if !acts(d) || w.storeDown || d.cut == cutFromAll || c == nil || c.write == nil {
		return
	}
	switch {
	case w.rowWrite == c.write.id:
		w.commit(d, c, c.write)
	case w.rowVersion > c.write.expect:
		d.coord = nil
	default:
		w.sendWrite(d, c)
	}
}

func (w *modelWorld) view(d *modelDaemon, c *modelCoordinator) View {
	view := View{
		Now:         w.now,
		Term:        c.term,
		Coordinator: Coordinator{Daemon: d.id, Incarnation: d.life},
		Rules: PoolRules{Keyed: true, Shards: modelShards, Slots: 1, AttemptTimeout: modelAttempt,
			Weights: placement.Weights{Imbalance: 1}},
		Acks:       c.acks,
		EndedAt:    c.ended,
		BarrierSeq: c.barrier,
		MoveBudget: 1,
	}
	for i := range modelServers {
		id := model.ServerID(fmt.Sprintf("s%d", i))
		view.Servers = append(view.Servers, ListedServer{ID: id, State: w.servers[id], Weight: 1})
	}
	for _, other := range w.daemons {
		if acts(other) && (other.cut == cutNone || other == d) {
			view.Daemons = append(view.Daemons, LiveDaemon{ID: other.id, Incarnation: other.life})
		}
	}
	for life := range w.dead {
		if _, known := c.ended[life]; !known {
			c.ended[life] = w.now
		}
	}
	return view
}

// renew asks the coordinator that the daemon knows.
func (w *modelWorld) renew(d *modelDaemon) {
	if !acts(d) || d.holder.Assignment() == nil {
		return
	}
	asked := w.now
	ack := w.ack(d)
	known := d.holder.Assignment().Coordinator
	for _, other := range w.daemons {
		if other.id != known.Daemon || other.life != known.Incarnation {
			continue
		}
		if other == d || (d.cut == cutNone && other.cut != cutFromAll) {
			w.send(other, func() { w.serveRenew(other, d, ack, asked) })
		}
	}
}

func (w *modelWorld) ack(d *modelDaemon) Ack {
	ack := Ack{Daemon: d.id, Incarnation: d.life, Seq: d.holder.Seq()}
	for _, run := range w.runs {
		if run.life == d.life && !run.done && w.now.Before(run.deadline.Add(ClockMargin)) {
			ack.Undrained = append(ack.Undrained, ServerShards{Server: run.server, Shards: []model.ShardID{run.shard}})
		}
	}
	return ack
}

func (w *modelWorld) serveRenew(at, from *modelDaemon, ack Ack, asked time.Time) {
	c := at.coord
	if c == nil || c.current == nil || !w.now.Before(c.until) {
		return
	}
	if known := c.acks[ack.Daemon]; known.Incarnation != ack.Incarnation || known.Seq <= ack.Seq {
		c.acks[ack.Daemon] = ack
	}
	current := c.current
	w.send(from, func() {
		from.holder.Advance(current)
		from.witness.Observe("pool", current.Seq)
		from.holder.Confirm(current.Seq, asked)
	})
}

// attestRound asks each daemon by a message of its own.
func (w *modelWorld) attestRound(d *modelDaemon) {
	if !acts(d) || d.holder.Assignment() == nil {
		return
	}
	asked := w.now
	seq := d.holder.Seq()
	statements := []Attestation{d.witness.Attest(d.id)}
	w.askAll(d, func(s Attestation) {
		statements = append(statements, s)
		if d.witness.AttestedNewest("pool", seq, statements) {
			w.attested++
			d.holder.Confirm(seq, asked)
		}
	})
}

func (w *modelWorld) askAll(d *modelDaemon, answered func(Attestation)) {
	knowledge := d.witness.Versions()
	for _, other := range w.daemons {
		if other == d || !w.reaches(d, other) {
			continue
		}
		w.send(other, func() {
			other.witness.Observe("pool", knowledge.Pools["pool"])
			state := other.witness.Attest(other.id)
			w.send(d, func() { answered(state) })
		})
	}
}

// reaches reports that messages pass between two daemons.
func (w *modelWorld) reaches(a, b *modelDaemon) bool {
	if a.cut == cutFromAll || b.cut == cutFromAll {
		return false
	}
	return (a.coord == nil || b.cut != cutFromCoordinator) && (b.coord == nil || a.cut != cutFromCoordinator)
}

// tell begins to tell the fleet, for the barrier.
func (w *modelWorld) tell(d *modelDaemon) {
	c := d.coord
	if !acts(d) || c == nil || c.current == nil {
		return
	}
	c.telling, c.toldDone = c.current.Seq, false
	c.told = []Attestation{d.witness.Attest(d.id)}
	seq := c.telling
	w.askAll(d, func(s Attestation) {
		if d.coord != c || c.telling != seq || c.toldDone {
			return
		}
		c.told = append(c.told, s)
		if d.witness.ReachedQuorum("pool", seq, c.told) {
			c.toldDone, c.toldAt = true, w.now
		}
	})
}

func (w *modelWorld) passBarrier(c *modelCoordinator) {
	if c.toldDone && !w.now.Before(c.toldAt.Add(PermitDuration+ClockMargin)) && c.barrier < c.telling {
		c.barrier = c.telling
		w.barriers++
	}
}

// spread lets one daemon learn what another one knows.
func (w *modelWorld) spread(from, to *modelDaemon) {
	if known := from.holder.Assignment(); known != nil && acts(from) && from.cut != cutFromAll && to.cut == cutNone {
		w.send(to, func() {
			to.holder.Advance(known)
			to.witness.Observe("pool", known.Seq)
		})
	}
}

// request passes a request at one of the permits of a daemon.
func (w *modelWorld) request(t *rapid.T) {
	d := w.any(t)
	shard := model.ShardID(rapid.IntRange(0, modelShards-1).Draw(t, "shard"))
	if !acts(d) {
		return
	}
	for _, permit := range d.holder.Permits() {
		if _, open := permit.Shards[shard]; !open || !w.now.Before(permit.Until) {
			continue
		}
		deadline := w.now.Add(modelAttempt)
		if permit.Until.Before(deadline) {
			deadline = permit.Until
		}
		w.runs = append(w.runs, &modelRun{server: permit.Server.Server, shard: shard, life: d.life, deadline: deadline})
	}
}

func (w *modelWorld) answer(t *rapid.T) {
	if len(w.runs) > 0 {
		w.runs[rapid.IntRange(0, len(w.runs)-1).Draw(t, "run")].done = true
	}
}

func (w *modelWorld) kill(d *modelDaemon) {
	if !d.dead {
		d.dead = true
		w.dead[d.life] = true
	}
}

func (w *modelWorld) restart(d *modelDaemon) {
	if !d.dead {
		return
	}
	w.startLife(d)
	for _, other := range w.daemons {
		d.witness.ObserveFleet(other.witness.Fleet())
	}
}

// inform makes a daemon informed, from the table or from the others.
func (w *modelWorld) inform(d *modelDaemon) {
	if !acts(d) || d.witness.Synced() {
		return
	}
	if !w.storeDown {
		d.witness.Observe("pool", w.row.Seq)
		d.witness.MarkSynced()
		if w.row.Seq > 0 {
			d.holder.Advance(w.row)
		}
		return
	}
	var statements []Attestation
	w.askAll(d, func(s Attestation) {
		statements = append(statements, s)
		d.witness.SyncFromPeers(statements)
	})
}

func (w *modelWorld) changeServer(t *rapid.T) {
	id := model.ServerID(fmt.Sprintf("s%d", rapid.IntRange(0, modelServers-1).Draw(t, "server")))
	w.servers[id] = rapid.SampledFrom([]ServerState{ServerActive, ServerLost, ServerLeaving}).Draw(t, "state")
}

// check looks at the invariants.
func (w *modelWorld) check(t *rapid.T) {
	w.checkOneOwner(t)
	w.checkAnnounced(t)
}

// checkOneOwner: no shard may be sent to, or run at, two servers at one time.
func (w *modelWorld) checkOneOwner(t *rapid.T) {
	at := map[model.ShardID]model.ServerID{}
	claim := func(shard model.ShardID, server model.ServerID, by string) {
		if other, taken := at[shard]; taken && other != server {
			t.Fatalf("shard %d may run at %s and at %s (%s)", shard, other, server, by)
		}
		at[shard] = server
	}
	for _, d := range w.daemons {
		if d.dead {
			continue
		}
		for _, permit := range d.holder.Permits() {
			if !w.now.Before(permit.Until) {
				continue
			}
			for shard := range permit.Shards {
				claim(shard, permit.Server.Server, "permit of "+string(d.life))
			}
		}
	}
	running := w.runs[:0]
	for _, run := range w.runs {
		if run.done || !w.now.Before(run.deadline.Add(serverSkew)) {
			continue
		}
		running = append(running, run)
		claim(run.shard, run.server, "request of "+string(run.life))
	}
	w.runs = running
}

// checkAnnounced: what any daemon was told stands in the table's history, and
// the table never goes back.
func (w *modelWorld) checkAnnounced(t *rapid.T) {
	for _, d := range w.daemons {
		known := d.holder.Assignment()
		if known == nil {
			continue
		}
		if w.history[known.Seq] != known || known.Seq > w.row.Seq {
			t.Fatalf("%s was told seq %d, which the table does not have", d.id, known.Seq)
		}
	}
}
