package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/admin"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/netx"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
	"github.com/chicorylug/chicorylug/internal/standin/host"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

func init() {
	commands["fleet"] = cmdFleet
	commands["daemon"] = cmdDaemon
	commands["server"] = cmdServer
	commands["platform"] = cmdPlatform
}

// parse parses the options of a scenario command and returns the other arguments.
func parse(ts *testscript.TestScript, options any, args []string) []string {
	parser := flags.NewParser(options, flags.PassDoubleDash|flags.PassAfterNonOption)
	rest, err := parser.ParseArgs(args)
	if err != nil {
		ts.Fatalf("%v", err)
	}
	return rest
}

type fleetOptions struct {
	Daemons  int      `long:"daemons" default:"3"`
	Zones    string   `long:"zones" default:"a,b,c"`
	Settings string   `long:"settings" default:"settings.jsonc"`
	Servers  []string `long:"server" description:"pool:count[:service_ms[:body_bytes]]"`
	Checks   bool     `long:"checks" description:"the servers check grants"`
	Slots    int      `long:"slots" default:"3"`
	NoWait   bool     `long:"no-wait"`
}

// cmdFleet starts the stand-ins and the daemons d1, d2, ..., and waits until all daemons
// are ready unless --no-wait is set:
//
//	fleet [--daemons N] [--zones A,B] [--settings FILE] [--server POOL:COUNT[:SERVICE_MS[:BODY_BYTES]]]... [--checks] [--slots N] [--no-wait]
func cmdFleet(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	var o fleetOptions
	parse(ts, &o, args)
	var zones []model.Zone
	for _, zone := range strings.Split(o.Zones, ",") {
		zones = append(zones, model.Zone(zone))
	}
	for _, spec := range o.Servers {
		sc.addServers(ts, spec, zones, o)
	}
	sc.startStandin(ts, ts.MkAbs(o.Settings))
	for i := range o.Daemons {
		sc.addDaemon(ts, i, zoneAt(zones, i))
	}
	for _, d := range sc.daemons {
		ts.Check(sc.start(d, "chicorylugd"))
	}
	if !o.NoWait {
		sc.awaitReady(ts)
	}
}

// addServers adds the servers of one --server option, spread over the zones. Without the
// other parts of the option, it is one server with a service time of 2 ms and response
// bodies of 200 bytes.
func (sc *scenario) addServers(ts *testscript.TestScript, spec string, zones []model.Zone, o fleetOptions) {
	parts := strings.Split(spec, ":")
	number := func(index int, fallback float64) float64 {
		if index >= len(parts) {
			return fallback
		}
		value, err := strconv.ParseFloat(parts[index], 64)
		ts.Check(err)
		return value
	}
	for i := range int(number(1, 1)) {
		host := firstServerHost + len(sc.servers)
		sc.servers = append(sc.servers, backend.Options{
			ID:           model.ServerID(fmt.Sprintf("%s-%d", parts[0], i+1)),
			Pool:         model.PoolName(parts[0]),
			Zone:         zoneAt(zones, i),
			Address:      sc.address(host, serverPort),
			Control:      sc.address(host, serverControlPort),
			Slots:        o.Slots,
			ServiceMS:    number(2, 2),
			BodyBytes:    int(number(3, 200)),
			ChecksGrants: o.Checks,
		})
	}
}

func (sc *scenario) writeJSON(ts *testscript.TestScript, name string, value any) string {
	text, err := json.Marshal(value)
	ts.Check(err)
	file := ts.MkAbs(name)
	ts.Check(os.WriteFile(file, text, 0o644))
	return file
}

func (sc *scenario) startStandin(ts *testscript.TestScript, settings string) {
	file := sc.writeJSON(ts, "standin.json", host.Config{
		Platform:     sc.platformAddress(),
		SettingsFile: settings,
		Servers:      sc.servers,
	})
	sc.standin = &process{name: "standin", args: []string{file}, logFile: ts.MkAbs("standin.log")}
	ts.Check(sc.start(sc.standin, "standin"))
	await(ts, awaitTimeout, "stand-ins", func() error {
		_, _, err := call(fasthttp.MethodGet, sc.platformAddress(), platformd.PathCounts, nil)
		return err
	})
}

