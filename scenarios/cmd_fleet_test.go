package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"

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

// parse reads the flags of a scenario command into options.
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

// cmdFleet starts stand-ins and daemons d1, d2, ... and waits until all are ready.
func cmdFleet(w *world, ts *testscript.TestScript, _ bool, args []string) {
	var o fleetOptions
	parse(ts, &o, args)
	var zones []model.Zone
	for _, zone := range strings.Split(o.Zones, ",") {
		zones = append(zones, model.Zone(zone))
	}
	for _, text := range o.Servers {
		w.describeServers(ts, text, zones, o)
	}
	w.startStandin(ts, ts.MkAbs(o.Settings))
	for i := range o.Daemons {
		w.describeDaemon(ts, i, zoneAt(zones, i))
	}
	for _, d := range w.daemons {
		ts.Check(w.start(d, "chicorylugd"))
	}
	if !o.NoWait {
		w.awaitReady(ts)
	}
}

func (w *world) describeServers(ts *testscript.TestScript, text string, zones []model.Zone, o fleetOptions) {
	parts := strings.Split(text, ":")
	number := func(index int, otherwise float64) float64 {
		if index >= len(parts) {
			return otherwise
		}
		value, err := strconv.ParseFloat(parts[index], 64)
		ts.Check(err)
		return value
	}
	for i := range int(number(1, 1)) {
		address := firstServerHost + len(w.servers)
		w.servers = append(w.servers, backend.Options{
			ID:           model.ServerID(fmt.Sprintf("%s-%d", parts[0], i+1)),
			Pool:         model.PoolName(parts[0]),
			Zone:         zoneAt(zones, i),
			Address:      w.address(address, serverPort),
			Control:      w.address(address, serverCtl),
			Slots:        o.Slots,
			ServiceMS:    number(2, 2),
			BodyBytes:    int(number(3, 200)),
			ChecksGrants: o.Checks,
		})
	}
}

func (w *world) writeJSON(ts *testscript.TestScript, name string, value any) string {
	text, err := json.Marshal(value)
	ts.Check(err)
	file := ts.MkAbs(name)
	ts.Check(os.WriteFile(file, text, 0o644))
	return file
}

func (w *world) startStandin(ts *testscript.TestScript, settings string) {
	file := w.writeJSON(ts, "standin.json", host.Config{
		Platform:     w.platformAddress(),
		SettingsFile: settings,
		Servers:      w.servers,
	})
	w.standin = &process{name: "standin", args: []string{file}, log: ts.MkAbs("standin.log")}
	ts.Check(w.start(w.standin, "standin"))
	await(ts, awaitTimeout, "stand-ins", func() error {
		_, _, err := call(fasthttp.MethodGet, w.platformAddress(), platformd.PathCounts, nil)
		return err
	})
}

func (w *world) describeDaemon(ts *testscript.TestScript, index int, zone model.Zone) *process {
	name := fmt.Sprintf("d%d", index+1)
	conf := config.Config{
		Name:            model.DaemonID(name),
		Zone:            zone,
		CallerAddress:   w.address(index+1, callerPort),
		AdminAddress:    w.address(index+1, adminPort),
		DispatchAddress: w.address(index+1, dispatchPort),
		ControlAddress:  w.address(index+1, controlPort),
		PlatformAddress: w.platformAddress(),
		LogLevel:        "debug",
		ShutdownSeconds: config.DefaultShutdownSeconds,
		TestFaults:      true,
		AdminAuth:       w.adminAuth,
	}
	file := w.writeJSON(ts, name+".json", conf)
	d := &process{name: name, args: []string{"--config", file}, log: ts.MkAbs(name + ".log"), conf: conf}
	w.daemons = append(w.daemons, d)
	instance := w.instance(ts, name)
	instance.State = platform.StateLive
	w.register(ts, instance)
	return d
}

func (w *world) awaitReady(ts *testscript.TestScript) {
	for _, d := range w.daemons {
		if !d.running() {
			continue
		}
		await(ts, awaitTimeout, "daemon "+d.name+" ready", func() error { return ready(d) })
	}
}

func ready(d *process) error {
	status, body, err := call(fasthttp.MethodGet, d.conf.AdminAddress, admin.PathReady, nil)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return errors.New(string(body))
	}
	return nil
}

