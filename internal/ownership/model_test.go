package ownership

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/placement"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// Parameters of the simulation.
const (
	modelHistories      = 10_000
	modelSeed           = 20261204
	modelDaemons        = 4
	modelServers        = 3
	modelShards         = 4
	modelAttemptTimeout = 400 * time.Millisecond
	serverSkew          = ClockMargin / 2 // by which a server may exceed a request's deadline
)

// TestProtocolKeepsOneOwner simulates random histories of the ownership
// protocol with lost, delayed, duplicated and reordered messages, paused
// daemons, restarts, partitions and table outages. It guards against two
// servers owning a shard at the same time, and checks the invariants after
// every step.
func TestProtocolKeepsOneOwner(t *testing.T) {
	setDefault(t, "rapid.checks", modelHistories)
	setDefault(t, "rapid.seed", modelSeed)
	must.NoError(t, flag.Set("rapid.steps", "250"))
	must.NoError(t, flag.Set("rapid.nofailfile", "true"))
	histories, moves, barriers, attested, early, outages := 0, 0, 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModelCluster(t)
		m.settle()
		t.Repeat(m.actions())
		histories++
		moves += m.moves
		barriers += m.barriers
		attested += m.attested
		early += m.early
		outages += m.outages
	})
	t.Logf("%d moves, %d barriers, %d attested permits, %d outages during moves and %d requests before the end of a move in %d histories",
		moves, barriers, attested, outages, early, histories)
	must.Positive(t, moves)
	must.Positive(t, barriers)
	must.Positive(t, attested)
	must.Positive(t, early)
	must.Positive(t, outages)
}

// givenFlags returns the names of the flags that the command line sets.
var givenFlags = sync.OnceValue(func() map[string]bool {
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	return given
})

// setDefault sets a flag unless the command line sets it. Another test may have set it.
func setDefault(t *testing.T, name string, value int) {
	if !givenFlags()[name] {
		must.NoError(t, flag.Set(name, fmt.Sprint(value)))
	}
}

// modelDaemon is a daemon with its current incarnation.
type modelDaemon struct {
	id          model.DaemonID
	incarnation model.Incarnation
	stopped     bool
	paused      bool
	partition   partition
	newest      *Assignment   // newest version of the table that the daemon has received
	drained     []DrainedMove // moves of which the daemon knows that they have drained
	replica     *Replica      // has newest with the drained moves ended
	witness     *Witness
	coord       *modelCoordinator
	watch       LeaseWatch
	era         platform.Era // era of the table as the daemon's candidate knows it
}

// partition is the set of daemons with which a daemon cannot communicate.
type partition int

const (
	notPartitioned partition = iota
	partitionedFromCoordinator
	partitionedFromAll
)

// modelCoordinator is a coordinator during one term.
type modelCoordinator struct {
	term         model.Term
	era          platform.Era // era of the table in which the lease was acquired
	latest       *Assignment  // on which the next one must be based, also if the outcome of its write is not known
	eraEnded     bool         // a write was answered in a later era
	until        time.Time    // expiry of the lease
	version      uint64       // version of the assignment row
	current      *Assignment  // last assignment that this coordinator wrote, nil before the first
	inherited    *Assignment  // assignment in the table when the term began
	acks         map[model.DaemonID]Ack
	ended        map[model.Incarnation]time.Time // when the end of each ended incarnation was detected
	barrierSeq   model.Seq                       // View.BarrierSeq: version of the last completed barrier
	write        *modelWrite                     // write without an answer so far, or nil
	pendingSeq   model.Seq                       // version announced to the fleet by the newest barrier
	attestations []Attestation                   // answers to the announcement of pendingSeq, with the coordinator's own attestation
	reachedAt    time.Time                       // when reached became true
	reached      bool                            // a majority of the fleet has answered the announcement of pendingSeq
}

// modelWrite is a conditional write that is being sent to the table.
type modelWrite struct {
	id      int
	era     platform.Era // era that the write is meant for
	expect  uint64       // row version that the table must still have
	next    *Assignment
	changes []Change
}

// modelRequest is a request at a server.
type modelRequest struct {
	server      model.ServerID
	shard       model.ShardID
	epoch       model.Epoch
	incarnation model.Incarnation // of the dispatcher that sent it
	deadline    time.Time
	done        bool
}