// addDaemon writes the settings file of a daemon and registers the daemon as live. It
// does not start it.
func (sc *scenario) addDaemon(ts *testscript.TestScript, index int, zone model.Zone) *process {
	name := fmt.Sprintf("d%d", index+1)
	conf := config.Config{
		Name:            model.DaemonID(name),
		Zone:            zone,
		CallerAddress:   sc.address(index+1, callerPort),
		AdminAddress:    sc.address(index+1, adminPort),
		DispatchAddress: sc.address(index+1, dispatchPort),
		ControlAddress:  sc.address(index+1, controlPort),
		PlatformAddress: sc.platformAddress(),
		LogLevel:        "debug",
		ShutdownSeconds: config.DefaultShutdownSeconds,
		TestFaults:      true,
		AdminAuth:       sc.adminAuth,
	}
	file := sc.writeJSON(ts, name+".json", conf)
	d := &process{name: name, args: []string{"--config", file}, logFile: ts.MkAbs(name + ".log"), conf: conf}
	sc.daemons = append(sc.daemons, d)
	instance := sc.instance(ts, name)
	instance.State = platform.StateLive
	sc.register(ts, instance)
	return d
}

func (sc *scenario) awaitReady(ts *testscript.TestScript) {
	for _, d := range sc.daemons {
		if !d.running() {
			continue
		}
		await(ts, awaitTimeout, "daemon "+d.name+" ready", func() error { return checkReady(d) })
	}
}

// checkReady returns nil if the daemon's admin address reports it ready.
func checkReady(d *process) error {
	status, body, err := call(fasthttp.MethodGet, d.conf.AdminAddress, admin.PathReady, nil)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return errors.New(string(body))
	}
	return nil
}

// cmdDaemon controls a daemon or its connections:
//
//	daemon start|stop|kill|pause|resume NAME   stop is graceful and must end with exit code 0; all but start and resume wait until it is done
//	daemon ready NAME                waits until it is ready
//	daemon add                       starts one more daemon, in the zone of the first
//	daemon cut NAME PEER...          blocks the traffic with each PEER, and only with these: a daemon, a server, "platform" or "all" (all daemons and the platform)
//	daemon heal                      unblocks all traffic
func cmdDaemon(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		ts.Fatalf("usage: daemon ACTION [NAME] [PEER...]")
	}
	switch args[0] {
	case "heal":
		sc.heal(ts)
	case "add":
		d := sc.addDaemon(ts, len(sc.daemons), sc.daemons[0].conf.Zone)
		ts.Check(sc.start(d, "chicorylugd"))
	default:
		sc.actOnDaemon(ts, args[0], sc.daemon(ts, args[1]), args[2:])
	}
}

func (sc *scenario) actOnDaemon(ts *testscript.TestScript, action string, d *process, peers []string) {
	switch action {
	case "start":
		ts.Check(sc.start(d, "chicorylugd"))
	case "ready":
		await(ts, awaitTimeout, "daemon "+d.name+" ready", func() error { return checkReady(d) })
	case "stop":
		d.signal(syscall.SIGTERM)
		<-d.done
		if code := d.cmd.ProcessState.ExitCode(); code != 0 {
			ts.Fatalf("daemon %s ended with exit code %d", d.name, code)
		}
	case "kill":
		d.signal(syscall.SIGKILL)
		<-d.done
	case "pause":
		ts.Check(d.pause())
	case "resume":
		d.signal(syscall.SIGCONT)
	case "cut":
		sc.partition(ts, d, peers)
	default:
		ts.Fatalf("unknown daemon action %s", action)
	}
}

