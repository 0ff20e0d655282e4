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

// kind is one kind of work that callers of a deployment send; {n} in the path is
// a key and {id} is unique to each request.
type kind struct {
	method string
	path   string
	once   bool
	body   int // bytes
}

// example is a deployment of the example settings at today's size.
type example struct {
	zones   string
	servers []string
	slots   string
	kinds   []kind
}

var exampleDeployments = map[string]example{
	"lagos": {
		zones:   "ikeja,yaba,lekki,apapa",
		servers: []string{"drafts:15:5", "sealing:9:20", "plans:8:20", "archive:9:20:20000"},
		slots:   "3",
		kinds: []kind{
			{method: fasthttp.MethodGet, path: "/drafts/order-{n}"},
			{method: fasthttp.MethodPost, path: "/orders/order-{n}/seal", once: true},
			{method: fasthttp.MethodPut, path: "/plans/plan-{id}", once: true, body: uploadBytes},
			{method: fasthttp.MethodGet, path: "/archive/order-{n}"},
		},
	},
	"taiwan": {
		zones:   "hsinchu-a,taipei-b,taoyuan-c,keelung-d",
		servers: []string{"holdings:15:5", "release:9:20", "dossier:8:20", "climate-log:10:20:20000"},
		slots:   "4",
		kinds: []kind{
			{method: fasthttp.MethodGet, path: "/holdings/rack-{n}"},
			{method: fasthttp.MethodPost, path: "/holdings/rack-{n}/withdrawals", once: true},
			{method: fasthttp.MethodPut, path: "/dossiers/lot-{id}", once: true, body: uploadBytes},
			{method: fasthttp.MethodGet, path: "/climate/vault-{n}"},
		},
	},
}

const (
	deploymentDaemons = "28"
	uploadBytes       = 30_000
	trafficKeys       = 60
	trafficPeriod     = 50 * time.Millisecond // between two requests of one sender
	trafficSenders    = 2                     // of each kind
	trafficTimeout    = "40s"
	balancerDelay     = 200 * time.Millisecond // from a daemon's notice until the balancer sends it nothing
)

// deploymentRuns lets one deployment run at a time, for their many processes.
var deploymentRuns sync.Mutex

// cmdDeployment starts an example deployment with 28 daemons and all its pools:
//
//	deployment lagos|taiwan
func cmdDeployment(w *world, ts *testscript.TestScript, neg bool, args []string) {
	described, ok := exampleDeployments[args[0]]
	if !ok {
		ts.Fatalf("no deployment %s", args[0])
	}
	deploymentRuns.Lock()
	ts.Defer(deploymentRuns.Unlock)
	text, err := examplefiles.Files.ReadFile(args[0] + ".jsonc")
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("settings.jsonc"), text, 0o644))
	options := []string{"--daemons", deploymentDaemons, "--zones", described.zones, "--slots", described.slots}
	for _, server := range described.servers {
		options = append(options, "--server", server)
	}
	cmdFleet(w, ts, neg, options)
}

// traffic sends all kinds of a deployment's work through any daemon that
// accepts connections, as callers behind the platform's balancer do: each
// request on a connection of its own, and none to a daemon that is about to leave.
type traffic struct {
	world *world
	kinds []kind
	stop  atomic.Bool
	done  sync.WaitGroup

	mu      sync.Mutex
	killed  map[string]bool // caller addresses of daemons that the script killed
	leaving map[string]bool // caller addresses that the balancer gives no new requests
	problem string          // first request that was cut off
}

// trafficOf holds the traffic of each world.
var trafficOf sync.Map

// cmdTraffic sends the mixed work of a deployment in the background:
//
//	traffic start lagos|taiwan
//	traffic stop         ends it
//	traffic check        no request was cut off at a daemon that was not killed, and no upload reached a server short
func cmdTraffic(w *world, ts *testscript.TestScript, _ bool, args []string) {
	if args[0] == "start" {
		t := &traffic{world: w, kinds: exampleDeployments[args[1]].kinds, killed: map[string]bool{}, leaving: map[string]bool{}}
		trafficOf.Store(w, t)
		ts.Defer(t.end)
		t.start()
		return
	}
	t := w.traffic(ts)
	switch args[0] {
	case "stop":
		t.end()
		ts.Logf("%s", w.summary())
	case "check":
		if problem := t.firstProblem(); problem != "" {
			ts.Fatalf("cut off: %s", problem)
		}
		if problem := shortUpload(w.runs(ts)); problem != "" {
			ts.Fatalf("short upload: %s", problem)
		}
	default:
		ts.Fatalf("usage: traffic start|stop|check")
	}
}

func (w *world) traffic(ts *testscript.TestScript) *traffic {
	found, ok := trafficOf.Load(w)
	if !ok {
		ts.Fatalf("no traffic was started")
	}
	return found.(*traffic)
}