// modelCluster is the state of the simulated daemons, servers, network and
// table.
type modelCluster struct {
	now          time.Time
	daemons      []*modelDaemon
	servers      map[model.ServerID]ServerState
	incarnations int                        // number of incarnations started
	stopped      map[model.Incarnation]bool // incarnations that have ended

	era          platform.Era
	copies       []modelCopy // states to which the table can return, oldest first
	copied       *Assignment // newest assignment row of the eras before, as the older copy has it
	restored     int         // returns of the table to an older copy
	kept, lost   int         // control leases that were kept over a return, and terms that began unsettled
	settled      int         // unsettled assignments that were settled
	storeDown    bool        // the table cannot be reached
	row          *Assignment // assignment row in the table
	rowVersion   uint64
	rowWrite     int // id of the write that the row has now
	writes       int // number of writes, which gives the next one its id
	lease        Lease
	leaseVersion uint64
	history      map[model.Seq]*Assignment // every assignment that was in the row

	network  []func() // messages in transit
	requests []*modelRequest
	epochs   map[model.ShardID]model.Epoch // highest epoch under which a request was sent
	owners   map[modelEpoch]model.ServerID // server to which requests were sent under an epoch

	moves, barriers, attested int // completed moves, completed barriers, and permits renewed by attestations
	early                     int // requests sent to the target of a move before the table showed its end
	outages                   int // outages of the table that began while a shard moved, in outageDuringMove
}

func newModelCluster(*rapid.T) *modelCluster {
	m := &modelCluster{
		now:     time.Unix(1_000_000, 0),
		era:     platform.FirstEra,
		servers: map[model.ServerID]ServerState{},
		stopped: map[model.Incarnation]bool{},
		row:     &Assignment{Pool: "pool"},
		history: map[model.Seq]*Assignment{},
		epochs:  map[model.ShardID]model.Epoch{},
		owners:  map[modelEpoch]model.ServerID{},
	}
	for i := range modelServers {
		m.servers[model.ServerID(fmt.Sprintf("s%d", i))] = ServerActive
	}
	fleet := Fleet{Version: 1}
	for i := range modelDaemons {
		d := &modelDaemon{id: model.DaemonID(fmt.Sprintf("d%d", i))}
		m.daemons = append(m.daemons, d)
		fleet.Members = append(fleet.Members, d.id)
	}
	for _, d := range m.daemons {
		m.startIncarnation(d)
		d.witness.ObserveFleet(fleet)
		d.witness.MarkSynced(m.era)
	}
	return m
}

func (m *modelCluster) startIncarnation(d *modelDaemon) {
	m.incarnations++
	d.incarnation = model.Incarnation(fmt.Sprintf("%s.%d", d.id, m.incarnations))
	d.stopped, d.paused, d.partition, d.coord = false, false, notPartitioned, nil
	d.newest, d.drained = nil, nil
	d.replica = NewReplica(d.id, d.incarnation)
	d.witness = NewWitness()
	d.watch = LeaseWatch{}
	d.era = platform.FirstEra
}

