package scenarios

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	examplefiles "github.com/chicorylug/chicorylug/examples"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
)

func init() {
	commands["deployment"] = cmdDeployment
	commands["traffic"] = cmdTraffic
	commands["zone"] = cmdZone
	commands["rolling"] = cmdRolling
}

// requestKind is a kind of request that callers of a deployment send. {n} in the path
// is replaced by the number of a key, {id} by a text unique to each request.
type requestKind struct {
	method             string
	path               string
	withIdempotencyKey bool
	bodyBytes          int
}

// exampleDeployment is a full-size deployment of one of the example settings files.
// servers has an entry "pool:count[:service_ms[:body_bytes]]" for each pool.
type exampleDeployment struct {
	zones   string
	servers []string
	slots   string
	kinds   []requestKind
}

var exampleDeployments = map[string]exampleDeployment{
	"lagos": {
		zones:   "ikeja,yaba,lekki,apapa",
		servers: []string{"drafts:15:5", "sealing:9:20", "plans:8:20", "archive:9:20:20000"},
		slots:   "3",
		kinds: []requestKind{
			{method: fasthttp.MethodGet, path: "/drafts/order-{n}"},
			{method: fasthttp.MethodPost, path: "/orders/order-{n}/seal", withIdempotencyKey: true},
			{method: fasthttp.MethodPut, path: "/plans/plan-{id}", withIdempotencyKey: true, bodyBytes: uploadBytes},
			{method: fasthttp.MethodGet, path: "/archive/order-{n}"},
		},
	},
	"taiwan": {
		zones:   "hsinchu-a,taipei-b,taoyuan-c,keelung-d",
		servers: []string{"holdings:15:5", "release:9:20", "dossier:8:20", "climate-log:10:20:20000"},
		slots:   "4",
		kinds: []requestKind{
			{method: fasthttp.MethodGet, path: "/holdings/rack-{n}"},
			{method: fasthttp.MethodPost, path: "/holdings/rack-{n}/withdrawals", withIdempotencyKey: true},
			{method: fasthttp.MethodPut, path: "/dossiers/lot-{id}", withIdempotencyKey: true, bodyBytes: uploadBytes},
			{method: fasthttp.MethodGet, path: "/climate/vault-{n}"},
		},
	},
}

const (
	deploymentDaemons = "28"
	uploadBytes       = 30_000                // size of the body of an upload, in bytes
	trafficKeys       = 60                    // number of keys for {n} in the paths
	trafficInterval   = 50 * time.Millisecond // between the requests of one sender
	trafficSenders    = 2                     // of each request kind
	trafficTimeout    = "40s"
	balancerDelay     = 200 * time.Millisecond // until the balancer sends no new requests to an excluded daemon
)

// deploymentMutex allows one deployment at a time, because each starts 29 processes.
var deploymentMutex sync.Mutex

// cmdDeployment starts an example deployment with 28 daemons and the servers of all its
// pools:
//
//	deployment lagos|taiwan
func cmdDeployment(sc *scenario, ts *testscript.TestScript, neg bool, args []string) {
	deployment, ok := exampleDeployments[args[0]]
	if !ok {
		ts.Fatalf("unknown deployment %s", args[0])
	}
	deploymentMutex.Lock()
	ts.Defer(deploymentMutex.Unlock)
	text, err := examplefiles.Files.ReadFile(args[0] + ".jsonc")
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("settings.jsonc"), text, 0o644))
	options := []string{"--daemons", deploymentDaemons, "--zones", deployment.zones, "--slots", deployment.slots}
	for _, server := range deployment.servers {
		options = append(options, "--server", server)
	}
	cmdFleet(sc, ts, neg, options)
}

// traffic sends all kinds of requests of a deployment to any daemon that accepts
// connections, as callers behind the platform's balancer do: each request on its own
// connection, and none to a daemon that is about to shut down.
type traffic struct {
	scenario *scenario
	kinds    []requestKind
	stopping atomic.Bool
	senders  sync.WaitGroup

	mu       sync.Mutex
	killed   map[string]bool // caller addresses of daemons that the script killed
	excluded map[string]bool // caller addresses that the balancer sends no new requests to
	problem  string          // first request that failed at a daemon that was not killed
}

// trafficByScenario holds the *traffic of each *scenario.
var trafficByScenario sync.Map

// cmdTraffic sends all kinds of requests of a deployment in the background:
//
//	traffic start lagos|taiwan
//	traffic stop         stops sending and logs the results
//	traffic check        no request failed at a daemon that was not killed, and no server ran a truncated upload
func cmdTraffic(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	if args[0] == "start" {
		t := &traffic{scenario: sc, kinds: exampleDeployments[args[1]].kinds, killed: map[string]bool{}, excluded: map[string]bool{}}
		trafficByScenario.Store(sc, t)
		ts.Defer(t.stopAndWait)
		t.start()
		return
	}
	t := sc.traffic(ts)
	switch args[0] {
	case "stop":
		t.stopAndWait()
		ts.Logf("%s", sc.summary())
	case "check":
		if problem := t.firstProblem(); problem != "" {
			ts.Fatalf("request failed at a daemon that was not killed: %s", problem)
		}
		if problem := checkUploads(sc.runs(ts)); problem != "" {
			ts.Fatalf("truncated upload: %s", problem)
		}
	default:
		ts.Fatalf("usage: traffic start|stop|check")
	}
}

func (sc *scenario) traffic(ts *testscript.TestScript) *traffic {
	found, ok := trafficByScenario.Load(sc)
	if !ok {
		ts.Fatalf("no traffic was started")
	}
	return found.(*traffic)
}

