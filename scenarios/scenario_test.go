package scenarios

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

// scenarioKey is the key of the *scenario in testscript.Env.Values.
type scenarioKey struct{}

// Addresses and time limits of a scenario. Each scenario has a loopback /24 network of
// its own, so the ports can be the same for all. Daemon N has N as the last octet of
// its addresses.
const (
	callerPort        = 7001
	adminPort         = 7002
	dispatchPort      = 7003
	controlPort       = 7004
	serverPort        = 8001
	serverControlPort = 8002
	platformPort      = 9001
	networkLockPort   = 9009 // a listener on this port reserves the network
	networkAttempts   = 200  // also the number of values of the third octet

	platformHost    = 250 // last octet of the platform's address
	firstServerHost = 100 // last octet of the first server's address

	callTimeout       = 10 * time.Second // limit of an HTTP call of the test harness
	awaitTimeout      = 60 * time.Second // limit of waiting for a condition
	awaitPollInterval = 25 * time.Millisecond
)

// networkCount counts the networks that this test process has tried to reserve.
var networkCount atomic.Int32

// scenario is the state of one running script.
type scenario struct {
	env         *testscript.Env
	network     string // first three octets of the scenario's loopback addresses
	networkLock net.Listener
	searchPath  string

	daemons []*process
	// adminAuth is the admin authentication of daemons that are added later; nil for none.
	adminAuth    *config.AdminAuth
	versionWatch *versionWatcher
	standin      *process
	servers      []backend.Options

	mu       sync.Mutex
	observed []observation
	loads    map[string]*load

	// State of commands by the name in the script; used by the script's goroutine.
	marks      map[string]time.Time
	downloads  map[string]*download
	background map[string]*backgroundRequests
}

// process is a daemon, or the process that runs all stand-ins.
type process struct {
	name    string
	args    []string
	logFile string
	cmd     *exec.Cmd
	done    chan struct{}
	conf    config.Config
}

func newScenario(env *testscript.Env) (*scenario, error) {
	network, networkLock, err := reserveNetwork()
	return &scenario{
		env:         env,
		network:     network,
		networkLock: networkLock,
		searchPath:  env.Getenv("PATH"),
		loads:       map[string]*load{},
		marks:       map[string]time.Time{},
		downloads:   map[string]*download{},
		background:  map[string]*backgroundRequests{},
	}, err
}

// reserveNetwork chooses a loopback network that no scenario of this or another test
// process uses. The network stays reserved until the returned listener is closed.
func reserveNetwork() (string, net.Listener, error) {
	var lastErr error
	for range networkAttempts {
		counter := networkCount.Add(1)
		network := fmt.Sprintf("127.%d.%d", 1+(os.Getpid()+int(counter)/networkAttempts)%250, 1+counter%networkAttempts)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, platformHost, networkLockPort))
		if err == nil {
			return network, listener, nil
		}
		lastErr = err
	}
	return "", nil, lastErr
}

func (sc *scenario) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", sc.network, host, port)
}

// close stops all loads, kills the processes of the scenario, waits until they have
// exited and releases the network.
func (sc *scenario) close() {
	defer func() { _ = sc.networkLock.Close() }()
	for _, l := range sc.loads {
		l.stop()
	}
	for _, d := range sc.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
	}
	if sc.standin != nil {
		sc.standin.signal(syscall.SIGKILL)
	}
	for _, p := range append(sc.daemons, sc.standin) {
		if p != nil && p.done != nil {
			<-p.done
		}
	}
}

// programPath looks a program up in the PATH of the script.
func (sc *scenario) programPath(name string) string {
	for _, dir := range filepath.SplitList(sc.searchPath) {
		file := filepath.Join(dir, name)
		if _, err := os.Stat(file); err == nil {
			return file
		}
	}
	return name
}

