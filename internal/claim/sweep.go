package claim

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/platform"
)

// ServiceName is the sweeper's name in the kernel.
const ServiceName kernel.Name = "claims"

// Rates of the sweep over all daemons together.
const (
	sweepSpacing  = 500 * time.Millisecond // time between two sweeps in the fleet
	sweepRows     = 50                     // rows read, and at most removed, by one sweep
	sweepTimeout  = 2 * time.Second        // bound of one table call
	sweepDepth    = 8                      // longest listed prefix, in hex digits
	sweepStart    = 2                      // shortest listed prefix, in hex digits
	sweepSeedSize = sweepDepth / 2         // bytes
)

// Sweeper removes claims that are older than the retention time. Each sweep
// lists the claims of one random prefix; while a listing is full, a longer
// prefix is listed.
type Sweeper struct {
	store      *Store
	directory  *directory.Directory
	background kernel.Background
}

// NewSweeper returns a sweeper that is not yet started.
func NewSweeper(s *Store, dir *directory.Directory) *Sweeper {
	return &Sweeper{store: s, directory: dir}
}

// Name implements kernel.Service.
func (s *Sweeper) Name() kernel.Name { return ServiceName }

// After implements kernel.Service.
func (s *Sweeper) After() []kernel.Name { return []kernel.Name{"member"} }

// Ready implements kernel.Service.
func (s *Sweeper) Ready() error { return nil }

// Start implements kernel.Service.
func (s *Sweeper) Start(context.Context) error {
	s.background.Go(s.run)
	return nil
}

// Stop implements kernel.Service.
func (s *Sweeper) Stop(context.Context) error {
	s.background.Stop()
	return nil
}

func (s *Sweeper) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.pause()):
		}
		s.sweep(ctx, randomDigits(), time.Now())
	}
}

// pause spreads the fleet's sweeps over its daemons.
func (s *Sweeper) pause() time.Duration {
	daemons := max(1, len(s.directory.Load().Daemons))
	period := sweepSpacing * time.Duration(daemons)
	return period/2 + rand.N(period)
}

func randomDigits() string {
	var seed [sweepSeedSize]byte
	for i := range seed {
		seed[i] = byte(rand.IntN(256))
	}
	return hex.EncodeToString(seed[:])
}

// sweep removes the expired claims under a prefix of digits.
func (s *Sweeper) sweep(ctx context.Context, digits string, now time.Time) {
	for length := sweepStart; length <= len(digits); length++ {
		rows, err := s.list(ctx, keyPrefix+digits[:length])
		if err != nil {
			s.store.log.Debug("claims not swept", zap.String("step", "list"), zap.String("peer", "platform"), zap.Error(err))
			return
		}
		s.remove(ctx, rows, now)
		if len(rows) < sweepRows {
			return
		}
	}
}

func (s *Sweeper) list(ctx context.Context, prefix string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	s.store.counters.reads.Add(1)
	return s.store.platform.List(ctx, prefix, sweepRows)
}

func (s *Sweeper) remove(ctx context.Context, rows []platform.Row, now time.Time) {
	for _, row := range rows {
		record, err := decode(row.Value)
		if err != nil || !record.Expired(now) {
			continue
		}
		if s.removeRow(ctx, row) {
			s.store.counters.removed.Add(1)
		}
	}
}

func (s *Sweeper) removeRow(ctx context.Context, row platform.Row) bool {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	s.store.counters.writes.Add(1)
	return s.store.platform.Delete(ctx, row.Key, row.Version) == nil
}
