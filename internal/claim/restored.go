package claim

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/platform"
)

// The store may come back from an older copy, which begins its next era. Claims made
// since the copy are then lost, or shown in an earlier state. Each daemon remembers its
// recent claims and writes them again. Until all have done so nothing is claimed.

// Limits of the claims that are written again.
const (
	rememberTime     = time.Minute            // for which a claim is remembered after it was made
	maxRecentClaims  = 4096                   // claims that are remembered; the oldest are forgotten first
	rewriteTasks     = 16                     // claims that are written again at the same time
	rewritePause     = 100 * time.Millisecond // before a failed write is repeated
	prunePeriod      = time.Second            // time between two searches for claims to forget
	settleLimit      = 15 * time.Second       // after which claims of daemons that don't answer are waited for no longer
	rewriteTimeLimit = settleLimit            // for writing all claims again
)

// Confirmations tells which daemons have written their claims again.
type Confirmations interface {
	// AllConfirmed reports whether all other daemons have done so in an era.
	AllConfirmed(era platform.Era) bool
	// Confirm tells the other daemons that this one has.
	Confirm(era platform.Era)
}

// eraState is what a store knows of the table's eras.
type eraState struct {
	mu        sync.Mutex
	newest    platform.Era
	since     time.Time    // when newest was noticed
	rewritten platform.Era // newest era for which this daemon has written its claims again
	settled   platform.Era // newest era for which all daemons have, or for which settleLimit has passed
	others    Confirmations
}

// recentClaims are the claims that this daemon writes again if the store loses them.
type recentClaims struct {
	mu       sync.Mutex
	claims   map[*Claim]time.Time // with the time at which each was made
	prunedAt time.Time            // when the older ones were last dropped
}

// SetConfirmations sets how the store learns of the other daemons. Without, each later
// era is settled after settleLimit. It must be called before the first claim.
func (s *Store) SetConfirmations(others Confirmations) {
	s.eras.mu.Lock()
	defer s.eras.mu.Unlock()
	s.eras.others = others
}

// noticeEra starts to write the claims again when an era is new. A store has no claims
// when it notices its first era.
func (s *Store) noticeEra(era platform.Era) {
	s.eras.mu.Lock()
	defer s.eras.mu.Unlock()
	if era <= s.eras.newest {
		return
	}
	first := s.eras.newest == 0
	s.eras.newest, s.eras.since = era, time.Now()
	if era == platform.FirstEra {
		s.eras.rewritten, s.eras.settled = era, era
		return
	}
	if !first {
		s.log.Warn("the store came back from an older copy", zap.String("step", "claims"), zap.String("peer", "platform"), zap.Uint64("era", uint64(era)))
	}
	go s.rewrite(era)
}

// settledEra returns the newest era if all claims that the store has lost are written
// again, as far as can be known, and ErrStoreUnavailable otherwise.
func (s *Store) settledEra(ctx context.Context) (platform.Era, error) {
	s.eras.mu.Lock()
	known := s.eras.newest != 0
	s.eras.mu.Unlock()
	if !known {
		s.counters.reads.Add(1)
		if _, err := s.platform.Get(ctx, keyPrefix); err != nil && !errors.Is(err, platform.ErrNotFound) {
			return 0, errors.Wrapf(ErrStoreUnavailable, "read the era: %v", err)
		}
	}
	s.eras.mu.Lock()
	defer s.eras.mu.Unlock()
	e := &s.eras
	if e.settled == e.newest {
		return e.newest, nil
	}
	confirmed := e.rewritten == e.newest && e.others != nil && e.others.AllConfirmed(e.newest)
	if !confirmed && time.Since(e.since) < settleLimit {
		s.counters.unsettled.Add(1)
		return 0, errors.Wrapf(ErrStoreUnavailable, "the store came back from an older copy: not all claims are written again in era %d", e.newest)
	}
	if !confirmed {
		s.log.Warn("not all daemons have written their claims again; some may be lost", zap.String("step", "claims"), zap.Uint64("era", uint64(e.newest)))
	}
	e.settled = e.newest
	return e.newest, nil
}

