package claim

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/directory"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/member"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/spread"
)

// ServiceName is the name of the sweeper in the kernel.
const ServiceName kernel.Name = "claims"

// Limits of the sweeps.
const (
	sweepInterval     = 500 * time.Millisecond // average time between two sweeps by any daemon of the fleet
	sweepRows         = 50                     // maximum number of rows of one listing
	sweepTimeout      = 2 * time.Second        // time limit of one table call
	maxPrefixDigits   = 8                      // length of the longest listed prefix, in hex digits
	minPrefixDigits   = 2                      // length of the shortest listed prefix, in hex digits
	randomPrefixBytes = maxPrefixDigits / 2    // random bytes of a prefix, two digits each
)

// Sweeper removes claims that are older than Retention. Each sweep lists the claims
// whose key starts with a random prefix. While a listing is full, the prefix is
// extended by one digit and listed again.
type Sweeper struct {
	store      *Store
	directory  *directory.Directory
	background kernel.Background
}

// NewSweeper returns a sweeper that is not yet started. It makes the store exchange
// confirmations with the other daemons.
func NewSweeper(s *Store, dir *directory.Directory, m *member.Tracker, sp *spread.Replicator) *Sweeper {
	s.SetConfirmations(newFleetConfirmations(s, m, sp))
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
		s.sweep(ctx, randomPrefix(), time.Now())
	}
}

// pause returns the time until the next sweep of this daemon: a random time that is
// sweepInterval times the number of daemons on average.
func (s *Sweeper) pause() time.Duration {
	daemons := max(1, len(s.directory.Load().Daemons))
	period := sweepInterval * time.Duration(daemons)
	return period/2 + rand.N(period)
}

// randomPrefix returns maxPrefixDigits random hex digits.
func randomPrefix() string {
	var seed [randomPrefixBytes]byte
	for i := range seed {
		seed[i] = byte(rand.IntN(256))
	}
	return hex.EncodeToString(seed[:])
}

// sweep removes the expired claims among those listed for prefixes of digits.
func (s *Sweeper) sweep(ctx context.Context, digits string, now time.Time) {
	for length := minPrefixDigits; length <= len(digits); length++ {
		rows, err := s.list(ctx, keyPrefix+digits[:length])
		if err != nil {
			s.store.log.Debug("listing claims to remove the expired ones failed", zap.String("step", "list"), zap.String("peer", "platform"), zap.Error(err))
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