// actions returns the actions of which a history consists. rapid chooses among them
// sorted by name, so other names would give other histories for modelSeed. "tell"
// begins a barrier, "spread" is gossip, "inform" syncs a witness, "cut" and "heal"
// begin and end a partition, and "drained" announces drained moves. rapid runs the
// action "" after each action.
func (m *modelCluster) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"time passes":   func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
		"deliver":       m.deliver,
		"deliver late":  func(t *rapid.T) { m.deliverAt(t, true) },
		"drop":          func(t *rapid.T) { m.takeMessage(t) },
		"settle":        func(t *rapid.T) { m.settle() },
		"settle again":  func(t *rapid.T) { m.settle() },
		"barrier":       func(t *rapid.T) { m.waitBarrier() },
		"lease":         func(t *rapid.T) { m.tryLease(m.drawActor(t)) },
		"round":         func(t *rapid.T) { m.round(m.drawActor(t)) },
		"resolve":       func(t *rapid.T) { m.resolve(m.drawActor(t)) },
		"renew":         func(t *rapid.T) { m.renew(m.drawActor(t)) },
		"attest":        func(t *rapid.T) { m.attestRound(m.drawActor(t)) },
		"tell":          func(t *rapid.T) { m.beginBarrier(m.drawActor(t)) },
		"spread":        func(t *rapid.T) { m.gossip(m.drawActor(t), m.drawActor(t)) },
		"request":       m.request,
		"request again": m.request,
		"answer":        m.completeRequest,
		"kill":          func(t *rapid.T) { m.kill(m.drawDaemon(t)) },
		"start":         func(t *rapid.T) { m.restart(m.drawDaemon(t)) },
		"inform":        func(t *rapid.T) { m.syncWitness(m.drawActor(t)) },
		"pause":         func(t *rapid.T) { d := m.drawDaemon(t); d.paused = !d.paused },
		"cut":           func(t *rapid.T) { m.partitionDaemon(t, m.drawDaemon(t)) },
		"heal":          func(t *rapid.T) { m.drawDaemon(t).partition = notPartitioned },
		"two faults":    m.twoFaults,
		"drained":       func(t *rapid.T) { m.announceDrained(m.drawActor(t)) },
		"move outage":   m.outageDuringMove,
		"store":         func(t *rapid.T) { m.storeDown = !m.storeDown },
		"server":        m.changeServer,
		"":              m.check,
	}
}

func (m *modelCluster) advance(d time.Duration) { m.now = m.now.Add(d) }

func (m *modelCluster) drawDaemon(t *rapid.T) *modelDaemon {
	return m.daemons[rapid.IntRange(0, modelDaemons-1).Draw(t, "daemon")]
}

// drawActor returns any daemon. The action has no effect when the daemon is not
// running.
func (m *modelCluster) drawActor(t *rapid.T) *modelDaemon { return m.drawDaemon(t) }

func isRunning(d *modelDaemon) bool { return !d.stopped && !d.paused }

// send puts a message to the current incarnation of a daemon on the network.
func (m *modelCluster) send(to *modelDaemon, effect func()) {
	incarnation := to.incarnation
	m.network = append(m.network, func() {
		if isRunning(to) && to.incarnation == incarnation {
			effect()
		}
	})
}

// takeMessage removes a random message from the network, or returns a no-op
// when there is none.
func (m *modelCluster) takeMessage(t *rapid.T) func() {
	if len(m.network) == 0 {
		return func() {}
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
	message := m.network[i]
	m.network = append(m.network[:i:i], m.network[i+1:]...)
	return message
}

func (m *modelCluster) deliver(t *rapid.T) { m.deliverAt(t, false) }

// deliverAt delivers a random message. With keep, a duplicate stays on the
// network.
func (m *modelCluster) deliverAt(t *rapid.T, keep bool) {
	message := m.takeMessage(t)
	if keep {
		m.network = append(m.network, message)
	}
	message()
}

// settle lets all running daemons act twice with every message delivered.
func (m *modelCluster) settle() {
	for range 2 {
		for _, d := range m.daemons {
			m.tryLease(d)
			m.round(d)
			m.flush()
			m.resolve(d)
			m.renew(d)
			m.flush()
		}
		m.advance(10 * time.Millisecond)
	}
}

// waitBarrier starts a barrier at each coordinator and lets enough time pass
// for it to complete, while the running daemons go on acting.
func (m *modelCluster) waitBarrier() {
	for _, d := range m.daemons {
		m.beginBarrier(d)
	}
	m.flush()
	for range 4 {
		m.settle()
		for _, d := range m.daemons {
			if d.partition == partitionedFromCoordinator {
				m.attestRound(d)
			}
		}
		m.flush()
		m.advance(800 * time.Millisecond)
	}
	m.settle()
}

func (m *modelCluster) partitionDaemon(t *rapid.T, d *modelDaemon) {
	d.partition = rapid.SampledFrom([]partition{partitionedFromCoordinator, partitionedFromAll}).Draw(t, "cut")
}

// twoFaults makes a dispatcher fail (killed, paused or partitioned) while its
// servers are judged lost, and lets the other daemons react.
func (m *modelCluster) twoFaults(t *rapid.T) {
	m.settle()
	d := m.drawDaemon(t)
	if !isRunning(d) || d.coord != nil || len(d.replica.Permits()) == 0 {
		return
	}
	late := m.delayAnswer(t, d)
	m.request(t)
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		m.kill(d)
	case 1:
		d.paused = true
	case 2:
		m.partitionAllButOne(d)
	default:
		m.partitionDaemon(t, d)
	}
	for _, permit := range d.replica.Permits() {
		m.servers[permit.Server.Server] = ServerLost
	}
	m.settle()
	for _, other := range m.daemons {
		m.beginBarrier(other)
	}
	m.flush()
	if rapid.Bool().Draw(t, "restarts") {
		m.restartOthers(d)
	}
	m.attestRound(d)
	m.flush()
	m.settle()
	m.check(t)
	if rapid.Bool().Draw(t, "wait") {
		m.waitBarrier()
	}
	d.paused = false
	late()
}

