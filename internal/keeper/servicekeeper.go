package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/retry"
)

const (
	loopPeriod           = 50 * time.Millisecond   // between two checks for due grants and moves
	balancePeriod        = 400 * time.Millisecond  // between two rounds of balancing
	missingGrace         = 2200 * time.Millisecond // for which unregistered servers keep their keys in a likely outage
	outageShare          = 0.3                     // share of unregistered owners above which an outage of the store is likely
	writeTimeout         = time.Second             // of one attempt to write the owners record
	maxRenewWithoutStore = 12 * time.Second        // grants are renewed for this time without an answer from the store
	maxPause             = time.Second             // a keeper that was paused for longer steps down, as another may have taken over
)

// errSteppedDown says that this daemon is not the keeper of the service any more.
var errSteppedDown = errors.New("keeper: another daemon is the keeper of the service")

// serviceKeeper does the work of the keeper of one service: it renews the grants and
// moves keys between servers, until it is stopped or steps down.
type serviceKeeper struct {
	keeper  *Keeper
	service model.PoolName
	log     *zap.Logger

	mu      sync.Mutex
	owners  *catalog.Owners
	holders map[model.ServerID]*holder
	moving  []Move // moves in progress: the grants of their keys are not renewed
	load    *load  // as reported by all daemons
	// earlierGrantsUntil is the time until which grants of an earlier keeper may be in
	// force.
	earlierGrantsUntil time.Time
	// earlierReleasesUntil is the time until which an earlier keeper may still make
	// servers release keys. Before, the answer to a release does not say that all work
	// on the keys has ended.
	earlierReleasesUntil time.Time
	leaving              leavingServers
	missingSince         map[model.ServerID]time.Time // when an owner was first seen unregistered in a likely outage
	steppedDown          bool
	balancedAt           time.Time // when the last round of balancing began
	noMovesBefore        time.Time // after a failed write
	writePauses          retry.Backoff
	recordsSeenAt        time.Time // as of when no other keeper was named; used by renewLoop only
	doubt                doubt     // used by moveLoop only

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newServiceKeeper(k *Keeper, owners *catalog.Owners, earlierGrantsUntil time.Time) *serviceKeeper {
	s := &serviceKeeper{
		keeper:             k,
		service:            owners.Service,
		log:                k.log.With(zap.String("service", string(owners.Service)), zap.Uint64("term", uint64(owners.Term))),
		owners:             owners,
		holders:            map[model.ServerID]*holder{},
		load:               newLoad(time.Now()),
		earlierGrantsUntil: earlierGrantsUntil,
		leaving:            leavingServers{},
		missingSince:       map[model.ServerID]time.Time{},
		writePauses:        writeRetries(),
		recordsSeenAt:      time.Now(),
	}
	if owners.EarlierKeeperMayRenew {
		s.earlierReleasesUntil = time.Now().Add(maxStoreAge + maxGrantLifetime(k.grantHold()))
	}
	s.load.restore(owners.Load, time.Now())
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.done.Add(2)
	go s.renewLoop()
	go s.moveLoop()
	return s
}

// stop ends the goroutines, waits for them, and closes the connections to the servers.
func (s *serviceKeeper) stop() {
	s.cancel()
	s.done.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holders {
		h.client.close()
	}
}

// addReport adds the load that a daemon reported.
func (s *serviceKeeper) addReport(stats *keyedReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load.add(stats, time.Now())
}

// supersededBy reports whether the owners name another process as keeper, of a later term.
func (s *serviceKeeper) supersededBy(owners *catalog.Owners) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	same := owners.Keeper == s.owners.Keeper && owners.KeeperIncarnation == s.owners.KeeperIncarnation
	return !same && owners.LaterTermThan(s.owners)
}

// yieldsTo reports whether this keeper's term is before that of a request.
func (s *serviceKeeper) yieldsTo(r *yieldRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.laterThan(s.owners)
}

// endEarlierGrantsAt records that the earlier keeper has stepped down and that its last
// grants will have expired at the given time.
func (s *serviceKeeper) endEarlierGrantsAt(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !until.Before(s.earlierGrantsUntil) {
		return
	}
	s.earlierReleasesUntil = time.Time{}
	for _, h := range s.holders {
		h.acceptedGrants = false // the next grant restores what the earlier keeper made the server release
		h.held.endEarlier(until)
		h.earlierProcess.endEarlier(until)
	}
	s.earlierGrantsUntil = until
}

// hasSteppedDown reports whether stepDown was called.
func (s *serviceKeeper) hasSteppedDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.steppedDown
}

// stepDown ends the renewals and moves of the service. It does not wait for them.
func (s *serviceKeeper) stepDown(reason string, fields ...zap.Field) {
	s.mu.Lock()
	first := !s.steppedDown
	s.steppedDown = true
	s.mu.Unlock()
	if first {
		s.log.Warn("stepped down as keeper", append(fields, zap.String("why", reason))...)
	}
	s.cancel()
}
