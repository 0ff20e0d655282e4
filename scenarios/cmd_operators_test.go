package scenarios

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/admin"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/inspect"
	"github.com/chicorylug/chicorylug/internal/model"
)

func init() {
	commands["protect"] = cmdProtect
	commands["certificate"] = cmdCertificate
	commands["operator"] = cmdOperator
	commands["exits"] = cmdExits
	commands["in-force"] = cmdInForce
	commands["versions"] = cmdVersions
	commands["race"] = cmdRace
	commands["owns"] = cmdOwns
	commands["env-config"] = cmdEnvConfig
	commands["last-request"] = cmdLastRequest
	commands["quickstart"] = cmdQuickstart
	commands["listening"] = cmdListening
	commands["no-token-in-logs"] = cmdNoTokenInLogs
	commands["refuse-edits"] = cmdRefuseEdits
}

const tokenLength = 32 // characters of a scenario's tokens

// token returns the token of an operator: the name, repeated.
func token(name string) string { return strings.Repeat(name+"-", tokenLength)[:tokenLength] }

// cmdProtect protects the admin addresses of the daemons described from here on:
//
//	protect NAME=TEAM... NAME=*     * is an operator of the fleet
func cmdProtect(w *world, ts *testscript.TestScript, _ bool, args []string) {
	var file admin.TokenFile
	for _, arg := range args {
		name, team, _ := strings.Cut(arg, "=")
		entry := admin.TokenEntry{Name: name, Token: token(name), Fleet: team == "*"}
		if !entry.Fleet {
			entry.Team = model.TeamName(team)
		}
		file.Tokens = append(file.Tokens, entry)
	}
	if w.adminAuth == nil {
		w.adminAuth = &config.AdminAuth{}
	}
	w.adminAuth.TokensFile = w.writeJSON(ts, "tokens.json", file)
}