// cmdDaemon does something to a daemon:
//
//	daemon start|stop|kill|pause|resume|ready NAME
//	daemon add NAME                  starts the next daemon, in the zone of the first
//	daemon cut NAME PEER...          PEER is a daemon, a server, "platform" or "all" (all daemons and the platform)
//	daemon heal                      ends all cuts
func cmdDaemon(w *world, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		ts.Fatalf("usage: daemon ACTION [NAME] [PEER...]")
	}
	switch args[0] {
	case "heal":
		w.heal(ts)
	case "add":
		d := w.describeDaemon(ts, len(w.daemons), w.daemons[0].conf.Zone)
		ts.Check(w.start(d, "chicorylugd"))
	default:
		w.actOnDaemon(ts, args[0], w.daemon(ts, args[1]), args[2:])
	}
}

func (w *world) actOnDaemon(ts *testscript.TestScript, action string, d *process, peers []string) {
	switch action {
	case "start":
		ts.Check(w.start(d, "chicorylugd"))
	case "ready":
		await(ts, awaitTimeout, "daemon "+d.name+" ready", func() error { return ready(d) })
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
		d.signal(syscall.SIGSTOP)
	case "resume":
		d.signal(syscall.SIGCONT)
	case "cut":
		w.cut(ts, d, peers)
	default:
		ts.Fatalf("unknown action %s", action)
	}
}

// cut stops all traffic between a daemon and its peers, in both directions.
func (w *world) cut(ts *testscript.TestScript, d *process, peers []string) {
	var blocked []string
	for _, peer := range peers {
		blocked = append(blocked, w.blockedBy(ts, d, peer)...)
	}
	w.must(ts, fasthttp.MethodPut, d.conf.AdminAddress, admin.PathFaults, netx.Faults{Blocked: blocked})
}

func (w *world) blockedBy(ts *testscript.TestScript, d *process, peer string) []string {
	switch peer {
	case "platform":
		return []string{w.platformAddress()}
	case "all":
		blocked := []string{w.platformAddress()}
		for _, other := range w.daemons {
			if other != d {
				blocked = append(blocked, w.cutPair(ts, d, other)...)
			}
		}
		return blocked
	}
	for _, s := range w.servers {
		if string(s.ID) == peer {
			return []string{s.Address}
		}
	}
	return w.cutPair(ts, d, w.daemon(ts, peer))
}

// cutPair blocks d at other and returns what d has to block.
func (w *world) cutPair(ts *testscript.TestScript, d, other *process) []string {
	if other.running() {
		w.must(ts, fasthttp.MethodPut, other.conf.AdminAddress, admin.PathFaults,
			netx.Faults{Blocked: []string{d.conf.ControlAddress, d.conf.DispatchAddress}})
	}
	return []string{other.conf.ControlAddress, other.conf.DispatchAddress}
}

func (w *world) heal(ts *testscript.TestScript) {
	for _, d := range w.daemons {
		if d.running() {
			w.must(ts, fasthttp.MethodPut, d.conf.AdminAddress, admin.PathFaults, netx.Faults{})
		}
	}
}

// cmdServer does something to a stand-in server:
//
//	server fault NAME JSON      replaces its faults
//	server clear NAME
//	server kill|restart NAME
func cmdServer(w *world, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: server ACTION NAME [JSON]")
	}
	control := w.server(ts, args[1]).Control
	switch args[0] {
	case "fault":
		w.must(ts, fasthttp.MethodPut, control, backend.PathFaults, args[2])
	case "clear":
		w.must(ts, fasthttp.MethodPut, control, backend.PathFaults, backend.Faults{})
	case "kill":
		w.must(ts, fasthttp.MethodPost, control, backend.PathKill, nil)
	case "restart":
		w.must(ts, fasthttp.MethodPost, control, backend.PathRestart, nil)
	default:
		ts.Fatalf("unknown action %s", args[0])
	}
}

// cmdPlatform does something to the stand-in platform:
//
//	platform fault JSON | clear | live NAME | leaving NAME | gone NAME
func cmdPlatform(w *world, ts *testscript.TestScript, _ bool, args []string) {
	switch args[0] {
	case "fault":
		w.must(ts, fasthttp.MethodPut, w.platformAddress(), platformd.PathFaults, args[1])
	case "clear":
		w.must(ts, fasthttp.MethodPut, w.platformAddress(), platformd.PathFaults, platformd.Faults{})
	case "live", "leaving", "gone":
		instance := w.instance(ts, args[1])
		instance.State = platform.InstanceState(args[0])
		w.register(ts, instance)
	default:
		ts.Fatalf("unknown action %s", args[0])
	}
}
