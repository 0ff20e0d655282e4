package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/daemon"
	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/standin/fenced"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

const (
	anyAddress = "127.0.0.1:0"
	waitLimit  = 30 * time.Second
	host       = "a.example"
)

// world is a fleet of daemons over stand-ins of the platform and of servers.
type world struct {
	t       *testing.T
	store   *platformd.Server
	ledger  *fenced.Ledger
	daemons []*daemon.Daemon
	servers []*fenced.Server
	version int
	ids     int
	mu      sync.Mutex
}

type route struct {
	prefix, kind, service string
	timeoutS              float64
}

var usualRoutes = []route{
	{"/read/", "safe", "drafts", 2},
	{"/seal/", "unsafe", "sealing", 2},
	{"/plan/", "upload", "sealing", 2},
}

// newWorld starts servers and daemons and waits until all are ready.
func newWorld(t *testing.T, daemons, keyed, plain int) *world {
	store, err := platformd.Start(anyAddress)
	must.NoError(t, err)
	t.Cleanup(store.Stop)
	w := &world{t: t, store: store, ledger: fenced.NewLedger(), version: 3}
	w.configure(usualRoutes)
	for i := range keyed {
		w.serve(fmt.Sprintf("draft-%d", i), "drafts", anyAddress)
	}
	for i := range plain {
		w.serve(fmt.Sprintf("seal-%d", i), "sealing", anyAddress)
	}
	for i := range daemons {
		w.startDaemon(fmt.Sprintf("d%d", i), fmt.Sprintf("zone-%d", i%2))
	}
	w.awaitReady()
	return w
}

// configure writes the next version of the operator's configuration.
func (w *world) configure(routes []route) {
	w.version += 2
	var paths []map[string]any
	for i, r := range routes {
		paths = append(paths, map[string]any{
			"Name": fmt.Sprintf("r%d", i), "Prefix": r.prefix, "Type": r.kind, "TimeoutS": r.timeoutS,
			"SloLatencyS": 0.2, "Priority": i, "Service": r.service, "MaxAttempts": 2,
		})
	}
	body, err := json.Marshal(map[string]any{
		"Version": w.version,
		"Services": []map[string]any{
			{"Name": "drafts", "HealthPath": "/healthz", "MaxConnections": 100, "Sharded": true, "WarmS": 1},
			{"Name": "sealing", "HealthPath": "/healthz", "MaxConnections": 100},
		},
		"Limits":       map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"VirtualHosts": []map[string]any{{"Host": host, "Paths": paths}},
	})
	must.NoError(w.t, err)
	w.store.PutRow("op", "config", body)
}

func (w *world) serve(id, service, address string) *fenced.Server {
	server, err := fenced.Start(fenced.Options{
		ID: id, Service: service, Zone: "zone-0", Address: address, Slots: 50, ServiceTime: 2 * time.Millisecond,
		Keyed: service == "drafts", Store: w.store, Ledger: w.ledger,
	})
	must.NoError(w.t, err)
	w.t.Cleanup(server.Crash)
	w.servers = append(w.servers, server)
	return server
}

func (w *world) startDaemon(name, zone string) *daemon.Daemon {
	c := &config.Config{
		Name: model.DaemonID(name), Zone: model.Zone(zone), CallerAddress: anyAddress, ControlAddress: anyAddress,
		PlatformAddress: w.store.Address(), LogLevel: "info",
		Fenced: &config.Fenced{
			ReadinessAddress: anyAddress, MetricsAddress: anyAddress, MemoryMB: 200, Cores: 1, GraceSeconds: 6,
			RepeatShare: 0.2, RepeatExtra: 100, MaxHoldSeconds: 10,
		},
	}
	d, err := daemon.New(c, nil, zap.NewNop())
	must.NoError(w.t, err)
	must.NoError(w.t, d.Start(context.Background()))
	w.t.Cleanup(d.Kill)
	w.daemons = append(w.daemons, d)
	return d
}