// partitionAllButOne partitions a dispatcher, and all but one of the other
// daemons, from the coordinator.
func (m *modelCluster) partitionAllButOne(d *modelDaemon) {
	d.partition = partitionedFromCoordinator
	spared := false
	for _, other := range m.daemons {
		if other == d || other.coord != nil {
			continue
		}
		if spared {
			other.partition = partitionedFromCoordinator
		}
		spared = true
	}
}

// delayAnswer makes a daemon renew and, in some histories, holds back the
// coordinator's answer. It returns the function that delivers the answer.
func (m *modelCluster) delayAnswer(t *rapid.T, d *modelDaemon) func() {
	m.flush()
	m.renew(d)
	if len(m.network) == 0 || !rapid.Bool().Draw(t, "late") {
		return func() {}
	}
	m.network[0]()
	late := m.network[1:]
	m.network = nil
	return func() {
		for _, message := range late {
			message()
		}
	}
}

// restartOthers restarts all daemons other than d that hold no control lease.
func (m *modelCluster) restartOthers(d *modelDaemon) {
	for _, other := range m.daemons {
		if other != d && other.coord == nil {
			m.kill(other)
			m.restart(other)
		}
	}
}

// flush delivers all messages, with those that they cause, in the order in which
// they were sent.
func (m *modelCluster) flush() {
	for len(m.network) > 0 {
		message := m.network[0]
		m.network = m.network[1:]
		message()
	}
}

// tryLease renews the control lease of a coordinator, or makes another daemon
// acquire it when its holder has not renewed it in time.
func (m *modelCluster) tryLease(d *modelDaemon) {
	if !isRunning(d) || m.storeDown || d.partition == partitionedFromAll || !d.witness.Synced() {
		return
	}
	asked := m.now
	if d.era != m.era {
		d.era, d.watch = m.era, LeaseWatch{}
	}
	if d.coord != nil && d.coord.era != m.era {
		m.keepLease(d)
		return
	}
	if d.coord != nil {
		if m.lease.Incarnation == d.incarnation {
			m.leaseVersion++
			d.coord.until = asked.Add(LeaseDuration)
		} else {
			d.coord = nil
		}
		return
	}
	d.watch.Observe(m.leaseVersion, m.now)
	if !d.watch.CanAcquire(m.lease, m.era, d.id, m.now) {
		return
	}
	m.startControl(d, m.inheritedBy(d), asked)
}

// startControl writes the lease of a daemon and starts its term.
func (m *modelCluster) startControl(d *modelDaemon, inherited *Assignment, asked time.Time) {
	m.leaseVersion++
	m.lease = Lease{Holder: d.id, Incarnation: d.incarnation, Term: m.lease.NextTerm(m.era)}
	d.coord = &modelCoordinator{
		term:      m.lease.Term,
		era:       m.era,
		latest:    inherited,
		until:     asked.Add(LeaseDuration),
		version:   m.rowVersion,
		inherited: inherited,
		acks:      map[model.DaemonID]Ack{},
		ended:     map[model.Incarnation]time.Time{},
	}
}

// round plans the next assignment and sends the write to the table.
func (m *modelCluster) round(d *modelDaemon) {
	c := d.coord
	if !isRunning(d) || c == nil || c.write != nil || c.eraEnded || !m.now.Before(c.until) {
		return
	}
	m.passBarrier(c)
	from := c.current
	if from == nil {
		from = c.inherited
	}
	next, changes := Plan(from, m.view(d, c))
	if next == nil {
		return
	}
	m.writes++
	c.write = &modelWrite{id: m.writes, era: c.era, expect: c.version, next: next, changes: changes}
	c.latest = next
	m.sendWrite(d, c)
}