// start runs a program in the background and appends its output to the process's log
// file. The program is killed when the test process exits.
func (sc *scenario) start(p *process, program string) error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(sc.programPath(program), p.args...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd == nil || !p.running() {
		return
	}
	_ = p.cmd.Process.Signal(s)
}

// pause stops a process and waits until all its threads stand still: until then, the
// others go on and may answer, as the signal takes effect in one thread first.
func (p *process) pause() error {
	p.signal(syscall.SIGSTOP)
	for {
		err := unix.Waitid(unix.P_PID, p.cmd.Process.Pid, nil, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return errors.Wrapf(err, "wait until %s is paused", p.name)
		}
	}
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (sc *scenario) daemon(ts *testscript.TestScript, name string) *process {
	for _, d := range sc.daemons {
		if d.name == name {
			return d
		}
	}
	ts.Fatalf("scenario has no daemon %s", name)
	return nil
}

func (sc *scenario) server(ts *testscript.TestScript, name string) backend.Options {
	for _, s := range sc.servers {
		if string(s.ID) == name {
			return s
		}
	}
	ts.Fatalf("scenario has no server %s", name)
	return backend.Options{}
}

func (sc *scenario) platformAddress() string { return sc.address(platformHost, platformPort) }

// call makes an HTTP call of the test harness and returns status and body. A string
// body is sent as it is; other bodies are encoded as JSON.
func call(method, address, path string, body any) (int, []byte, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(method)
	switch b := body.(type) {
	case nil:
	case string:
		request.SetBodyString(b)
	default:
		encoded, err := json.Marshal(b)
		if err != nil {
			return 0, nil, err
		}
		request.SetBody(encoded)
	}
	if err := fasthttp.DoTimeout(request, response, callTimeout); err != nil {
		return 0, nil, err
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// mustCall makes an HTTP call and fails the script unless the status is 200.
func (sc *scenario) mustCall(ts *testscript.TestScript, method, address, path string, body any) []byte {
	status, response, err := call(method, address, path, body)
	if err != nil {
		ts.Fatalf("%s %s%s: %v", method, address, path, err)
	}
	if status != fasthttp.StatusOK {
		ts.Fatalf("%s %s%s: status %d: %s", method, address, path, status, response)
	}
	return response
}

// await polls until f returns nil, and fails the script when the timeout has passed.
// what names the condition in the failure.
func await(ts *testscript.TestScript, timeout time.Duration, what string, f func() error) {
	deadline := time.Now().Add(timeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s: condition not met within %s: %v", what, timeout, err)
		}
		time.Sleep(awaitPollInterval)
	}
}

// runs returns the runs that all servers recorded.
func (sc *scenario) runs(ts *testscript.TestScript) []backend.Run {
	var all []backend.Run
	for _, s := range sc.servers {
		var runs []backend.Run
		response := sc.mustCall(ts, fasthttp.MethodGet, s.Control, backend.PathRuns, nil)
		ts.Check(json.Unmarshal(response, &runs))
		all = append(all, runs...)
	}
	return all
}

// register adds an instance to the platform's instance list or updates it there.
func (sc *scenario) register(ts *testscript.TestScript, instance platform.Instance) {
	sc.mustCall(ts, fasthttp.MethodPost, sc.platformAddress(), platformd.PathRegister, instance)
}

// instance describes a server or daemon for the instance list, without a state.
func (sc *scenario) instance(ts *testscript.TestScript, name string) platform.Instance {
	for _, s := range sc.servers {
		if string(s.ID) == name {
			return platform.Instance{ID: name, Kind: platform.KindServer, Pool: s.Pool, Zone: s.Zone, Address: s.Address}
		}
	}
	d := sc.daemon(ts, name)
	return platform.Instance{ID: name, Kind: platform.KindDaemon, Zone: d.conf.Zone, Address: d.conf.ControlAddress}
}

// zoneAt returns the zone of the instance with an index; instances are spread evenly
// over the zones.
func zoneAt(zones []model.Zone, index int) model.Zone { return zones[index%len(zones)] }