func (w *world) awaitReady() {
	for _, d := range w.daemons {
		w.await("ready", func() error {
			status, _, err := get("http://" + d.Config().Fenced.ReadinessAddress + "/-/readyz")
			if err == nil && status != fasthttp.StatusOK {
				err = fmt.Errorf("status %d", status)
			}
			return err
		})
	}
	w.await("owners of all keys", w.allOwned)
}

func (w *world) allOwned() error {
	for key := 0; key < 65536; key += 997 {
		if w.ownerOf(key) == nil {
			return fmt.Errorf("key %d has no owner", key)
		}
	}
	return nil
}

func (w *world) ownerOf(key int) *fenced.Server {
	for _, s := range w.servers {
		if s.Owns(key) {
			return s
		}
	}
	return nil
}

// keysOf counts the keys of a server, by a sample of all.
func (w *world) keysOf(s *fenced.Server) int {
	count := 0
	for key := 0; key < 65536; key += 97 {
		if s.Owns(key) {
			count++
		}
	}
	return count
}

// anyKeyOf returns a key that a server holds.
func (w *world) anyKeyOf(s *fenced.Server) (key int, held bool) {
	for key := 0; key < 65536; key += 97 {
		if s.Owns(key) {
			return key, true
		}
	}
	return 0, false
}

func (w *world) await(what string, f func() error) {
	w.t.Helper()
	end := time.Now().Add(waitLimit)
	err := f()
	for err != nil && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		err = f()
	}
	must.NoError(w.t, err, must.Sprint(what))
}

func get(url string) (int, string, error) {
	status, body, err := fasthttp.GetTimeout(nil, url, 2*time.Second)
	return status, string(body), err
}

type answer struct {
	id         string
	status     int
	body       string
	retryAfter string
	signature  string
}

// send sends one request to a daemon. A negative key sends none.
func (w *world) send(d *daemon.Daemon, method, path string, key int, body string) answer {
	w.mu.Lock()
	w.ids++
	id := fmt.Sprintf("request-%d", w.ids)
	w.mu.Unlock()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + d.Config().CallerAddress + path)
	req.UseHostHeader = true
	req.Header.SetHost(host)
	req.Header.Set("Chicorylug-Attempt-Id", id)
	req.Header.Set("Chicorylug-Request-Deadline-Ms", "2000")
	if key >= 0 {
		req.Header.Set("Chicorylug-Shard-Key", strconv.Itoa(key))
	}
	req.SetBodyString(body)
	client := fasthttp.Client{DisablePathNormalizing: true, MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	if err := client.DoTimeout(&req, &resp, 5*time.Second); err != nil {
		return answer{id: id, body: err.Error()}
	}
	return answer{
		id: id, status: resp.StatusCode(), body: string(resp.Body()),
		retryAfter: string(resp.Header.Peek("Retry-After")), signature: string(resp.Header.Peek("Chicorylug-Server-Signature")),
	}
}

func (w *world) runs(id string) int {
	runs := 0
	for _, s := range w.servers {
		runs += s.Runs(id)
	}
	return runs
}

func (w *world) unbroken() {
	w.t.Helper()
	must.SliceEmpty(w.t, w.ledger.Violations(), must.Sprint(w.ledger.Violations()))
}