func (m *modelCluster) sendWrite(d *modelDaemon, c *modelCoordinator) {
	write := c.write
	m.network = append(m.network, func() {
		if m.storeDown {
			return
		}
		if write.era != m.era {
			m.writeCopied(write)
			c.eraEnded = true
			return
		}
		if m.rowVersion != write.expect {
			return
		}
		m.rowVersion++
		m.row, m.rowWrite = write.next, write.id
		m.history[write.next.Seq] = write.next
		m.send(d, func() { m.commit(d, c, write) })
	})
}

func (m *modelCluster) commit(d *modelDaemon, c *modelCoordinator, write *modelWrite) {
	if d.coord != c || c.write != write {
		return
	}
	c.write = nil
	c.version = write.expect + 1
	c.current = write.next
	d.witness.Observe("pool", write.next.Seq)
	d.receive(write.next)
	for _, change := range write.changes {
		if change.Kind == ChangeMoveEnded {
			m.moves++
		}
		if change.Kind == ChangeSettled {
			m.settled++
		}
	}
}

// resolve reads the row after a write that got no answer.
func (m *modelCluster) resolve(d *modelDaemon) {
	c := d.coord
	if !isRunning(d) || m.storeDown || d.partition == partitionedFromAll || c == nil || c.write == nil {
		return
	}
	switch {
	case c.era != m.era:
		c.eraEnded = true
	case m.rowWrite == c.write.id:
		m.commit(d, c, c.write)
	case m.rowVersion > c.write.expect:
		d.coord = nil
	default:
		m.sendWrite(d, c)
	}
}

// view returns the coordinator's view at this moment. It also records in c.ended, with the
// current time, each stopped incarnation that is not recorded there yet; EndedAt of the view
// is that same map, so it includes them.
func (m *modelCluster) view(d *modelDaemon, c *modelCoordinator) View {
	view := View{
		Now:         m.now,
		Era:         c.era,
		Term:        c.term,
		Coordinator: Coordinator{Daemon: d.id, Incarnation: d.incarnation},
		Rules: PoolRules{Keyed: true, Shards: modelShards, Slots: 1, AttemptTimeout: modelAttemptTimeout,
			Weights: placement.Weights{Imbalance: 1}},
		Acks:       c.acks,
		EndedAt:    c.ended,
		BarrierSeq: c.barrierSeq,
		MoveBudget: 1,
	}
	for i := range modelServers {
		id := model.ServerID(fmt.Sprintf("s%d", i))
		view.Servers = append(view.Servers, ListedServer{ID: id, State: m.servers[id], Weight: 1})
	}
	for _, other := range m.daemons {
		if isRunning(other) && (other.partition == notPartitioned || other == d) {
			view.Daemons = append(view.Daemons, LiveDaemon{ID: other.id, Incarnation: other.incarnation})
		}
	}
	for incarnation := range m.stopped {
		if _, recorded := c.ended[incarnation]; !recorded {
			c.ended[incarnation] = m.now
		}
	}
	return view
}

// renew sends a renewal to the coordinator named in the daemon's assignment.
func (m *modelCluster) renew(d *modelDaemon) {
	if !isRunning(d) || d.replica.Assignment() == nil {
		return
	}
	asked := m.now
	ack := m.ack(d)
	coordinator := d.replica.Assignment().Coordinator
	for _, other := range m.daemons {
		if other.id != coordinator.Daemon || other.incarnation != coordinator.Incarnation {
			continue
		}
		if other == d || (d.partition == notPartitioned && other.partition != partitionedFromAll) {
			m.send(other, func() { m.serveRenew(other, d, ack, asked) })
		}
	}
}

func (m *modelCluster) ack(d *modelDaemon) Ack {
	ack := Ack{Daemon: d.id, Incarnation: d.incarnation, Seq: d.replica.Seq()}
	for _, request := range m.requests {
		if request.incarnation == d.incarnation && !request.done && m.now.Before(request.deadline.Add(ClockMargin)) {
			ack.Undrained = append(ack.Undrained, ServerShards{Server: request.server, Shards: []model.ShardID{request.shard}})
		}
	}
	return ack
}