func (t *traffic) start() {
	for index := range t.kinds {
		for sender := range trafficSenders {
			t.senders.Go(func() { t.send(index, sender) })
		}
	}
}

func (t *traffic) stopAndWait() {
	t.stopping.Store(true)
	t.senders.Wait()
}

func (t *traffic) send(index, sender int) {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	for number := 0; !t.stopping.Load(); number++ {
		<-ticker.C
		id := fmt.Sprintf("%d-%d-%d", index, sender, number)
		t.sendOne(t.kinds[index], number, id)
	}
}

// sendOne sends one request. It tries daemons in turn until one accepts the connection.
func (t *traffic) sendOne(k requestKind, number int, id string) {
	o := requestOptions{Timeout: trafficTimeout, Body: k.bodyBytes, Headers: []string{"Connection=close"}}
	if k.withIdempotencyKey {
		o.Headers = append(o.Headers, "Idempotency-Key="+id)
	}
	path := strings.ReplaceAll(expandNumber(k.path, number%trafficKeys), "{id}", id)
	for attempt := range t.scenario.daemons {
		address := t.scenario.daemons[(number+attempt)%len(t.scenario.daemons)].conf.CallerAddress
		if t.isExcluded(address) {
			continue
		}
		obs := t.scenario.send(&o, address, k.method, path)
		if obs.Err == nil {
			return
		}
		if !errors.Is(obs.Err, syscall.ECONNREFUSED) {
			t.recordFailure(address, obs)
			return
		}
	}
}

// recordFailure keeps the first failed request. Failures at killed daemons are expected.
func (t *traffic) recordFailure(address string, obs observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.killed[address] && t.problem == "" {
		t.problem = fmt.Sprintf("%s %s at %s after %s: %v", obs.Method, obs.Path, address, obs.Received.Sub(obs.Sent), obs.Err)
	}
}

func (t *traffic) isExcluded(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.excluded[address]
}

// setExcluded makes the balancer stop or resume sending new requests to a daemon.
func (t *traffic) setExcluded(address string, excluded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.excluded[address] = excluded
}

func (t *traffic) firstProblem() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.problem
}

func (t *traffic) markKilled(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.killed[address] = true
}

// checkUploads looks for runs of uploads whose body was not complete.
func checkUploads(runs []backend.Run) string {
	for _, run := range runs {
		if run.Method == fasthttp.MethodPut && run.BodyBytes != uploadBytes {
			return fmt.Sprintf("%s ran with %d bytes of %d", run.Path, run.BodyBytes, uploadBytes)
		}
	}
	return ""
}

// cmdZone stops or starts all daemons and servers of an availability zone:
//
//	zone lost ZONE       kills them; the instance list still contains them
//	zone back ZONE       restarts them and waits until all daemons are ready
func cmdZone(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: zone lost|back ZONE")
	}
	zone := model.Zone(args[1])
	path, action := backend.PathKill, "kill"
	if args[0] == "back" {
		path, action = backend.PathRestart, "start"
	}
	daemons := sc.daemonsInZone(zone)
	for _, d := range daemons {
		if action == "kill" {
			sc.traffic(ts).markKilled(d.conf.CallerAddress)
		}
		sc.actOnDaemon(ts, action, d, nil)
	}
	for _, s := range sc.servers {
		if s.Zone == zone {
			sc.mustCall(ts, fasthttp.MethodPost, s.Control, path, nil)
		}
	}
	if action == "start" {
		sc.awaitReady(ts)
	}
}

func (sc *scenario) daemonsInZone(zone model.Zone) []*process {
	var found []*process
	for _, d := range sc.daemons {
		if d.conf.Zone == zone {
			found = append(found, d)
		}
	}
	return found
}

// cmdRolling restarts all daemons gracefully, zone by zone, two at a time:
//
//	rolling ZONE...
func cmdRolling(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	const batchSize = 2
	for _, zone := range args {
		daemons := sc.daemonsInZone(model.Zone(zone))
		for first := 0; first < len(daemons); first += batchSize {
			sc.restartGracefully(ts, daemons[first:min(first+batchSize, len(daemons))])
		}
	}
}

// restartGracefully excludes daemons from the balancer, stops them with SIGTERM, starts
// them again and includes them when they are ready.
func (sc *scenario) restartGracefully(ts *testscript.TestScript, daemons []*process) {
	t := sc.traffic(ts)
	for _, d := range daemons {
		t.setExcluded(d.conf.CallerAddress, true)
	}
	time.Sleep(balancerDelay)
	for _, d := range daemons {
		d.signal(syscall.SIGTERM)
	}
	for _, d := range daemons {
		<-d.done
		if code := d.cmd.ProcessState.ExitCode(); code != 0 {
			ts.Fatalf("daemon %s ended with exit code %d", d.name, code)
		}
		ts.Check(sc.start(d, "chicorylugd"))
	}
	for _, d := range daemons {
		sc.actOnDaemon(ts, "ready", d, nil)
		t.setExcluded(d.conf.CallerAddress, false)
	}
}

// summary returns the number of requests served, and of refusals by reason.
func (sc *scenario) summary() string {
	served, refused := 0, map[reason.Code]int{}
	for _, obs := range sc.observations() {
		switch {
		case obs.Refusal != nil:
			refused[obs.Refusal.Code]++
		case obs.Status == fasthttp.StatusOK:
			served++
		}
	}
	return fmt.Sprintf("%d served, refused %v", served, refused)
}
