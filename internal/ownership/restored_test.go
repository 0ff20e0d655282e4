package ownership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// Guards against a candidate that takes over the lease of a holder whose row the table
// has lost, while that lease is still valid.
func TestLeaseLostByTheTableIsWaitedFor(t *testing.T) {
	const laterEra = platform.FirstEra + 1
	now := time.Unix(1_000_000, 0)
	var watch LeaseWatch
	watch.Observe(0, now)
	must.True(t, watch.CanAcquire(Lease{}, platform.FirstEra, "d1", now))
	must.False(t, watch.CanAcquire(Lease{}, laterEra, "d1", now.Add(LeaseDuration)))
	must.True(t, watch.CanAcquire(Lease{}, laterEra, "d1", now.Add(LeaseDuration+ClockMargin)))
	must.True(t, watch.CanAcquire(Lease{Term: Lease{}.NextTerm(laterEra)}, laterEra, "d1", now))
}

// Guards against a daemon that has read an older copy of the table since its start and
// attests that a version is the newest, although the table has lost a later one.
func TestWitnessOfAnOlderCopyAttestsNoEarlierEra(t *testing.T) {
	fleet := Fleet{Version: 1, Members: []model.DaemonID{"d1"}}
	witness := NewWitness()
	witness.ObserveFleet(fleet)
	witness.Observe("drafts", 7)
	witness.MarkSynced(platform.FirstEra + 1)
	attestations := []Attestation{witness.Attest("d1")}
	must.False(t, witness.AttestedNewest("drafts", 7, attestations))
	first := model.Seq(platform.NextInEra(7, platform.FirstEra+1))
	must.True(t, witness.AttestedNewest("drafts", first, attestations))
}

// Guards against terms, versions and epochs of a later era that are not above all of the
// era before, and so may be given out twice.
func TestNumbersRiseOverEras(t *testing.T) {
	view := testView()
	first := firstAssignment(t, view)
	must.Eq(t, 1, first.Seq)
	view.Era = 2
	view.Term = Lease{}.NextTerm(view.Era)
	next, _ := Plan(first.AsUnsettled(view.Era), view)
	must.NotNil(t, next)
	must.Eq(t, platform.Era(2), EraOf(next.Seq))
	must.Greater(t, first.Seq+1000, next.Seq)
	must.Greater(t, first.Shards[0].Epoch+1000, next.Shards[0].Epoch)
	must.Greater(t, model.Term(1000), view.Term)
}

// Guards against a coordinator that gives keys to a server while dispatchers may still
// send to another one under versions that the table has lost.
func TestUnsettledAssignmentAllowsNothingBeforeItsBarrier(t *testing.T) {
	view := testView()
	first := firstAssignment(t, view)
	view.Era, view.Term = 2, Lease{}.NextTerm(2)
	unsettled, _ := Plan(first.AsUnsettled(view.Era), view)
	must.True(t, unsettled.Unsettled)
	must.SliceEmpty(t, PermitsOf(unsettled, "d1", "life", view.Now))

	view.BarrierSeq = first.Seq
	next, _ := Plan(unsettled, view)
	must.Nil(t, next)

	successor := view
	successor.Term++
	successor.BarrierSeq = unsettled.Seq
	next, _ = Plan(unsettled, successor)
	must.True(t, next.Unsettled)

	view.BarrierSeq = unsettled.Seq
	next, _ = Plan(unsettled, view)
	must.False(t, next.Unsettled)
	must.SliceNotEmpty(t, PermitsOf(next, "d1", "life", view.Now))
}
