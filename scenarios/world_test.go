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

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

type worldKey struct{}

// Ports of a scenario. Each scenario has a loopback network of its own, so
// that the ports can be the same for all.
const (
	callerPort   = 7001
	adminPort    = 7002
	dispatchPort = 7003
	controlPort  = 7004
	serverPort   = 8001
	serverCtl    = 8002
	platformPort = 9001
	takenPort    = 9009 // marks a network as in use
	networkTries = 200

	platformHost    = 250
	firstServerHost = 100

	callTimeout  = 10 * time.Second // bound of a control call of the harness
	awaitTimeout = 60 * time.Second // bound of a wait unless the script sets another
	awaitPoll    = 25 * time.Millisecond
)

var networks atomic.Int32

// world is the state of one running scenario.
type world struct {
	env     *testscript.Env
	network string // first three numbers of the scenario's loopback addresses
	taken   net.Listener
	path    string

	daemons []*process
	// adminAuth protects the admin addresses of daemons that are described later.
	adminAuth *config.AdminAuth
	versions  *watcher
	standin   *process
	servers   []backend.Options

	mu       sync.Mutex
	observed []observation
	loads    map[string]*load

	// What the commands keep by name; the scenario's own goroutine uses it.
	marks     map[string]time.Time
	downloads map[string]*download
	begun     map[string]*begun
}

// process is a daemon or the stand-ins.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
	conf config.Config
}

func newWorld(env *testscript.Env) (*world, error) {
	network, taken, err := takeNetwork()
	return &world{
		env:       env,
		network:   network,
		taken:     taken,
		path:      env.Getenv("PATH"),
		loads:     map[string]*load{},
		marks:     map[string]time.Time{},
		downloads: map[string]*download{},
		begun:     map[string]*begun{},
	}, err
}

// takeNetwork chooses a loopback network that no scenario of this or another
// test process uses, and holds it by a listener.
func takeNetwork() (string, net.Listener, error) {
	var last error
	for range networkTries {
		number := networks.Add(1)
		network := fmt.Sprintf("127.%d.%d", 1+(os.Getpid()+int(number)/networkTries)%250, 1+number%networkTries)
		taken, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, platformHost, takenPort))
		if err == nil {
			return network, taken, nil
		}
		last = err
	}
	return "", nil, last
}

func (w *world) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", w.network, host, port)
}

func (w *world) close() {
	defer func() { _ = w.taken.Close() }()
	for _, l := range w.loads {
		l.stop()
	}
	for _, d := range w.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
	}
	if w.standin != nil {
		w.standin.signal(syscall.SIGKILL)
	}
	for _, p := range append(w.daemons, w.standin) {
		if p != nil && p.done != nil {
			<-p.done
		}
	}
}

func (w *world) program(name string) string {
	for _, dir := range filepath.SplitList(w.path) {
		file := filepath.Join(dir, name)
		if _, err := os.Stat(file); err == nil {
			return file
		}
	}
	return name
}

// start starts a program in the background.
func (w *world) start(p *process, program string) error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(w.program(program), p.args...)
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

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (w *world) daemon(ts *testscript.TestScript, name string) *process {
	for _, d := range w.daemons {
		if d.name == name {
			return d
		}
	}
	ts.Fatalf("no daemon %s", name)
	return nil
}

func (w *world) server(ts *testscript.TestScript, name string) backend.Options {
	for _, s := range w.servers {
		if string(s.ID) == name {
			return s
		}
	}
	ts.Fatalf("no server %s", name)
	return backend.Options{}
}

func (w *world) platformAddress() string { return w.address(platformHost, platformPort) }

// call makes a control call of the harness and returns status and body.
func call(method, address, path string, body any) (int, []byte, error) {
	request := fasthttp.AcquireRequest()
	answer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
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
	if err := fasthttp.DoTimeout(request, answer, callTimeout); err != nil {
		return 0, nil, err
	}
	return answer.StatusCode(), append([]byte(nil), answer.Body()...), nil
}

// must makes a control call that has to answer 200.
func (w *world) must(ts *testscript.TestScript, method, address, path string, body any) []byte {
	status, answer, err := call(method, address, path, body)
	if err != nil {
		ts.Fatalf("%s %s%s: %v", method, address, path, err)
	}
	if status != fasthttp.StatusOK {
		ts.Fatalf("%s %s%s: status %d: %s", method, address, path, status, answer)
	}
	return answer
}

// await polls until f returns nil.
func await(ts *testscript.TestScript, timeout time.Duration, what string, f func() error) {
	deadline := time.Now().Add(timeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s: still not after %s: %v", what, timeout, err)
		}
		time.Sleep(awaitPoll)
	}
}

// runs returns the record of all servers.
func (w *world) runs(ts *testscript.TestScript) []backend.Run {
	var all []backend.Run
	for _, s := range w.servers {
		var runs []backend.Run
		answer := w.must(ts, fasthttp.MethodGet, s.Control, backend.PathRuns, nil)
		ts.Check(json.Unmarshal(answer, &runs))
		all = append(all, runs...)
	}
	return all
}

// register tells the platform about an instance.
func (w *world) register(ts *testscript.TestScript, instance platform.Instance) {
	w.must(ts, fasthttp.MethodPost, w.platformAddress(), platformd.PathRegister, instance)
}

func (w *world) instance(ts *testscript.TestScript, name string) platform.Instance {
	for _, s := range w.servers {
		if string(s.ID) == name {
			return platform.Instance{ID: name, Kind: platform.KindServer, Pool: s.Pool, Zone: s.Zone, Address: s.Address}
		}
	}
	d := w.daemon(ts, name)
	return platform.Instance{ID: name, Kind: platform.KindDaemon, Zone: d.conf.Zone, Address: d.conf.ControlAddress}
}

// zoneAt returns the zone of the index-th instance.
func zoneAt(zones []model.Zone, index int) model.Zone { return zones[index%len(zones)] }