func (m *modelCluster) serveRenew(at, from *modelDaemon, ack Ack, asked time.Time) {
	c := at.coord
	if c == nil || c.current == nil || !m.now.Before(c.until) {
		return
	}
	if previous := c.acks[ack.Daemon]; previous.Incarnation != ack.Incarnation || previous.Seq <= ack.Seq {
		c.acks[ack.Daemon] = ack
	}
	current := c.current
	m.send(from, func() {
		from.receive(current)
		from.witness.Observe("pool", current.Seq)
		from.replica.Confirm(current.Seq, asked)
	})
}

// attestRound asks every other daemon for its attestation, each with a separate
// message.
func (m *modelCluster) attestRound(d *modelDaemon) {
	if !isRunning(d) || d.replica.Assignment() == nil {
		return
	}
	asked := m.now
	seq := d.replica.Seq()
	attestations := []Attestation{d.witness.Attest(d.id)}
	m.askAll(d, func(s Attestation) {
		attestations = append(attestations, s)
		if d.witness.AttestedNewest("pool", seq, attestations) {
			m.attested++
			d.replica.Confirm(seq, asked)
		}
	})
}

// askAll sends the daemon's versions to every other daemon, and calls onAnswer with
// each attestation that comes back.
func (m *modelCluster) askAll(d *modelDaemon, onAnswer func(Attestation)) {
	versions := d.witness.Versions()
	for _, other := range m.daemons {
		if other == d || !m.reaches(d, other) {
			continue
		}
		m.send(other, func() {
			other.witness.Observe("pool", versions.Pools["pool"])
			attestation := other.witness.Attest(other.id)
			m.send(d, func() { onAnswer(attestation) })
		})
	}
}

// reaches reports whether messages pass between two daemons.
func (m *modelCluster) reaches(a, b *modelDaemon) bool {
	if a.partition == partitionedFromAll || b.partition == partitionedFromAll {
		return false
	}
	return (a.coord == nil || b.partition != partitionedFromCoordinator) && (b.coord == nil || a.partition != partitionedFromCoordinator)
}

// beginBarrier makes the coordinator announce its current version to the fleet.
// The barrier completes in passBarrier, once a majority has answered and the
// permits given before have expired.
func (m *modelCluster) beginBarrier(d *modelDaemon) {
	c := d.coord
	if !isRunning(d) || c == nil || c.current == nil {
		return
	}
	c.pendingSeq, c.reached = c.current.Seq, false
	c.attestations = []Attestation{d.witness.Attest(d.id)}
	seq := c.pendingSeq
	m.askAll(d, func(s Attestation) {
		if d.coord != c || c.pendingSeq != seq || c.reached {
			return
		}
		c.attestations = append(c.attestations, s)
		if d.witness.ReachedQuorum("pool", seq, c.attestations) {
			c.reached, c.reachedAt = true, m.now
		}
	})
}

// passBarrier completes the coordinator's newest barrier when its conditions are
// met.
func (m *modelCluster) passBarrier(c *modelCoordinator) {
	if c.reached && !m.now.Before(c.reachedAt.Add(PermitDuration+ClockMargin)) && c.barrierSeq < c.pendingSeq {
		c.barrierSeq = c.pendingSeq
		m.barriers++
	}
}

// gossip sends one daemon's assignment and drained moves to another.
func (m *modelCluster) gossip(from, to *modelDaemon) {
	if assignment := from.newest; assignment != nil && isRunning(from) && from.partition != partitionedFromAll && to.partition == notPartitioned {
		drained := from.drained
		m.send(to, func() {
			to.receive(assignment, drained...)
			to.witness.Observe("pool", assignment.Seq)
		})
	}
}

// request sends a request for a random shard under each permit of a daemon that
// allows it.
func (m *modelCluster) request(t *rapid.T) {
	m.requestAt(t, m.drawDaemon(t), model.ShardID(rapid.IntRange(0, modelShards-1).Draw(t, "shard")))
}

