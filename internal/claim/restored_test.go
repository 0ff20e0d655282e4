package claim

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

const maxCopyAgeMS = 20 // of the copies to which the store returns

// allStores are the confirmations of the fixture's stores: a store has confirmed an era
// when it has noticed it and written its claims again.
type allStores struct{ f *fixture }

// AllConfirmed implements Confirmations.
func (a allStores) AllConfirmed(era platform.Era) bool {
	for _, s := range a.f.confirmed {
		if s < era {
			return false
		}
	}
	return true
}

// confirmation are the confirmations of one of the fixture's stores.
type confirmation struct {
	allStores
	daemon int
}

// Confirm implements Confirmations.
func (c confirmation) Confirm(era platform.Era) {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.confirmed[c.daemon] = max(c.f.confirmed[c.daemon], era)
}

// AllConfirmed implements Confirmations.
func (c confirmation) AllConfirmed(era platform.Era) bool {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	return c.allStores.AllConfirmed(era)
}

// unconfirmedTime is the time for which a store is seen to claim nothing while another one has
// not confirmed. It has written its own claims again long before.
const unconfirmedTime = 200 * time.Millisecond

// heldConfirmation confirms an era only once mayConfirm is closed.
type heldConfirmation struct {
	confirmation
	mayConfirm <-chan struct{}
}

// Confirm implements Confirmations.
func (c heldConfirmation) Confirm(era platform.Era) {
	<-c.mayConfirm
	c.confirmation.Confirm(era)
}

// TestOneHolderAtATimeOverRestoredStore claims and finishes requests as
// TestOneHolderAtATime does, while the store returns to older copies. It guards against a
// second run of a request whose claim the store has lost, or shows as released again.
func TestOneHolderAtATimeOverRestoredStore(t *testing.T) {
	f := startFixture(t)
	for daemon, s := range f.stores {
		s.SetConfirmations(confirmation{allStores{f}, daemon})
	}
	checks, restored, claimedAfter := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		checks++
		key := KeyOf("t", "r", strconv.Itoa(checks))
		ran, returns, claims := 0, 0, map[int]*Claim{}
		ctx := context.Background()
		for step := range rapid.IntRange(1, 16).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "restored") == 0 {
				f.standin.SetFaults(platformd.Faults{})
				f.standin.Restore(time.Duration(rapid.IntRange(1, maxCopyAgeMS).Draw(t, "age")) * time.Millisecond)
				returns++
				f.settle(t)
				continue
			}
			f.standin.SetFaults(platformd.Faults{DropWriteResponses: rapid.IntRange(0, 1).Draw(t, "lost")})
			daemon := rapid.IntRange(0, 1).Draw(t, "daemon")
			held := claims[daemon]
			if held == nil {
				r := request(key)
				r.Request = model.RequestID(fmt.Sprintf("r%d.%d", checks, step))
				claimed, _, err := f.stores[daemon].Claim(ctx, r)
				if err == nil && claimed != nil {
					claims[daemon] = claimed
					claimedAfter += min(returns, 1)
				}
				if len(claims) > 1 || (claimed != nil && ran > 0) {
					t.Fatalf("claimed with %d holders after %d runs", len(claims), ran)
				}
				continue
			}
			delete(claims, daemon)
			if rapid.Bool().Draw(t, "runs") {
				ran++
				_ = held.Complete(ctx, &Response{Status: 200})
				continue
			}
			_ = held.Release(ctx)
		}
		restored += returns
	})
	t.Logf("%d returns of the store and %d claims after one in %d histories", restored, claimedAfter, checks)
	must.Positive(t, restored)
	must.Positive(t, claimedAfter)
}

// confirmLimit is the time within which stores that keep calling the platform confirm an era.
const confirmLimit = 10 * time.Second

// settle lets the stores notice a new era, in some histories, and in some of these write
// their claims again.
func (f *fixture) settle(t *rapid.T) {
	if rapid.Bool().Draw(t, "unheard") {
		return
	}
	f.callAll()
	era := platform.Era(f.standin.Era())
	if !rapid.Bool().Draw(t, "wait") {
		return
	}
	confirmations := confirmation{allStores{f}, 0}
	for end := time.Now().Add(confirmLimit); !confirmations.AllConfirmed(era); {
		if time.Now().After(end) {
			t.Fatalf("era %d is not confirmed after %v: %v", era, confirmLimit, f.confirmedEras())
		}
		time.Sleep(time.Millisecond)
		f.callAll()
	}
}

// callAll has each store claim a key that is not used otherwise. A store that has not settled
// an earlier era yet refuses without a call to the platform, and notices no newer one.
func (f *fixture) callAll() {
	for _, s := range f.stores {
		_, _, _ = s.Claim(context.Background(), request(KeyOf("t", "r", "other")))
	}
}

// confirmedEras returns the newest era that each store has confirmed.
func (f *fixture) confirmedEras() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.confirmed)
}

// Guards against a key that is claimed at a daemon before the daemon that had claimed it
// has written its lost claim again.
func TestNothingIsClaimedBeforeLostClaimsAreWrittenAgain(t *testing.T) {
	f := startFixture(t)
	mayConfirm := make(chan struct{})
	f.stores[0].SetConfirmations(heldConfirmation{confirmation{allStores{f}, 0}, mayConfirm})
	f.stores[1].SetConfirmations(confirmation{allStores{f}, 1})
	ctx := context.Background()
	key := KeyOf("t", "r", "k")
	held, _, err := f.stores[0].Claim(ctx, request(key))
	must.NoError(t, err)
	must.NoError(t, held.Complete(ctx, &Response{Status: 200}))
	f.standin.Restore(time.Minute)

	for end := time.Now().Add(unconfirmedTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		_, _, err = f.stores[1].Claim(ctx, request(key))
		must.ErrorIs(t, err, ErrStoreUnavailable)
	}
	_, _, err = f.stores[0].Claim(ctx, request(KeyOf("t", "r", "other")))
	must.ErrorIs(t, err, ErrStoreUnavailable)
	close(mayConfirm)

	deadline := time.Now().Add(5 * time.Second)
	var found *Record
	for found == nil && time.Now().Before(deadline) {
		held, found, _ = f.stores[1].Claim(ctx, request(key))
		must.Nil(t, held)
		time.Sleep(time.Millisecond)
	}
	must.NotNil(t, found)
	must.Eq(t, Completed, found.State)
}