// cmdCertificate writes a certificate for the scenario's network and switches
// TLS on for the daemons described from here on:
//
//	certificate      writes ca.pem
func cmdCertificate(w *world, ts *testscript.TestScript, _ bool, _ []string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "chicorylug scenario"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	for host := 1; host <= 9; host++ {
		ip, _, _ := net.SplitHostPort(w.address(host, adminPort))
		template.IPAddresses = append(template.IPAddresses, net.ParseIP(ip))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	ts.Check(err)
	private, err := x509.MarshalECPrivateKey(key)
	ts.Check(err)
	w.adminAuth.CertFile = writePEM(ts, "ca.pem", "CERTIFICATE", der)
	w.adminAuth.KeyFile = writePEM(ts, "key.pem", "EC PRIVATE KEY", private)
}

func writePEM(ts *testscript.TestScript, name, kind string, der []byte) string {
	file := ts.MkAbs(name)
	ts.Check(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// cmdOperator sets whose token the tool uses, and which daemon it asks:
//
//	operator NAME DAEMON     NAME nobody has no token
func cmdOperator(w *world, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: operator NAME DAEMON")
	}
	ts.Setenv("CHICORYLUG_TOKEN", "")
	if args[0] != "nobody" {
		ts.Setenv("CHICORYLUG_TOKEN", token(args[0]))
	}
	ts.Setenv("CHICORYLUG_ADMIN", w.daemon(ts, args[1]).conf.AdminAddress)
}

// cmdExits runs a program and checks its exit code:
//
//	exits CODE PROGRAM [ARG...]
func cmdExits(_ *world, ts *testscript.TestScript, _ bool, args []string) {
	code := 0
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("%s ended with exit code %d, want %s", args[1], code, args[0])
	}
}

// tool returns a run of the operators' tool with the script's environment.
func (w *world) tool(ts *testscript.TestScript, args ...string) *exec.Cmd {
	cmd := exec.Command(w.program("chicorylug"), args...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = os.Environ()
	for _, name := range []string{"CHICORYLUG_TOKEN", "CHICORYLUG_ADMIN", "CHICORYLUG_CA_FILE"} {
		cmd.Env = append(cmd.Env, name+"="+ts.Getenv(name))
	}
	return cmd
}

// fleetView asks a daemon for the view of all, by the tool.
func (w *world) fleetView(ts *testscript.TestScript, d *process) (inspect.Fleet, error) {
	var view inspect.Fleet
	cmd := w.tool(ts, "status", "--json", "--admin", d.conf.AdminAddress)
	out, err := cmd.Output()
	if len(out) == 0 {
		return view, err
	}
	return view, json.Unmarshal(out, &view)
}

// cmdInForce waits until a version is in force on a number of daemons, as
// another daemon sees it:
//
//	in-force VERSION COUNT [DAEMON]
func cmdInForce(w *world, ts *testscript.TestScript, _ bool, args []string) {
	asked := w.daemons[0]
	if len(args) > 2 {
		asked = w.daemon(ts, args[2])
	}
	await(ts, awaitTimeout, "version "+args[0]+" on "+args[1]+" daemons", func() error {
		view, err := w.fleetView(ts, asked)
		if err != nil {
			return err
		}
		if view.Settings != args[0] || strconv.Itoa(view.InForce) != args[1] {
			return errors.Errorf("version %s is in force on %d of %d", view.Settings, view.InForce, view.DaemonCount)
		}
		return nil
	})
}

// watcher notes the versions that daemons say are in force.
type watcher struct {
	stop chan struct{}
	done chan struct{}

	highest map[string]uint64
	fault   string
	samples int
}

// cmdVersions watches that no daemon's version in force ever falls:
//
//	versions watch|check
func cmdVersions(w *world, ts *testscript.TestScript, _ bool, args []string) {
	switch args[0] {
	case "watch":
		w.versions = &watcher{stop: make(chan struct{}), done: make(chan struct{}), highest: map[string]uint64{}}
		go w.versions.run(append([]*process(nil), w.daemons...), ts.Getenv("CHICORYLUG_TOKEN"))
	case "check":
		close(w.versions.stop)
		<-w.versions.done
		if w.versions.fault != "" {
			ts.Fatalf("%s", w.versions.fault)
		}
		if w.versions.samples == 0 {
			ts.Fatalf("no version was seen")
		}
	}
}

func (v *watcher) run(daemons []*process, token string) {
	defer close(v.done)
	for {
		for _, d := range daemons {
			v.sample(d, token)
		}
		select {
		case <-v.stop:
			return
		case <-time.After(awaitPoll):
		}
	}
}

func (v *watcher) sample(d *process, token string) {
	status, body, err := callAs(token, d.conf.AdminAddress, admin.PathStatus)
	if err != nil || status != fasthttp.StatusOK {
		return
	}
	var view admin.Status
	if json.Unmarshal(body, &view) != nil || view.Settings == 0 {
		return
	}
	v.samples++
	now := uint64(view.Settings)
	if now < v.highest[d.name] && v.fault == "" {
		v.fault = fmt.Sprintf("daemon %s went back from version %d to %d", d.name, v.highest[d.name], now)
	}
	v.highest[d.name] = max(now, v.highest[d.name])
}

// callAs reads from a daemon's admin address with a token.
func callAs(token, address, path string) (int, []byte, error) {
	request := fasthttp.AcquireRequest()
	answer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI("http://" + address + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+token)
	if err := fasthttp.DoTimeout(request, answer, time.Second); err != nil {
		return 0, nil, err
	}
	return answer.StatusCode(), bytes.Clone(answer.Body()), nil
}

// cmdRace sends changes of one part from one base at the same time, each to
// another daemon, and wants one accepted and the others told of a conflict:
//
//	race PART BASE FILE...      PART is --team=NAME or --fleet
func cmdRace(w *world, ts *testscript.TestScript, _ bool, args []string) {
	codes := make([]int, len(args)-2)
	outputs := make([]bytes.Buffer, len(codes))
	var all sync.WaitGroup
	for i, file := range args[2:] {
		asked := w.daemons[i%len(w.daemons)].conf.AdminAddress
		cmd := w.tool(ts, "settings", "set", args[0], "--base", args[1], "--admin", asked, file)
		cmd.Stderr = &outputs[i]
		all.Add(1)
		go func() {
			defer all.Done()
			_ = cmd.Run()
			codes[i] = cmd.ProcessState.ExitCode()
		}()
	}
	all.Wait()
	accepted := 0
	for i, code := range codes {
		switch {
		case code == 0:
			accepted++
		case code != 4 || !strings.Contains(outputs[i].String(), "\n+"):
			ts.Fatalf("%s: exit code %d: %s", args[2+i], code, outputs[i].String())
		}
	}
	if accepted != 1 {
		ts.Fatalf("%d changes were accepted, want 1", accepted)
	}
}

// cmdRefuseEdits tries each line of a file as an edit of the whole tree, wants it
// refused as invalid, and wants file, line and column, the path and a text in the message:
//
//	refuse-edits FILE AT-LEAST      lines of PATH | VALUE | PATH IN THE MESSAGE | TEXT
func cmdRefuseEdits(w *world, ts *testscript.TestScript, _ bool, args []string) {
	place := regexp.MustCompile(`edit:\d+:\d+: `)
	lines := strings.Split(strings.TrimSpace(ts.ReadFile(args[0])), "\n")
	if least := number(ts, args, 1); len(lines) < least {
		ts.Fatalf("%d edits, want %d", len(lines), least)
	}
	for _, line := range lines {
		fields := strings.Split(line, " | ")
		if len(fields) != 4 {
			ts.Fatalf("want PATH | VALUE | PATH | TEXT: %s", line)
		}
		cmd := w.tool(ts, "settings", "edit", "--", fields[0], fields[1])
		out, _ := cmd.CombinedOutput()
		text := string(out)
		if cmd.ProcessState.ExitCode() != 1 || !place.MatchString(text) || !strings.Contains(text, fields[2]) || !strings.Contains(text, fields[3]) {
			ts.Fatalf("%s: exit code %d: %s", line, cmd.ProcessState.ExitCode(), text)
		}
	}
}

// cmdListening waits until the admin addresses of daemons take connections:
//
//	listening DAEMON...
func cmdListening(w *world, ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		address := w.daemon(ts, name).conf.AdminAddress
		await(ts, awaitTimeout, "admin address of "+name, func() error {
			conn, err := net.DialTimeout("tcp", address, callTimeout)
			if err != nil {
				return err
			}
			return conn.Close()
		})
	}
}

// cmdNoTokenInLogs looks for the tokens of operators in the daemons' logs:
//
//	no-token-in-logs NAME...
func cmdNoTokenInLogs(w *world, ts *testscript.TestScript, _ bool, args []string) {
	for _, d := range w.daemons {
		log, err := os.ReadFile(d.log)
		ts.Check(err)
		for _, name := range args {
			if bytes.Contains(log, []byte(token(name))) {
				ts.Fatalf("the log of %s holds the token of %s", d.name, name)
			}
		}
	}
}

// cmdLastRequest sets a variable to the id of the newest request that was answered:
//
//	last-request VARIABLE
func cmdLastRequest(w *world, ts *testscript.TestScript, _ bool, args []string) {
	seen := w.seen()
	if len(seen) == 0 || seen[len(seen)-1].Request == "" {
		ts.Fatalf("no request was answered")
	}
	ts.Setenv(args[0], string(seen[len(seen)-1].Request))
}

// examples is the folder of the example settings.
const examples = "../examples"

// cmdQuickstart starts the example installation on the scenario's own addresses
// as daemon "quickstart" and waits until it is ready:
//
//	quickstart
func cmdQuickstart(w *world, ts *testscript.TestScript, _ bool, _ []string) {
	text, err := os.ReadFile(filepath.Join(examples, "quickstart.jsonc"))
	ts.Check(err)
	own, _, _ := net.SplitHostPort(w.address(1, callerPort))
	file := ts.MkAbs("quickstart.jsonc")
	ts.Check(os.WriteFile(file, bytes.ReplaceAll(text, []byte("127.0.0.1"), []byte(own)), 0o644))
	tree, err := os.ReadFile(filepath.Join(examples, "lagos.jsonc"))
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("lagos.jsonc"), tree, 0o644))
	conf, err := config.Load(file)
	ts.Check(err)
	d := &process{name: "quickstart", args: []string{"--config", file}, log: ts.MkAbs("quickstart.log"), conf: *conf}
	w.daemons = append(w.daemons, d)
	ts.Check(w.start(d, "chicorylugd"))
	w.awaitReady(ts)
}

// cmdEnvConfig moves a daemon's settings file to the scenario's own addresses:
//
//	env-config FILE
func cmdEnvConfig(w *world, ts *testscript.TestScript, _ bool, args []string) {
	own, _, _ := net.SplitHostPort(w.address(1, callerPort))
	text := strings.ReplaceAll(ts.ReadFile(args[0]), "127.0.0.1", own)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o644))
}

// cmdOwns waits until a server owns no shards in a state, or some:
//
//	owns SERVER none|some STATE
func cmdOwns(w *world, ts *testscript.TestScript, _ bool, args []string) {
	await(ts, awaitTimeout, args[0]+" owns "+args[1], func() error {
		out, err := w.tool(ts, "pools", "--json").Output()
		if err != nil {
			return err
		}
		var pools []admin.Pool
		if err := json.Unmarshal(out, &pools); err != nil {
			return err
		}
		for _, pool := range pools {
			for _, s := range pool.Servers {
				if string(s.ID) == args[0] && string(s.State) == args[2] && (s.Shards == 0) == (args[1] == "none") {
					return nil
				}
			}
		}
		return errors.Errorf("%s", out)
	})
}