// load reads keys all over the range until it is stopped, and returns how many
// requests were answered and how many were not.
func (w *world) load(daemons ...*daemon.Daemon) (stop func() (good, bad int)) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	var mu sync.Mutex
	good, bad := 0, 0
	for i := range 4 {
		done.Add(1)
		go func() {
			defer done.Done()
			for number := 0; ctx.Err() == nil; number++ {
				key := (number*7919 + i*16384) % 65536
				a := w.send(daemons[number%len(daemons)], "GET", "/read/x", key, "")
				mu.Lock()
				if a.status == fasthttp.StatusOK {
					good++
				} else {
					bad++
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	return func() (int, int) {
		cancel()
		done.Wait()
		return good, bad
	}
}

func TestRequestsOfAllKindsAreServed(t *testing.T) {
	w := newWorld(t, 3, 4, 2)
	for i, d := range w.daemons {
		read := w.send(d, "GET", "/read/a/b%2Fc?q=1", 1000*i, "")
		must.Eq(t, 200, read.status)
		must.StrContains(t, read.body, "GET /read/a/b%2Fc?q=1 0")
		must.NotEq(t, "", read.signature)
		seal := w.send(d, "POST", "/seal/x", -1, "order")
		must.Eq(t, 200, seal.status)
		must.Eq(t, 1, w.runs(seal.id))
		plan := w.send(d, "POST", "/plan/x", -1, strings.Repeat("p", 200_000))
		must.Eq(t, 200, plan.status)
		must.StrContains(t, plan.body, " 200000")
		must.Eq(t, 404, w.send(d, "GET", "/none/", -1, "").status)
		must.Eq(t, 413, w.send(d, "POST", "/plan/x", -1, strings.Repeat("p", 2<<20)).status)
	}
	w.unbroken()
}

func TestConfigurationComesIntoForceOnAllDaemons(t *testing.T) {
	w := newWorld(t, 4, 2, 1)
	w.configure([]route{{"/seal/", "unsafe", "sealing", 2}, {"/new/", "safe", "sealing", 2}})
	for _, d := range w.daemons {
		w.await("new route", func() error {
			if a := w.send(d, "GET", "/new/x", -1, ""); a.status != 200 {
				return fmt.Errorf("status %d", a.status)
			}
			return nil
		})
		must.Eq(t, 404, w.send(d, "GET", "/read/x", 1, "").status)
	}
}

func TestBrokenConfigurationLeavesTheLastGoodOne(t *testing.T) {
	w := newWorld(t, 2, 2, 1)
	w.store.PutRow("op", "config", []byte("{broken"))
	w.store.PutRow("servers", "odd", []byte(`{"Service":1}`))
	w.store.PutRow("servers", "foreign", []byte{0xff, 0xfe})
	time.Sleep(300 * time.Millisecond)
	for _, d := range w.daemons {
		must.Eq(t, 200, w.send(d, "GET", "/read/x", 5, "").status)
	}
}

func TestUnsafeRequestIsNotRepeatedWhenItMayHaveRun(t *testing.T) {
	w := newWorld(t, 1, 1, 2)
	for _, s := range w.servers {
		s.SetFaults(fenced.Faults{ResetAfterRun: true})
	}
	seal := w.send(w.daemons[0], "POST", "/seal/x", -1, "order")
	must.Eq(t, 502, seal.status)
	must.Eq(t, "", seal.retryAfter)
	must.Eq(t, 1, w.runs(seal.id))
	read := w.send(w.daemons[0], "GET", "/read/x", 7, "")
	must.Eq(t, 502, read.status)
}

func TestRefusalThatSaysNotRunIsTrue(t *testing.T) {
	w := newWorld(t, 1, 1, 2)
	for _, s := range w.servers {
		s.SetFaults(fenced.Faults{ShedAll: true})
	}
	for _, kind := range []struct {
		method, path string
		key          int
	}{{"POST", "/seal/x", -1}, {"GET", "/read/x", 9}, {"POST", "/plan/x", -1}} {
		refused := w.send(w.daemons[0], kind.method, kind.path, kind.key, "")
		must.Eq(t, 503, refused.status)
		must.Eq(t, 0, w.runs(refused.id))
		seconds, err := strconv.ParseFloat(refused.retryAfter, 64)
		must.NoError(t, err)
		must.Positive(t, seconds)
	}
}

func TestAnswersOfOthersAreNotPassedOn(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	for _, s := range w.servers {
		s.SetFaults(fenced.Faults{WrongAttemptID: true})
	}
	must.Eq(t, 502, w.send(w.daemons[0], "POST", "/seal/x", -1, "").status)
	for _, s := range w.servers {
		s.SetFaults(fenced.Faults{Unframed: true})
	}
	must.Eq(t, 200, w.send(w.daemons[0], "POST", "/seal/x", -1, "").status)
	for _, s := range w.servers {
		s.SetFaults(fenced.Faults{FailAll: true})
	}
	failed := w.send(w.daemons[0], "POST", "/seal/x", -1, "")
	must.Eq(t, 500, failed.status)
	must.NotEq(t, "", failed.signature)
}

// A server that comes back at the address of another one must not get the keys
// of the other under the same fence.
func TestNewServerAtTheSameAddressGetsKeysUnderNewFences(t *testing.T) {
	w := newWorld(t, 3, 3, 1)
	stop := w.load(w.daemons...)
	for round := range 3 {
		old := w.servers[0]
		address := old.Address()
		old.Crash()
		reborn := w.serve(fmt.Sprintf("reborn-%d", round), "drafts", address)
		w.servers[0] = reborn
		w.await("owners of all keys", w.allOwned)
		old.Unregister()
		w.await("keys of the new server", func() error {
			for key := 0; key < 65536; key += 97 {
				if reborn.Owns(key) {
					return nil
				}
			}
			return fmt.Errorf("%s holds no keys", reborn.ID())
		})
	}
	good, _ := stop()
	must.Positive(t, good)
	w.unbroken()
}

// A server may start again under its id: its new life holds nothing of before.
func TestNewLifeUnderTheSameIdGetsKeysUnderNewFences(t *testing.T) {
	w := newWorld(t, 3, 3, 1)
	stop := w.load(w.daemons...)
	for range 3 {
		old := w.servers[0]
		old.Crash()
		w.servers[0] = w.serve(old.ID(), "drafts", old.Address())
		w.servers = w.servers[:len(w.servers)-1]
		w.await("owners of all keys", w.allOwned)
		time.Sleep(200 * time.Millisecond)
	}
	stop()
	w.unbroken()
}

// keysWaitForWork has the owner of a key leave while it works on it, and checks
// that the key goes elsewhere and that the work is answered.
func (w *world) keysWaitForWork(work time.Duration, leave func(owner *fenced.Server)) {
	const key = 30_000
	owner := w.ownerOf(key)
	owner.SetFaults(fenced.Faults{ExtraServiceTime: work})
	answered := make(chan answer, 1)
	go func() { answered <- w.send(w.daemons[0], "GET", "/read/x", key, "") }()
	time.Sleep(100 * time.Millisecond)
	leave(owner)
	w.await("another owner", func() error {
		if next := w.ownerOf(key); next == nil || next == owner {
			return fmt.Errorf("no other owner of key %d yet", key)
		}
		return nil
	})
	must.Eq(w.t, 200, (<-answered).status)
	w.unbroken()
}

// Keys on which a server works for long go elsewhere only when the work has ended.
func TestKeysWaitForTheWorkOnThem(t *testing.T) {
	newWorld(t, 2, 3, 1).keysWaitForWork(1600*time.Millisecond, (*fenced.Server).Drain)
}

// A leaving server stops listening before its last work has ended. A refused
// connection does not tell that it works no longer.
func TestKeysOfALeavingServerThatListensNoMoreWaitForItsWork(t *testing.T) {
	newWorld(t, 2, 3, 1).keysWaitForWork(1200*time.Millisecond, func(owner *fenced.Server) {
		owner.Drain()
		owner.StopListening()
	})
}

// The keys of a server that is silent go elsewhere only when its grants have run out.
func TestKeysOfADarkServerWaitForItsGrants(t *testing.T) {
	w := newWorld(t, 3, 4, 1)
	stop := w.load(w.daemons...)
	w.servers[1].SetFaults(fenced.Faults{Unresponsive: true})
	began := time.Now()
	w.await("owners of all keys", func() error {
		for key := 0; key < 65536; key += 997 {
			if owner := w.ownerOf(key); owner == nil || owner == w.servers[1] {
				return fmt.Errorf("key %d has no living owner", key)
			}
		}
		return nil
	})
	t.Logf("back after %v", time.Since(began))
	w.servers[1].SetFaults(fenced.Faults{})
	time.Sleep(500 * time.Millisecond)
	stop()
	w.unbroken()
}

// A server that was silent and answers again gets keys again.
func TestServerThatAnswersAgainGetsKeysAgain(t *testing.T) {
	w := newWorld(t, 3, 4, 1)
	stop := w.load(w.daemons...)
	silent := w.servers[1]
	silent.SetFaults(fenced.Faults{Unresponsive: true})
	w.await("keys at other servers", func() error {
		if owner := w.keysOf(silent); owner > 0 {
			return fmt.Errorf("%d keys are still with the silent server", owner)
		}
		return w.allOwned()
	})
	silent.SetFaults(fenced.Faults{})
	w.await("keys of the server that answers again", func() error {
		if w.keysOf(silent) == 0 {
			return fmt.Errorf("%s holds no keys", silent.ID())
		}
		return nil
	})
	stop()
	w.unbroken()
}

// A server that loses the answers of grants keeps its keys but for a moment,
// also when that happens often.
func TestLostAnswersOfGrantsCostLittle(t *testing.T) {
	const (
		rounds   = 6
		keysBack = time.Second
	)
	w := newWorld(t, 3, 3, 1)
	stop := w.load(w.daemons...)
	for range rounds {
		w.servers[0].SetFaults(fenced.Faults{DropGrantResponses: 1})
		time.Sleep(keysBack)
		key, held := w.anyKeyOf(w.servers[0])
		must.True(t, held, must.Sprint("the server has lost its keys"))
		must.Eq(t, 200, w.send(w.daemons[0], "GET", "/read/x", key, "").status)
	}
	stop()
	w.unbroken()
}

// A keeper that is cut off from the store and the other daemons goes on renewing
// until a server shows it that another daemon keeps the keys.
func TestAKeeperThatWasReplacedGrantsNothingMore(t *testing.T) {
	w := newWorld(t, 4, 4, 1)
	old := w.keeper()
	blocked := []string{w.store.Address()}
	for _, d := range w.others(old) {
		blocked = append(blocked, d.Config().ControlAddress)
		d.Network().SetFaults(netx.Faults{Blocked: []string{old.Config().ControlAddress}})
	}
	old.Network().SetFaults(netx.Faults{Blocked: blocked})
	w.await("another keeper", func() error {
		if w.keeper() == old {
			return fmt.Errorf("still the old one")
		}
		return nil
	})
	w.servers[2].Drain()
	w.await("leaving server without keys", func() error {
		for key := 0; key < 65536; key += 97 {
			if w.servers[2].Owns(key) {
				return fmt.Errorf("still holds key %d", key)
			}
		}
		return w.allOwned()
	})
	time.Sleep(2 * time.Second)
	w.unbroken()
}

func TestKeysOfACrashedServerComeBack(t *testing.T) {
	w := newWorld(t, 3, 4, 1)
	stop := w.load(w.daemons...)
	w.servers[1].Crash()
	w.await("owners of all keys", w.allOwned)
	w.servers[1].Unregister()
	for key := 0; key < 65536; key += 4099 {
		must.Eq(t, 200, w.send(w.daemons[key%3], "GET", "/read/x", key, "").status)
	}
	stop()
	w.unbroken()
}

func TestLeavingServerHandsItsKeysOver(t *testing.T) {
	w := newWorld(t, 3, 4, 1)
	stop := w.load(w.daemons...)
	w.servers[2].Drain()
	w.await("leaving server without keys", func() error {
		for key := 0; key < 65536; key += 97 {
			if w.servers[2].Owns(key) {
				return fmt.Errorf("still holds key %d", key)
			}
		}
		return w.allOwned()
	})
	before := w.servers[2].TotalRuns()
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, before, w.servers[2].TotalRuns())
	stop()
	w.unbroken()
}

func TestAnotherDaemonKeepsTheKeysOfALostKeeper(t *testing.T) {
	w := newWorld(t, 4, 4, 1)
	keeper := w.keeper()
	stop := w.load(w.others(keeper)...)
	keeper.Kill()
	w.await("another keeper", func() error {
		if next := w.keeper(); next == nil || next == keeper {
			return fmt.Errorf("still the lost one")
		}
		return w.allOwned()
	})
	good, bad := stop()
	must.Positive(t, good)
	t.Logf("%d answered, %d not", good, bad)
	w.unbroken()
}

// keeper returns the daemon that keeps the keys, by the store's record.
func (w *world) keeper() *daemon.Daemon {
	value, ok := w.store.Value("chicorylug", "owners/drafts")
	must.True(w.t, ok)
	owners, err := follow.DecodeOwners(platform.Record{Value: value})
	must.NoError(w.t, err)
	for _, d := range w.daemons {
		if d.Config().Name == owners.Keeper {
			return d
		}
	}
	return nil
}

func (w *world) others(than *daemon.Daemon) []*daemon.Daemon {
	var others []*daemon.Daemon
	for _, d := range w.daemons {
		if d != than {
			others = append(others, d)
		}
	}
	return others
}

// After the loss of all daemons, each that starts again serves keys soon.
func TestKeysAreBackSoonAfterTheLossOfAllDaemons(t *testing.T) {
	const keysBack = time.Second
	w := newWorld(t, 6, 3, 1)
	var lost []*daemon.Daemon
	lost, w.daemons = w.daemons, nil
	for _, d := range lost {
		d.Kill()
	}
	began := time.Now()
	for _, d := range lost {
		w.startDaemon(string(d.Config().Name), string(d.Config().Zone))
	}
	for i, d := range w.daemons {
		w.await("answer", func() error {
			if a := w.send(d, "GET", "/read/x", 10_000*i, ""); a.status != 200 {
				return fmt.Errorf("status %d", a.status)
			}
			return nil
		})
	}
	must.Less(t, keysBack, time.Since(began))
	w.unbroken()
}

func TestOutageOfTheStoreStopsNothing(t *testing.T) {
	w := newWorld(t, 3, 3, 1)
	w.store.SetFaults(platformd.Faults{Down: true, ListDown: true})
	end := time.Now().Add(4 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		read := w.send(w.daemons[i%3], "GET", "/read/x", i*31%65536, "")
		must.Eq(t, 200, read.status, must.Sprint(read.body))
		time.Sleep(10 * time.Millisecond)
	}
	w.store.SetFaults(platformd.Faults{})
	w.configure([]route{{"/later/", "safe", "sealing", 2}})
	for _, d := range w.daemons {
		w.await("configuration after the outage", func() error {
			if a := w.send(d, "GET", "/later/x", -1, ""); a.status != 200 {
				return fmt.Errorf("status %d", a.status)
			}
			return nil
		})
	}
	w.unbroken()
}

func TestStoppedDaemonCutsNoRequest(t *testing.T) {
	w := newWorld(t, 2, 2, 1)
	stop := w.load(w.daemons[0])
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- w.daemons[0].Stop(ctx) }()
	w.await("not ready", func() error {
		if status, _, err := get("http://" + w.daemons[0].Config().Fenced.ReadinessAddress + "/-/readyz"); err == nil && status == 200 {
			return fmt.Errorf("still ready")
		}
		return nil
	})
	time.Sleep(2 * time.Second)
	_, bad := stop()
	must.Eq(t, 0, bad)
	must.NoError(t, <-ended)
}

func TestRequestThatCrashesServersIsStopped(t *testing.T) {
	const most = 3 // servers that may end under the same request
	w := newWorld(t, 3, 1, 6)
	for _, s := range w.servers {
		s.SetFaults(fenced.Faults{CrashOnPath: "bomb"})
	}
	for i := range 9 {
		a := w.send(w.daemons[i%3], "POST", "/seal/bomb", -1, "same")
		must.NotEq(t, 200, a.status)
		time.Sleep(50 * time.Millisecond)
	}
	total := 0
	for _, s := range w.servers {
		total += s.TotalRuns()
	}
	must.LessEq(t, most, total)
	must.Eq(t, 200, w.send(w.daemons[0], "POST", "/seal/other", -1, "same").status)
}

func TestMetricsAreServed(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	must.Eq(t, 200, w.send(w.daemons[0], "GET", "/read/x", 1, "").status)
	address := w.daemons[0].Config().Fenced.MetricsAddress
	_, port, err := net.SplitHostPort(address)
	must.NoError(t, err)
	must.NotEq(t, "0", port)
	status, text, err := get("http://" + address + "/metrics")
	must.NoError(t, err)
	must.Eq(t, 200, status)
	must.StrContains(t, text, `request_seconds_count{outcome="answered"} 1`)
	must.StrContains(t, text, "store_calls_total")
}
