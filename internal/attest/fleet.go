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

// itemFleet is the only item of the fleet topic; its version is the fleet's.
const itemFleet spread.ItemName = "fleet"

// learnFleet takes a fleet row that a peer spread.
func (a *Attest) learnFleet(item spread.Item) {
	var fleet ownership.Fleet
	if err := json.Unmarshal(item.Value, &fleet); err != nil {
		a.log.Error("fleet not read", zap.String("step", "decode"), zap.Error(err))
		return
	}
	a.hearFleet(fleet)
}

// hearFleet takes a fleet row that the table holds or held.
func (a *Attest) hearFleet(fleet ownership.Fleet) {
	a.mu.Lock()
	newer := a.witness.ObserveFleet(fleet)
	a.mu.Unlock()
	if !newer {
		return
	}
	value, err := json.Marshal(fleet)
	if err != nil {
		a.log.Error("fleet not spread", zap.String("step", "encode"), zap.Error(err))
		return
	}
	a.fleet.Set(spread.Item{Name: itemFleet, Version: spread.Version(fleet.Version), Value: value})
	a.spread.Changed(topicFleet)
}

// readFleet reads the fleet row from the table.
func (a *Attest) readFleet(ctx context.Context) error {
	row, err := a.table.Get(ctx, fleetRow)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var fleet ownership.Fleet
	if err := json.Unmarshal(row.Value, &fleet); err != nil {
		return errors.Wrap(err, "decode fleet")
	}
	a.hearFleet(fleet)
	return nil
}

// keepFleet writes the fleet row when the listed daemons changed. One daemon,
// the first by score, does it; a second one at the same time meets a conflict.
func (a *Attest) keepFleet(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(a.fleetPause()):
		}
		if !a.informed() || !a.keepsFleet() {
			continue
		}
		if err := a.updateFleet(ctx); err != nil {
			a.log.Debug("fleet not written", zap.String("step", "fleet"), zap.String("peer", "platform"), zap.Error(err))
		}
	}
}

func (a *Attest) fleetPause() time.Duration {
	if a.Ready() != nil {
		return firstPeriod
	}
	return fleetPeriod
}

func (a *Attest) keepsFleet() bool {
	var ids []string
	for id, daemon := range a.member.Members().Daemons {
		if !daemon.Leaving {
			ids = append(ids, string(id))
		}
	}
	return placement.First(fleetRow, ids) == string(a.config.Name)
}

// listed returns the daemons of the instance list in the order of their names.
func (a *Attest) listed() []model.DaemonID {
	var ids []model.DaemonID
	for _, instance := range a.member.Members().Instances {
		if instance.Kind == platform.KindDaemon {
			ids = append(ids, model.DaemonID(instance.ID))
		}
	}
	slices.Sort(ids)
	return ids
}

func (a *Attest) updateFleet(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	a.mu.Lock()
	current := a.witness.Fleet()
	a.mu.Unlock()
	var knowing map[model.DaemonID]bool
	if len(current.Previous) > 0 {
		knowing = knowingFleet(a.round(ctx), current.Version)
	}
	listed := a.listed()
	if len(listed) == 0 {
		return nil
	}
	next := ownership.NextFleet(current, listed, knowing)
	if next == nil {
		return nil
	}
	return a.writeFleet(ctx, next)
}

func knowingFleet(statements []ownership.Attestation, version ownership.FleetVersion) map[model.DaemonID]bool {
	knowing := map[model.DaemonID]bool{}
	for _, s := range statements {
		if s.Fleet >= version {
			knowing[s.Daemon] = true
		}
	}
	return knowing
}

// writeFleet writes the row; the row's version in the table equals the fleet's.
func (a *Attest) writeFleet(ctx context.Context, next *ownership.Fleet) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode fleet")
	}
	_, err = platform.Resolve(ctx, a.table, platform.Write{
		Key:     fleetRow,
		Value:   value,
		Expect:  platform.RowVersion(next.Version - 1),
		WriteID: platform.WriteID(uuid.NewString()),
	})
	if errors.Is(err, platform.ErrConflict) {
		return a.readFleet(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "write fleet")
	}
	a.hearFleet(*next)
	return nil
}
