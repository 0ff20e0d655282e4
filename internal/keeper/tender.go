package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/model"
)

const (
	tendPeriod    = 50 * time.Millisecond  // time between two looks at what is due
	balancePeriod = 400 * time.Millisecond // time between two looks at the balance
	goneGrace     = 2200 * time.Millisecond
	massGone      = 0.3 // share of a service's owners whose disappearance looks like an outage
	writeTimeout  = time.Second
	outageTending = 12 * time.Second       // renewals go on for this time without a word from the store
	standStill    = time.Second            // a keeper that stood still for this time asks who keeps the keys
	failedPause   = 300 * time.Millisecond // no keys move for this time after a write failed
)

// errDeposed says that another keeper has the service.
var errDeposed = errors.New("keeper: another daemon keeps the keys")

// tender tends the keys of one service while this daemon is its keeper.
type tender struct {
	keeper  *Keeper
	service model.PoolName
	log     *zap.Logger

	mu      sync.Mutex
	owners  *catalog.Owners
	holders map[model.ServerID]*holder
	moving  []catalog.Range // runs that change hands or fences: not renewed
	load    *load
	// othersUntil is the moment until which an earlier keeper may have grants in force.
	othersUntil time.Time
	// othersMove is the moment until which an earlier keeper may have servers
	// release keys: an answered release does not tell that no work goes on.
	othersMove time.Time
	goneAt     map[model.ServerID]time.Time
	deposed    bool
	balancedAt time.Time
	movesAfter time.Time // no keys move before
	confirmed  time.Time // the store last answered; used by renewLoop only

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newTender(k *Keeper, owners *catalog.Owners, othersUntil time.Time) *tender {
	t := &tender{
		keeper:      k,
		service:     owners.Service,
		log:         k.log.With(zap.String("service", string(owners.Service)), zap.Uint64("term", uint64(owners.Term))),
		owners:      owners,
		holders:     map[model.ServerID]*holder{},
		load:        newLoad(time.Now()),
		othersUntil: othersUntil,
		goneAt:      map[model.ServerID]time.Time{},
		confirmed:   time.Now(),
	}
	if owners.EarlierKeeperMayRenew {
		t.othersMove = time.Now().Add(storeFresh + runOut(k.hold()))
	}
	t.load.restore(owners.Load)
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.done.Add(2)
	go t.renewLoop()
	go t.moveLoop()
	return t
}

func (t *tender) stop() {
	t.cancel()
	t.done.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.holders {
		h.calls.close()
	}
}

// report takes what a daemon saw.
func (t *tender) report(stats *keyedReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.load.add(stats)
}

// term counts the keepers up to this one.
func (t *tender) term() model.Term {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owners.Term
}

// othersEndAt notes that the earlier keeper has given up: its last grants have run
// out at that time.
func (t *tender) othersEndAt(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !until.Before(t.othersUntil) {
		return
	}
	t.othersMove = time.Time{}
	for _, h := range t.holders {
		h.taken = false // what the earlier keeper had it release comes back with the next grant
		if h.heldUntil.Equal(t.othersUntil) {
			h.heldUntil = until
		}
		if h.earlierUntil.Equal(t.othersUntil) {
			h.earlierUntil = until
		}
	}
	t.othersUntil = until
}

// isDeposed reports that the tender has ended by itself.
func (t *tender) isDeposed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deposed
}

// depose ends the tender.
func (t *tender) depose(why string, fields ...zap.Field) {
	t.mu.Lock()
	first := !t.deposed
	t.deposed = true
	t.mu.Unlock()
	if first {
		t.log.Warn("keys not kept any more", append(fields, zap.String("why", why))...)
	}
	t.cancel()
}