func (t *traffic) start() {
	for index := range t.kinds {
		for sender := range trafficSenders {
			t.done.Go(func() { t.send(index, sender) })
		}
	}
}

func (t *traffic) end() {
	t.stop.Store(true)
	t.done.Wait()
}

func (t *traffic) send(index, sender int) {
	ticker := time.NewTicker(trafficPeriod)
	defer ticker.Stop()
	for number := 0; !t.stop.Load(); number++ {
		<-ticker.C
		id := fmt.Sprintf("%d-%d-%d", index, sender, number)
		t.sendOne(t.kinds[index], number, id)
	}
}

// sendOne tries daemons in turn until one accepts the connection.
func (t *traffic) sendOne(k kind, number int, id string) {
	o := requestOptions{Timeout: trafficTimeout, Body: k.body, Headers: []string{"Connection=close"}}
	if k.once {
		o.Headers = append(o.Headers, "Idempotency-Key="+id)
	}
	path := strings.ReplaceAll(numbered(k.path, number%trafficKeys), "{id}", id)
	for try := range t.world.daemons {
		entry := t.world.daemons[(number+try)%len(t.world.daemons)].conf.CallerAddress
		if t.isLeaving(entry) {
			continue
		}
		seen := t.world.send(&o, entry, k.method, path)
		if seen.Err == nil {
			return
		}
		if !errors.Is(seen.Err, syscall.ECONNREFUSED) {
			t.cut(entry, seen)
			return
		}
	}
}

func (t *traffic) cut(entry string, seen observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.killed[entry] && t.problem == "" {
		t.problem = fmt.Sprintf("%s %s at %s after %s: %v", seen.Method, seen.Path, entry, seen.Got.Sub(seen.Sent), seen.Err)
	}
}

func (t *traffic) isLeaving(entry string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving[entry]
}

// balance tells the balancer whether a daemon leaves.
func (t *traffic) balance(entry string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving[entry] = leaving
}

func (t *traffic) firstProblem() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.problem
}

func (t *traffic) noteKilled(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.killed[address] = true
}

// shortUpload looks for runs of uploads that did not get the whole body.
func shortUpload(runs []backend.Run) string {
	for _, run := range runs {
		if run.Method == fasthttp.MethodPut && run.BodyBytes != uploadBytes {
			return fmt.Sprintf("%s ran with %d bytes of %d", run.Path, run.BodyBytes, uploadBytes)
		}
	}
	return ""
}

// cmdZone does something to all daemons and servers of an availability zone:
//
//	zone lost ZONE       ends them at once; the instance list still shows them
//	zone back ZONE       starts them again and waits until they are ready
func cmdZone(w *world, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: zone lost|back ZONE")
	}
	zone := model.Zone(args[1])
	path, action := backend.PathKill, "kill"
	if args[0] == "back" {
		path, action = backend.PathRestart, "start"
	}
	daemons := w.daemonsIn(zone)
	for _, d := range daemons {
		if action == "kill" {
			w.traffic(ts).noteKilled(d.conf.CallerAddress)
		}
		w.actOnDaemon(ts, action, d, nil)
	}
	for _, s := range w.servers {
		if s.Zone == zone {
			w.must(ts, fasthttp.MethodPost, s.Control, path, nil)
		}
	}
	if action == "start" {
		w.awaitReady(ts)
	}
}

func (w *world) daemonsIn(zone model.Zone) []*process {
	var found []*process
	for _, d := range w.daemons {
		if d.conf.Zone == zone {
			found = append(found, d)
		}
	}
	return found
}

// cmdRolling stops and starts all daemons gracefully, zone by zone, some at a time:
//
//	rolling ZONE...
func cmdRolling(w *world, ts *testscript.TestScript, _ bool, args []string) {
	const atOnce = 2
	for _, zone := range args {
		daemons := w.daemonsIn(model.Zone(zone))
		for first := 0; first < len(daemons); first += atOnce {
			w.restart(ts, daemons[first:min(first+atOnce, len(daemons))])
		}
	}
}

func (w *world) restart(ts *testscript.TestScript, daemons []*process) {
	t := w.traffic(ts)
	for _, d := range daemons {
		t.balance(d.conf.CallerAddress, true)
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
		ts.Check(w.start(d, "chicorylugd"))
	}
	for _, d := range daemons {
		w.actOnDaemon(ts, "ready", d, nil)
		t.balance(d.conf.CallerAddress, false)
	}
}

// summary sums up what callers saw.
func (w *world) summary() string {
	served, refused := 0, map[reason.Code]int{}
	for _, seen := range w.seen() {
		switch {
		case seen.Refusal != nil:
			refused[seen.Refusal.Code]++
		case seen.Status == fasthttp.StatusOK:
			served++
		}
	}
	return fmt.Sprintf("%d served, refused %v", served, refused)
}