// requestAt sends a request for the shard under each permit of the daemon that allows it.
func (m *modelCluster) requestAt(t *rapid.T, d *modelDaemon, shard model.ShardID) {
	if !isRunning(d) {
		return
	}
	for _, permit := range d.replica.Permits() {
		if _, open := permit.Shards[shard]; !open || !m.now.Before(permit.Until) {
			continue
		}
		deadline := m.now.Add(modelAttemptTimeout)
		if permit.Until.Before(deadline) {
			deadline = permit.Until
		}
		m.sendRequest(t, d, &modelRequest{
			server:      permit.Server.Server,
			shard:       shard,
			epoch:       permit.Shards[shard],
			incarnation: d.incarnation,
			deadline:    deadline,
		})
	}
}

// sendRequest records a request and checks that the epochs of its shard rise.
func (m *modelCluster) sendRequest(t *rapid.T, d *modelDaemon, request *modelRequest) {
	if highest := m.epochs[request.shard]; request.epoch < highest {
		t.Fatalf("%s sends for shard %d under epoch %d after epoch %d", d.incarnation, request.shard, request.epoch, highest)
	}
	m.epochs[request.shard] = request.epoch
	m.checkEpochOwner(t, d, request)
	m.requests = append(m.requests, request)
	if shard, ok := m.row.Shard(request.shard); ok && shard.Epoch < request.epoch {
		m.early++
	}
}

func (m *modelCluster) completeRequest(t *rapid.T) {
	if len(m.requests) > 0 {
		m.requests[rapid.IntRange(0, len(m.requests)-1).Draw(t, "run")].done = true
	}
}

func (m *modelCluster) kill(d *modelDaemon) {
	if !d.stopped {
		d.stopped = true
		m.stopped[d.incarnation] = true
	}
}

func (m *modelCluster) restart(d *modelDaemon) {
	if !d.stopped {
		return
	}
	m.startIncarnation(d)
	for _, other := range m.daemons {
		d.witness.ObserveFleet(other.witness.Fleet())
	}
}

// syncWitness makes a restarted daemon's witness synced, from the table or,
// during an outage of the table, from the other daemons.
func (m *modelCluster) syncWitness(d *modelDaemon) {
	if !isRunning(d) || d.witness.Synced() {
		return
	}
	if !m.storeDown {
		d.witness.Observe("pool", m.row.Seq)
		d.witness.MarkSynced(m.era)
		if m.row.Seq > 0 {
			d.receive(m.row)
		}
		return
	}
	var attestations []Attestation
	m.askAll(d, func(s Attestation) {
		attestations = append(attestations, s)
		d.witness.SyncFromPeers(attestations)
	})
}

func (m *modelCluster) changeServer(t *rapid.T) {
	id := model.ServerID(fmt.Sprintf("s%d", rapid.IntRange(0, modelServers-1).Draw(t, "server")))
	m.servers[id] = rapid.SampledFrom([]ServerState{ServerActive, ServerLost, ServerLeaving}).Draw(t, "state")
}

// check checks the invariants.
func (m *modelCluster) check(t *rapid.T) {
	m.checkOneOwner(t)
	m.checkPublished(t)
}

// checkOneOwner checks that no shard may be sent to, or may run at, two servers
// at the same time.
func (m *modelCluster) checkOneOwner(t *rapid.T) {
	at := map[model.ShardID]model.ServerID{}
	claim := func(shard model.ShardID, server model.ServerID, by string) {
		if other, taken := at[shard]; taken && other != server {
			t.Fatalf("shard %d may run at %s and at %s (%s)", shard, other, server, by)
		}
		at[shard] = server
	}
	for _, d := range m.daemons {
		if d.stopped {
			continue
		}
		for _, permit := range d.replica.Permits() {
			if !m.now.Before(permit.Until) {
				continue
			}
			for shard := range permit.Shards {
				claim(shard, permit.Server.Server, "permit of "+string(d.incarnation))
			}
		}
	}
	running := m.requests[:0]
	for _, request := range m.requests {
		if request.done || !m.now.Before(request.deadline.Add(serverSkew)) {
			continue
		}
		running = append(running, request)
		claim(request.shard, request.server, "request of "+string(request.incarnation))
	}
	m.requests = running
}