// partition blocks all traffic between a daemon and the given peers. A peer that is a
// daemon blocks the traffic too, so both directions are blocked. It replaces the faults
// that these daemons had before.
func (sc *scenario) partition(ts *testscript.TestScript, d *process, peers []string) {
	var blocked []string
	for _, peer := range peers {
		blocked = append(blocked, sc.addressesToBlock(ts, d, peer)...)
	}
	sc.mustCall(ts, fasthttp.MethodPut, d.conf.AdminAddress, admin.PathFaults, netx.Faults{Blocked: blocked})
}

// addressesToBlock returns the addresses that d must block to cut off a peer. If the
// peer is a daemon, it blocks d there as well.
func (sc *scenario) addressesToBlock(ts *testscript.TestScript, d *process, peer string) []string {
	switch peer {
	case "platform":
		return []string{sc.platformAddress()}
	case "all":
		blocked := []string{sc.platformAddress()}
		for _, other := range sc.daemons {
			if other != d {
				blocked = append(blocked, sc.blockPair(ts, d, other)...)
			}
		}
		return blocked
	}
	for _, s := range sc.servers {
		if string(s.ID) == peer {
			return []string{s.Address}
		}
	}
	return sc.blockPair(ts, d, sc.daemon(ts, peer))
}

// blockPair blocks d at the daemon other and returns the addresses of other that d must
// block.
func (sc *scenario) blockPair(ts *testscript.TestScript, d, other *process) []string {
	if other.running() {
		sc.mustCall(ts, fasthttp.MethodPut, other.conf.AdminAddress, admin.PathFaults,
			netx.Faults{Blocked: []string{d.conf.ControlAddress, d.conf.DispatchAddress}})
	}
	return []string{other.conf.ControlAddress, other.conf.DispatchAddress}
}

// heal unblocks all traffic of all running daemons.
func (sc *scenario) heal(ts *testscript.TestScript) {
	for _, d := range sc.daemons {
		if d.running() {
			sc.mustCall(ts, fasthttp.MethodPut, d.conf.AdminAddress, admin.PathFaults, netx.Faults{})
		}
	}
}

// cmdServer controls a stand-in server:
//
//	server fault NAME JSON      replaces its faults by the given backend.Faults
//	server clear NAME           removes its faults
//	server kill|restart NAME
func cmdServer(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: server ACTION NAME [JSON]")
	}
	control := sc.server(ts, args[1]).Control
	switch args[0] {
	case "fault":
		sc.mustCall(ts, fasthttp.MethodPut, control, backend.PathFaults, args[2])
	case "clear":
		sc.mustCall(ts, fasthttp.MethodPut, control, backend.PathFaults, backend.Faults{})
	case "kill":
		sc.mustCall(ts, fasthttp.MethodPost, control, backend.PathKill, nil)
	case "restart":
		sc.mustCall(ts, fasthttp.MethodPost, control, backend.PathRestart, nil)
	default:
		ts.Fatalf("unknown action %s", args[0])
	}
}

// cmdPlatform controls the stand-in platform:
//
//	platform fault JSON               replaces its faults by the given platformd.Faults
//	platform clear                    removes its faults
//	platform restore AGE              returns its store to a copy of that age, such as 5s
//	platform live|leaving|gone NAME   sets the state of an instance in the instance list
func cmdPlatform(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	switch args[0] {
	case "fault":
		sc.mustCall(ts, fasthttp.MethodPut, sc.platformAddress(), platformd.PathFaults, args[1])
	case "clear":
		sc.mustCall(ts, fasthttp.MethodPut, sc.platformAddress(), platformd.PathFaults, platformd.Faults{})
	case "restore":
		age, err := time.ParseDuration(args[1])
		ts.Check(err)
		sc.mustCall(ts, fasthttp.MethodPost, sc.platformAddress(), platformd.PathRestore, platformd.Restoration{AgeMS: int(age.Milliseconds())})
	case "live", "leaving", "gone":
		instance := sc.instance(ts, args[1])
		instance.State = platform.InstanceState(args[0])
		sc.register(ts, instance)
	default:
		ts.Fatalf("unknown action %s", args[0])
	}
}
