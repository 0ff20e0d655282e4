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
	faultSteps = 14
	faultPause = 350 * time.Millisecond
)

// faults are the steps of a random history.
type faults struct {
	*world
	draw *rand.Rand
	born int
	log  []string
}

func (f *faults) say(format string, args ...any) { f.log = append(f.log, fmt.Sprintf(format, args...)) }

// server draws a server of the keyed service that is up.
func (f *faults) server() (int, *fenced.Server) {
	i := f.draw.IntN(len(f.servers))
	return i, f.servers[i]
}

func (f *faults) step() {
	switch f.draw.IntN(7) {
	case 0: // a server crashes, and another life comes back at its address
		i, s := f.server()
		f.say("%s crashes and is reborn", s.ID())
		address := s.Address()
		s.Crash()
		time.Sleep(time.Duration(f.draw.IntN(300)) * time.Millisecond)
		f.born++
		f.servers[i] = f.serve(fmt.Sprintf("born-%d", f.born), "drafts", address)
		f.servers = f.servers[:len(f.servers)-1]
		s.Unregister()
	case 1: // a server is replaced in order
		i, s := f.server()
		f.say("%s leaves", s.ID())
		f.born++
		f.servers[i] = f.serve(fmt.Sprintf("born-%d", f.born), "drafts", anyAddress)
		f.servers = f.servers[:len(f.servers)-1]
		s.Drain()
	case 2: // the keeper is lost, and a daemon of the same name comes back
		if keeper := f.keeper(); keeper != nil {
			f.say("keeper %s is lost", keeper.Config().Name)
			keeper.Kill()
			f.daemons = f.others(keeper)
			f.startDaemon(string(keeper.Config().Name), string(keeper.Config().Zone))
		}
	case 3: // the store is away for a while
		f.say("store down")
		f.store.SetFaults(platformd.Faults{Down: true, ListDown: true})
		time.Sleep(time.Duration(f.draw.IntN(1500)) * time.Millisecond)
		f.store.SetFaults(platformd.Faults{})
	case 4: // answers of writes are lost
		f.say("lost answers")
		f.store.SetFaults(platformd.Faults{DropWriteResponses: 3})
	case 5: // a registration lapses and comes back
		_, s := f.server()
		f.say("registration of %s lapses", s.ID())
		s.Unregister()
		time.Sleep(time.Duration(f.draw.IntN(800)) * time.Millisecond)
		s.Register()
	case 6: // history is forgotten for a while
		f.say("history gone")
		f.store.SetFaults(platformd.Faults{HistoryGone: true})
		time.Sleep(100 * time.Millisecond)
		f.store.SetFaults(platformd.Faults{})
	}
}

// Whatever happens to servers, keeper and store, alone or at the same time, each
// key has one owner, its fences rise, and all keys are served again at the end.
func TestOneOwnerUnderRandomFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 4, 4, 0)
			f := &faults{world: w, draw: rand.New(rand.NewPCG(seed, 20261204))}
			stop := w.load(w.daemons...)
			for range faultSteps {
				f.step()
				time.Sleep(time.Duration(f.draw.Int64N(int64(faultPause))))
			}
			f.store.SetFaults(platformd.Faults{})
			w.await("owners of all keys", w.allOwned)
			good, bad := stop()
			t.Logf("%d answered, %d not; %v", good, bad, f.log)
			must.Positive(t, good)
			for key := 0; key < 65536; key += 4099 {
				w.await("answer", func() error {
					if a := w.send(w.daemons[key%len(w.daemons)], "GET", "/read/x", key, ""); a.status != 200 {
						return fmt.Errorf("key %d: status %d %s", key, a.status, a.body)
					}
					return nil
				})
			}
			must.SliceEmpty(t, w.ledger.Violations(), must.Sprint(f.log))
		})
	}
}
