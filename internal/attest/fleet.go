package attest

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/placement"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/spread"
)

// itemFleet is the only item of topicFleet; its version is that of the fleet.
const itemFleet spread.ItemName = "fleet"

// fleetItemChanged handles a fleet row received from a peer.
func (a *Attester) fleetItemChanged(item spread.Item) {
	var fleet ownership.Fleet
	if err := json.Unmarshal(item.Value, &fleet); err != nil {
		a.log.Error("fleet row received from a peer could not be decoded", zap.String("step", "decode"), zap.Error(err))
		return
	}
	a.observeFleet(fleet)
}

// observeFleet records a fleet row that the table holds or has held, and spreads it if it is
// newer than the recorded one.
func (a *Attester) observeFleet(fleet ownership.Fleet) {
	a.mu.Lock()
	newer := a.witness.ObserveFleet(fleet)
	a.mu.Unlock()
	if !newer {
		return
	}
	value, err := json.Marshal(fleet)
	if err != nil {
		a.log.Error("fleet row could not be encoded and is not spread", zap.String("step", "encode"), zap.Error(err))
		return
	}
	a.fleet.Set(spread.Item{Name: itemFleet, Version: spread.Version(fleet.Version), Value: value})
	a.spread.SchedulePush(topicFleet)
}

// storedFleet is the fleet row as read from the table.
type storedFleet struct {
	era platform.Era // of the table at the read
	// version is that of the era's row, zero if it does not exist; the fleet is then that
	// of an earlier era's row, if there is one.
	version platform.RowVersion
	fleet   ownership.Fleet
}

// readFleet reads the fleet row from the table and records the fleet. A missing row is no
// error.
func (a *Attester) readFleet(ctx context.Context) (storedFleet, error) {
	// The first answer may tell of a later era.
	_, err := a.table.Get(ctx, fleetRow)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return storedFleet{}, err
	}
	era := platform.Era(a.era.Load())
	row, err := a.table.Get(ctx, platform.EraKey(fleetRow, era))
	stored := storedFleet{era: era, version: row.Version}
	for earlier := era; errors.Is(err, platform.ErrNotFound) && earlier > platform.FirstEra; {
		earlier--
		row, err = a.table.Get(ctx, platform.EraKey(fleetRow, earlier))
	}
	if (err == nil || errors.Is(err, platform.ErrNotFound)) && row.Era != era {
		return storedFleet{}, errors.Wrapf(platform.ErrOtherEra, "read fleet row: era %d, then %d", era, row.Era)
	}
	if errors.Is(err, platform.ErrNotFound) {
		return stored, nil
	}
	if err != nil {
		return storedFleet{}, err
	}
	if err := json.Unmarshal(row.Value, &stored.fleet); err != nil {
		return storedFleet{}, errors.Wrap(err, "decode fleet row")
	}
	a.observeFleet(stored.fleet)
	return stored, nil
}

// fleetLoop writes the fleet row when the daemons in the instance list change. Only the
// daemon with the highest placement score for the row does so. If two daemons do, for example because their lists differ, the
// conditional write of one of them fails with a conflict.
func (a *Attester) fleetLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(a.fleetCheckDelay()):
		}
		if !a.synced() || !a.isFleetWriter() {
			continue
		}
		if err := a.updateFleet(ctx); err != nil {
			a.log.Debug("fleet row could not be updated", zap.String("step", "fleet"), zap.String("peer", "platform"), zap.Error(err))
		}
	}
}

func (a *Attester) fleetCheckDelay() time.Duration {
	if a.Ready() != nil {
		return firstFleetCheckInterval
	}
	return fleetCheckInterval
}

// isFleetWriter reports whether this daemon has the highest score for the fleet row among the
// daemons that are not leaving.
func (a *Attester) isFleetWriter() bool {
	var ids []string
	for id, daemon := range a.member.Members().Daemons {
		if !daemon.Leaving {
			ids = append(ids, string(id))
		}
	}
	return placement.HighestScoring(fleetRow, ids) == string(a.config.Name)
}

// listedDaemons returns the daemons of the instance list, sorted by name.
func (a *Attester) listedDaemons() []model.DaemonID {
	var ids []model.DaemonID
	for _, instance := range a.member.Members().Instances {
		if instance.Kind == platform.KindDaemon {
			ids = append(ids, model.DaemonID(instance.ID))
		}
	}
	slices.Sort(ids)
	return ids
}

// updateFleet writes the next fleet row if the list has changed. While a change is under way,
// it first asks which daemons have seen the current row: the change is completed only after
// more than half of the previous members have.
func (a *Attester) updateFleet(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	a.mu.Lock()
	current := a.witness.Fleet()
	a.mu.Unlock()
	var acked map[model.DaemonID]bool
	if len(current.Previous) > 0 {
		acked = daemonsAtVersion(a.askFleet(ctx), current.Version)
	}
	listed := a.listedDaemons()
	if len(listed) == 0 {
		return nil
	}
	next := ownership.NextFleet(current, listed, acked)
	if next == nil {
		return nil
	}
	stored, err := a.readFleet(ctx)
	if err != nil {
		return err
	}
	switch {
	case stored.fleet.Version > current.Version:
		return nil // recorded; the next check goes on from it
	case stored.version == 0 && current.Version > 0:
		return a.restoreFleet(ctx, stored, current)
	case stored.fleet.Version < current.Version:
		return errors.Errorf("fleet row has version %d, which is older than version %d", stored.fleet.Version, current.Version)
	}
	next.Version = max(next.Version, ownership.FleetVersion(platform.NextInEra(0, stored.era)))
	return a.writeFleet(ctx, stored, next)
}

// restoreFleet writes the fleet again in an era of the table that has no fleet row, under a
// version above all that the table may have lost. More than half of the fleet must know no
// newer fleet.
func (a *Attester) restoreFleet(ctx context.Context, stored storedFleet, current ownership.Fleet) error {
	agreeing := map[model.DaemonID]bool{}
	for _, s := range a.askFleet(ctx) {
		if s.Fleet <= current.Version {
			agreeing[s.Daemon] = true
		}
	}
	if !current.Quorum(agreeing) {
		return errors.Errorf("fleet version %d is not known to be the newest: %d daemons know no newer one", current.Version, len(agreeing))
	}
	current.Version = ownership.FleetVersion(platform.NextInEra(uint64(current.Version), stored.era))
	return a.writeFleet(ctx, stored, &current)
}

// daemonsAtVersion returns the daemons that have seen the given version of the fleet row or a
// later one.
func daemonsAtVersion(attestations []ownership.Attestation, version ownership.FleetVersion) map[model.DaemonID]bool {
	daemons := map[model.DaemonID]bool{}
	for _, s := range attestations {
		if s.Fleet >= version {
			daemons[s.Daemon] = true
		}
	}
	return daemons
}

// writeFleet writes the fleet row if the table still holds what was read. After a conflict
// it reads the row instead.
func (a *Attester) writeFleet(ctx context.Context, stored storedFleet, next *ownership.Fleet) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode fleet row")
	}
	_, err = platform.WriteAndConfirm(ctx, a.table, platform.Write{
		Key:     platform.EraKey(fleetRow, stored.era),
		Value:   value,
		Expect:  stored.version,
		WriteID: platform.WriteID(uuid.NewString()),
		Era:     stored.era,
	})
	if errors.Is(err, platform.ErrConflict) {
		_, err = a.readFleet(ctx)
		return err
	}
	if err != nil {
		return errors.Wrap(err, "write fleet row")
	}
	a.observeFleet(*next)
	return nil
}
