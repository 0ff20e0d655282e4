package ownership

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/model"
)

const (
	restoredHistories = 5_000
	maxModelCopies    = 20 // states that the table can return to
)

// TestProtocolKeepsOneOwnerOverRestoredTable simulates histories as
// TestProtocolKeepsOneOwner does, in which the table also returns to an older copy at any
// moment. It guards against two servers owning a shard because the table has lost a move,
// and against versions, terms and epochs that are given out twice.
func TestProtocolKeepsOneOwnerOverRestoredTable(t *testing.T) {
	setDefault(t, "rapid.checks", restoredHistories)
	setDefault(t, "rapid.seed", modelSeed)
	must.NoError(t, flag.Set("rapid.steps", "250"))
	must.NoError(t, flag.Set("rapid.nofailfile", "true"))
	histories, moves, attested, restored, kept, lost, settled := 0, 0, 0, 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModelCluster(t)
		m.settle()
		actions := m.actions()
		actions["restore"] = m.restore
		actions["restore during move"] = m.restoreDuringMove
		actions["restore unheard"] = m.restoreUnheard
		actions[""] = func(t *rapid.T) {
			m.copies = append(m.copies, m.snapshot())
			m.copies = m.copies[max(0, len(m.copies)-maxModelCopies):]
			m.check(t)
		}
		t.Repeat(actions)
		histories++
		moves += m.moves
		attested += m.attested
		restored += m.restored
		kept += m.kept
		lost += m.lost
		settled += m.settled
	})
	t.Logf("%d moves, %d attested permits, %d returns of the table, %d leases kept, %d terms that began unsettled and %d that settled in %d histories",
		moves, attested, restored, kept, lost, settled, histories)
	must.Positive(t, moves)
	must.Positive(t, attested)
	must.Positive(t, restored)
	must.Positive(t, kept)
	must.Positive(t, settled)
}

// modelCopy is a state of the table to which it can return: the newest assignment row.
type modelCopy struct{ row *Assignment }

func (m *modelCluster) snapshot() modelCopy {
	if m.row.Seq == 0 && m.copied != nil {
		return modelCopy{m.copied}
	}
	return modelCopy{m.row}
}

// restore returns the table to an older copy. The rows of the new era don't exist yet.
func (m *modelCluster) restore(t *rapid.T) {
	if m.storeDown || len(m.copies) == 0 {
		return
	}
	kept := max(0, len(m.copies)-1-rapid.IntRange(0, maxModelCopies).Draw(t, "age"))
	m.copied = m.copies[kept].row
	m.copies = m.copies[:kept]
	m.era++
	m.row, m.rowVersion, m.rowWrite = &Assignment{Pool: "pool"}, 0, 0
	m.lease, m.leaseVersion = Lease{}, 0
	m.restored++
}

// writeCopied lets a write that was meant for an earlier era replace the row of that
// era in the older copy.
func (m *modelCluster) writeCopied(write *modelWrite) { m.copied = write.next }

// restoreDuringMove makes a server leave and returns the table to a copy of before or
// during the moves of its shards. Then a daemon may fail, while others go on.
func (m *modelCluster) restoreDuringMove(t *rapid.T) {
	d := m.beginOutage(t)
	m.storeDown = false
	if d == nil {
		return
	}
	late := m.delayAnswer(t, d)
	m.announceDrained(d)
	m.flush()
	m.round(d)
	m.flush()
	m.requestMoving(t, d.coord.current)
	m.check(t)
	m.restore(t)
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
	m.settle()
	m.check(t)
	if rapid.Bool().Draw(t, "lease lapses") {
		m.advance(LeaseDuration + 2*ClockMargin)
		m.settle()
		m.spreadAll()
		m.check(t)
	}
	m.request(t)
	late()
	if rapid.Bool().Draw(t, "wait") {
		m.waitBarrier()
		m.spreadAll()
		m.settle()
	}
	m.request(t)
}

// spreadAll lets each coordinator tell all others of its assignment.
func (m *modelCluster) spreadAll() {
	for _, d := range m.daemons {
		for _, other := range m.daemons {
			if d.coord != nil && d != other {
				m.gossip(d, other)
			}
		}
	}
	m.flush()
}

// keepLease makes a coordinator of an earlier era that of the present one, if its lease
// is valid and nobody else holds it.
func (m *modelCluster) keepLease(d *modelDaemon) {
	c := d.coord
	if m.leaseVersion > 0 || !m.now.Before(c.until) {
		d.coord = nil
		return
	}
	m.kept++
	m.startControl(d, c.latest, m.now)
}

// inheritedBy returns the assignment with which a term of a daemon begins that does not
// hold the lease yet.
func (m *modelCluster) inheritedBy(d *modelDaemon) *Assignment {
	if m.row.Seq > 0 || m.copied == nil {
		return m.row
	}
	newest := m.copied
	if d.newest != nil && d.newest.NewerThan(newest) {
		newest = d.newest
	}
	m.lost++
	return newest.AsUnsettled(m.era)
}

// restoreUnheard returns the table to an older copy without the holder of the lease
// hearing of it: the holder goes on answering a dispatcher, while another daemon tries
// to become the coordinator and to move shards.
func (m *modelCluster) restoreUnheard(t *rapid.T) {
	m.settle()
	holder := m.holder()
	if holder == nil || m.storeDown {
		return
	}
	m.restore(t)
	dispatcher, successor := m.drawDaemon(t), m.drawDaemon(t)
	if dispatcher == holder || successor == holder || dispatcher == successor {
		return
	}
	m.changeServer(t)
	for range 12 {
		m.tryLease(successor)
		dispatcher.partition = partitionedFromCoordinator
		m.round(successor)
		m.flush()
		if c := successor.coord; c != nil && !c.reached {
			m.beginBarrier(successor)
			m.flush()
		}
		dispatcher.partition = notPartitioned
		m.renew(dispatcher)
		m.flush()
		m.check(t)
		m.requestAt(t, dispatcher, model.ShardID(rapid.IntRange(0, modelShards-1).Draw(t, "shard")))
		for _, other := range m.daemons {
			if other != holder && other != dispatcher {
				m.gossip(successor, other)
				m.flush()
				m.renew(other)
			}
		}
		m.flush()
		m.check(t)
		m.advance(600 * time.Millisecond)
	}
}

// holder returns a daemon that coordinates under a valid lease, or nil.
func (m *modelCluster) holder() *modelDaemon {
	for _, d := range m.daemons {
		if isRunning(d) && d.coord != nil && d.coord.current != nil && m.now.Before(d.coord.until) {
			return d
		}
	}
	return nil
}

// modelEpoch is an epoch of a shard.
type modelEpoch struct {
	shard model.ShardID
	epoch model.Epoch
}

// checkEpochOwner checks that requests for a shard go to one server under one epoch.
func (m *modelCluster) checkEpochOwner(t *rapid.T, d *modelDaemon, request *modelRequest) {
	epoch := modelEpoch{request.shard, request.epoch}
	if owner, known := m.owners[epoch]; known && owner != request.server {
		t.Fatalf("%s sends for shard %d under epoch %d to %s, which was that of %s", d.incarnation, request.shard, request.epoch, request.server, owner)
	}
	m.owners[epoch] = request.server
}
