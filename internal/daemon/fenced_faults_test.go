package daemon_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

const (
	faultSteps       = 14
	maxFaultInterval = 350 * time.Millisecond
)

// faultInjector injects random faults into a cluster and records them in log.
type faultInjector struct {
	*cluster
	rng     *rand.Rand
	started int
	log     []string
}

func (f *faultInjector) record(format string, args ...any) {
	f.log = append(f.log, fmt.Sprintf(format, args...))
}

// randomServer picks a running server of the keyed service, with its index.
func (f *faultInjector) randomServer() (int, *fenced.Server) {
	i := f.rng.IntN(len(f.servers))
	return i, f.servers[i]
}

func (f *faultInjector) step() {
	switch f.rng.IntN(7) {
	case 0: // a server crashes and another one starts at its address
		i, s := f.randomServer()
		f.record("%s crashes and is replaced at its address", s.ID())
		address := s.Address()
		s.Crash()
		time.Sleep(time.Duration(f.rng.IntN(300)) * time.Millisecond)
		f.started++
		f.servers[i] = f.startServer(fmt.Sprintf("replacement-%d", f.started), "drafts", address)
		f.servers = f.servers[:len(f.servers)-1]
		s.Unregister()
	case 1: // a server is replaced gracefully
		i, s := f.randomServer()
		f.record("%s drains", s.ID())
		f.started++
		f.servers[i] = f.startServer(fmt.Sprintf("replacement-%d", f.started), "drafts", anyAddress)
		f.servers = f.servers[:len(f.servers)-1]
		s.Drain()
	case 2: // the keeper crashes and a daemon of the same name starts
		if keeper := f.keeper(); keeper != nil {
			f.record("keeper %s is lost", keeper.Config().Name)
			keeper.Kill()
			f.daemons = f.daemonsExcept(keeper)
			f.startDaemon(string(keeper.Config().Name), string(keeper.Config().Zone))
		}
	case 3: // the store is unavailable for up to 1.5 s
		f.record("store down")
		f.store.SetFaults(platformd.Faults{Down: true, ListDown: true})
		time.Sleep(time.Duration(f.rng.IntN(1500)) * time.Millisecond)
		f.store.SetFaults(platformd.Faults{})
	case 4: // the responses to three store writes are lost
		f.record("lost responses")
		f.store.SetFaults(platformd.Faults{DropWriteResponses: 3})
	case 5: // a registration expires and is renewed
		_, s := f.randomServer()
		f.record("registration of %s expires", s.ID())
		s.Unregister()
		time.Sleep(time.Duration(f.rng.IntN(800)) * time.Millisecond)
		s.Register()
	case 6: // the store has no change history for 100 ms
		f.record("history gone")
		f.store.SetFaults(platformd.Faults{HistoryGone: true})
		time.Sleep(100 * time.Millisecond)
		f.store.SetFaults(platformd.Faults{})
	}
}

// Under any sequence of faults of servers, keeper and store, also simultaneous ones,
// each key has at most one owner at a time, its fences increase, and all keys are
// served again after the faults end.
func TestOneOwnerUnderRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4, 4, 0)
			f := &faultInjector{cluster: c, rng: rand.New(rand.NewPCG(seed, 20261204))}
			stop := c.load(c.daemons...)
			for range faultSteps {
				f.step()
				time.Sleep(time.Duration(f.rng.Int64N(int64(maxFaultInterval))))
			}
			f.store.SetFaults(platformd.Faults{})
			c.await("owners of all keys", c.checkAllKeysOwned)
			succeeded, failed := stop()
			t.Logf("%d answered, %d not; %v", succeeded, failed, f.log)
			must.Positive(t, succeeded)
			for key := 0; key < 65536; key += 4099 {
				c.await("status 200", func() error {
					if resp := c.send(c.daemons[key%len(c.daemons)], "GET", "/read/x", key, ""); resp.status != 200 {
						return fmt.Errorf("key %d: status %d %s", key, resp.status, resp.body)
					}
					return nil
				})
			}
			must.SliceEmpty(t, c.ledger.Violations(), must.Sprint(f.log))
		})
	}
}