// remember keeps a claim for rememberTime.
func (s *Store) remember(c *Claim) {
	now := time.Now()
	r := &s.recent
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claims[c] = now
	if len(r.claims) <= maxRecentClaims && now.Sub(r.prunedAt) < prunePeriod {
		return
	}
	r.prunedAt = now
	oldest := c
	for claim, at := range r.claims {
		if now.Sub(at) > rememberTime {
			delete(r.claims, claim)
		} else if at.Before(r.claims[oldest]) {
			oldest = claim
		}
	}
	if len(r.claims) > maxRecentClaims {
		delete(r.claims, oldest)
		s.counters.forgotten.Add(1)
	}
}

// forget drops a claim that was not made.
func (s *Store) forget(c *Claim) {
	s.recent.mu.Lock()
	defer s.recent.mu.Unlock()
	delete(s.recent.claims, c)
}

// remembered returns the remembered claims.
func (s *Store) remembered() []*Claim {
	s.recent.mu.Lock()
	defer s.recent.mu.Unlock()
	return slices.Collect(maps.Keys(s.recent.claims))
}

// rewrite writes the remembered claims again in an era and confirms it to the others.
// Claims that can't be written within rewriteTimeLimit stay lost.
func (s *Store) rewrite(era platform.Era) {
	ctx, cancel := context.WithTimeout(context.Background(), rewriteTimeLimit)
	defer cancel()
	tasks := make(chan struct{}, rewriteTasks)
	var wg sync.WaitGroup
	for _, c := range s.remembered() {
		tasks <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.rewriteUntil(ctx, era)
			<-tasks
		}()
	}
	wg.Wait()
	if ctx.Err() != nil {
		s.log.Error("claims could not be written again in time; some may be lost", zap.String("step", "claims"), zap.String("peer", "platform"), zap.Uint64("era", uint64(era)))
		return
	}
	s.eras.mu.Lock()
	s.eras.rewritten = max(s.eras.rewritten, era)
	others := s.eras.others
	s.eras.mu.Unlock()
	if others != nil {
		others.Confirm(era)
	}
}

// rewriteUntil writes a claim again until it is in the table in an era or ctx ends.
func (c *Claim) rewriteUntil(ctx context.Context, era platform.Era) {
	for ctx.Err() == nil {
		c.mu.Lock()
		var err error
		if c.held && c.era < era {
			err = c.writeAgain(ctx)
		}
		done := !c.held || (err == nil && c.era >= era)
		c.mu.Unlock()
		if done {
			return
		}
		time.Sleep(rewritePause)
	}
}

// writeAgain reads the row and makes it state the claim's record, whatever older state
// the table shows. An attempt with an unknown outcome may be repeated. c.mu must be held.
func (c *Claim) writeAgain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	c.store.counters.reads.Add(1)
	row, err := c.store.platform.Get(ctx, string(c.key))
	missing := errors.Is(err, platform.ErrNotFound)
	if err != nil && !missing {
		return err
	}
	if !missing {
		found, err := decode(row.Value)
		if err != nil {
			return err
		}
		if reflect.DeepEqual(*found, c.record) {
			c.era, c.version = row.Era, row.Version
			return nil
		}
		if c.yieldsTo(found) {
			c.era, c.version = row.Era, 0 // so that no later write replaces the row
			return nil
		}
	}
	write, err := c.newWrite(row.Version)
	if err != nil {
		return err
	}
	write.Era = row.Era
	version, err := platform.WriteAndConfirm(ctx, c.store.platform, write)
	if err != nil {
		return err
	}
	c.era, c.version = row.Era, version
	c.store.counters.rewritten.Add(1)
	return nil
}

// yieldsTo reports whether the record of another request stays in the row: a released
// claim yields to any, another one to a request that was claimed in a later era. The
// latter happens only after settleLimit, and both requests may then have run. A record
// of the same era or an earlier one is older, or is that of a write that was meant for
// the era before, whose request is not dispatched.
func (c *Claim) yieldsTo(found *Record) bool {
	if found.Request == c.record.Request && found.Holder == c.record.Holder {
		return false
	}
	if c.record.State == Released {
		return true
	}
	if found.State == Released || found.Era <= c.record.Era {
		return false
	}
	c.store.log.Error("a request with the same idempotency key was claimed after the store had lost this claim; both may have run",
		zap.String("step", "claims"), zap.String("request", string(c.record.Request)), zap.String("other_request", string(found.Request)))
	return true
}