// checkPublished checks that every assignment that a daemon has was written to
// the table, and is not newer than the row.
func (m *modelCluster) checkPublished(t *rapid.T) {
	for _, d := range m.daemons {
		assignment := d.newest
		if assignment == nil {
			continue
		}
		if m.history[assignment.Seq] != assignment || (EraOf(assignment.Seq) == m.era && assignment.Seq > m.row.Seq) {
			t.Fatalf("%s has seq %d, which the table does not have", d.id, assignment.Seq)
		}
		if want := assignment.WithDrained(d.drained); d.replica.Seq() != want.Seq || !slices.Equal(d.replica.Assignment().Shards, want.Shards) {
			t.Fatalf("%s has shards %v, want %v", d.id, d.replica.Assignment().Shards, want.Shards)
		}
	}
}

// receive stores an assignment of the table and drained moves.
func (d *modelDaemon) receive(assignment *Assignment, drained ...DrainedMove) {
	if assignment.NewerThan(d.newest) {
		d.newest = assignment
	}
	for _, move := range drained {
		if !slices.Contains(d.drained, move) {
			d.drained = append(d.drained, move)
		}
	}
	d.replica.Advance(d.newest.WithDrained(d.drained))
}

// announceDrained makes a coordinator, with or without a valid lease, tell all daemons
// that it reaches which moves of its assignment have drained.
func (m *modelCluster) announceDrained(d *modelDaemon) {
	c := d.coord
	if !isRunning(d) || c == nil || c.current == nil {
		return
	}
	m.passBarrier(c)
	assignment := c.current
	moves := DrainedMoves(assignment, m.view(d, c))
	for _, to := range m.daemons {
		if len(moves) > 0 && (to == d || m.reaches(d, to)) {
			m.send(to, func() { to.receive(assignment, moves...) })
		}
	}
}

// outageDuringMove begins moves away from a server and takes the table down before they
// end. The targets serve early; then the coordinator, the targets or their dispatchers
// may fail, and the table may come back.
func (m *modelCluster) outageDuringMove(t *rapid.T) {
	d := m.beginOutage(t)
	if d == nil {
		return
	}
	late := m.delayAnswer(t, d)
	m.announceDrained(d)
	m.flush()
	m.requestMoving(t, d.coord.current)
	m.check(t)
	m.failDuringOutage(t, d)
	m.check(t)
	m.storeDown = false
	if rapid.Bool().Draw(t, "lease lapses") {
		m.advance(LeaseDuration + 2*ClockMargin)
	}
	m.settle()
	m.check(t)
	m.request(t)
	m.announceDrained(d)
	late()
	m.settle()
}

// requestMoving makes all daemons request the moving shards of an assignment.
func (m *modelCluster) requestMoving(t *rapid.T, assignment *Assignment) {
	for id, shard := range assignment.Shards {
		if shard.Next == "" {
			continue
		}
		for _, d := range m.daemons {
			m.requestAt(t, d, model.ShardID(id))
		}
	}
}

// beginOutage makes a server leave and takes the table down once the moves of its
// shards are written. It returns the coordinator, or nil when nothing moves.
func (m *modelCluster) beginOutage(t *rapid.T) *modelDaemon {
	m.settle()
	m.changeServer(t)
	for _, d := range m.daemons {
		m.round(d)
		m.flush()
		if d.coord == nil || d.coord.current != m.row || !slices.ContainsFunc(m.row.Shards, func(s Shard) bool { return s.Next != "" }) {
			continue
		}
		m.storeDown = true
		m.outages++
		for _, other := range m.daemons {
			m.renew(other)
			m.flush()
			m.renew(other)
		}
		m.flush()
		return d
	}
	return nil
}

// failDuringOutage makes a server, or the coordinator d, fail.
func (m *modelCluster) failDuringOutage(t *rapid.T, d *modelDaemon) {
	if rapid.Bool().Draw(t, "target lost") {
		for _, shard := range d.coord.current.Shards {
			if shard.Next != "" {
				m.servers[shard.Next] = ServerLost
			}
		}
	}
	switch rapid.IntRange(0, 4).Draw(t, "coordinator") {
	case 0:
		m.kill(d)
	case 1:
		d.paused = true
	case 2:
		d.partition = partitionedFromAll
	}
	if rapid.Bool().Draw(t, "dispatcher fails") {
		m.partitionDaemon(t, m.drawDaemon(t))
	}
}
