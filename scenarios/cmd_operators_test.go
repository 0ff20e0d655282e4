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

// token returns the token of an operator: the name repeated up to the token length.
func token(name string) string { return strings.Repeat(name+"-", tokenLength)[:tokenLength] }

// cmdProtect requires operator tokens at the admin addresses of the daemons that are
// added later:
//
//	protect NAME=TEAM... NAME=*     * makes NAME an operator of the fleet
func cmdProtect(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	var file admin.TokenFile
	for _, arg := range args {
		name, team, _ := strings.Cut(arg, "=")
		entry := admin.TokenEntry{Name: name, Token: token(name), Fleet: team == "*"}
		if !entry.Fleet {
			entry.Team = model.TeamName(team)
		}
		file.Tokens = append(file.Tokens, entry)
	}
	if sc.adminAuth == nil {
		sc.adminAuth = &config.AdminAuth{}
	}
	sc.adminAuth.TokensFile = sc.writeJSON(ts, "tokens.json", file)
}

// cmdCertificate writes a certificate for daemon addresses of the scenario's network and
// enables TLS at the admin addresses of the daemons that are added later. It must follow
// protect:
//
//	certificate      writes ca.pem
func cmdCertificate(sc *scenario, ts *testscript.TestScript, _ bool, _ []string) {
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
		ip, _, _ := net.SplitHostPort(sc.address(host, adminPort))
		template.IPAddresses = append(template.IPAddresses, net.ParseIP(ip))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	ts.Check(err)
	private, err := x509.MarshalECPrivateKey(key)
	ts.Check(err)
	sc.adminAuth.CertFile = writePEM(ts, "ca.pem", "CERTIFICATE", der)
	sc.adminAuth.KeyFile = writePEM(ts, "key.pem", "EC PRIVATE KEY", private)
}

func writePEM(ts *testscript.TestScript, name, kind string, der []byte) string {
	file := ts.MkAbs(name)
	ts.Check(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// cmdOperator sets the operator whose token the chicorylug tool sends, and the daemon to
// which the tool connects:
//
//	operator NAME DAEMON     with the NAME nobody the tool sends no token
func cmdOperator(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: operator NAME DAEMON")
	}
	ts.Setenv("CHICORYLUG_TOKEN", "")
	if args[0] != "nobody" {
		ts.Setenv("CHICORYLUG_TOKEN", token(args[0]))
	}
	ts.Setenv("CHICORYLUG_ADMIN", sc.daemon(ts, args[1]).conf.AdminAddress)
}

// cmdExits runs a program and checks its exit code:
//
//	exits CODE PROGRAM [ARG...]
func cmdExits(_ *scenario, ts *testscript.TestScript, _ bool, args []string) {
	code := 0
	err := ts.Exec(args[1], args[2:]...)
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		code = exitErr.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("%s ended with exit code %d, want %s", args[1], code, args[0])
	}
}

// toolCommand returns a command that runs chicorylug in the script's folder with the
// operator settings of the script.
func (sc *scenario) toolCommand(ts *testscript.TestScript, args ...string) *exec.Cmd {
	cmd := exec.Command(sc.programPath("chicorylug"), args...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = os.Environ()
	for _, name := range []string{"CHICORYLUG_TOKEN", "CHICORYLUG_ADMIN", "CHICORYLUG_CA_FILE"} {
		cmd.Env = append(cmd.Env, name+"="+ts.Getenv(name))
	}
	return cmd
}

// fleetView runs "chicorylug status" against a daemon. An exit code other than 0 is no
// error when there is output: status exits with 8 when a daemon did not answer.
func (sc *scenario) fleetView(ts *testscript.TestScript, d *process) (inspect.Fleet, error) {
	var view inspect.Fleet
	cmd := sc.toolCommand(ts, "status", "--json", "--admin", d.conf.AdminAddress)
	out, err := cmd.Output()
	if len(out) == 0 {
		return view, err
	}
	return view, json.Unmarshal(out, &view)
}

// cmdInForce waits until DAEMON, by default the first one, reports a settings version as
// in force on a number of daemons:
//
//	in-force VERSION COUNT [DAEMON]
func cmdInForce(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	queried := sc.daemons[0]
	if len(args) > 2 {
		queried = sc.daemon(ts, args[2])
	}
	await(ts, awaitTimeout, "version "+args[0]+" on "+args[1]+" daemons", func() error {
		view, err := sc.fleetView(ts, queried)
		if err != nil {
			return err
		}
		if view.Settings != args[0] || strconv.Itoa(view.InForce) != args[1] {
			return errors.Errorf("version %s is in force on %d of %d", view.Settings, view.InForce, view.DaemonCount)
		}
		return nil
	})
}

// versionWatcher polls the settings versions that daemons report as in force.
type versionWatcher struct {
	stop chan struct{}
	done chan struct{}

	highest    map[string]uint64 // highest version read, by daemon name
	regression string            // the first time that a version went back; "" if none did
	samples    int               // versions read from all daemons
}

// cmdVersions checks that the settings version in force never goes back on any daemon:
//
//	versions watch     starts to poll all daemons
//	versions check     stops, and fails if a version went back or none was read
func cmdVersions(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	switch args[0] {
	case "watch":
		sc.versionWatch = &versionWatcher{stop: make(chan struct{}), done: make(chan struct{}), highest: map[string]uint64{}}
		go sc.versionWatch.run(append([]*process(nil), sc.daemons...), ts.Getenv("CHICORYLUG_TOKEN"))
	case "check":
		close(sc.versionWatch.stop)
		<-sc.versionWatch.done
		if sc.versionWatch.regression != "" {
			ts.Fatalf("%s", sc.versionWatch.regression)
		}
		if sc.versionWatch.samples == 0 {
			ts.Fatalf("no settings version was read from any daemon")
		}
	}
}

func (v *versionWatcher) run(daemons []*process, token string) {
	defer close(v.done)
	for {
		for _, d := range daemons {
			v.sample(d, token)
		}
		select {
		case <-v.stop:
			return
		case <-time.After(awaitPollInterval):
		}
	}
}

func (v *versionWatcher) sample(d *process, token string) {
	status, body, err := getWithToken(token, d.conf.AdminAddress, admin.PathStatus)
	if err != nil || status != fasthttp.StatusOK {
		return
	}
	var view admin.Status
	if json.Unmarshal(body, &view) != nil || view.Settings == 0 {
		return
	}
	v.samples++
	now := uint64(view.Settings)
	if now < v.highest[d.name] && v.regression == "" {
		v.regression = fmt.Sprintf("daemon %s went back from version %d to %d", d.name, v.highest[d.name], now)
	}
	v.highest[d.name] = max(now, v.highest[d.name])
}

// getWithToken sends a GET request with an operator's token to a daemon's admin address
// and returns status and body.
func getWithToken(token, address, path string) (int, []byte, error) {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+token)
	if err := fasthttp.DoTimeout(request, response, time.Second); err != nil {
		return 0, nil, err
	}
	return response.StatusCode(), bytes.Clone(response.Body()), nil
}

// cmdRace sends concurrent changes of one part of the settings, all based on the same
// version and each to the next daemon. Exactly one must be accepted; the others must
// exit with code 4 and print the difference:
//
//	race PART BASE FILE...      PART is --team=NAME or --fleet
func cmdRace(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	codes := make([]int, len(args)-2)
	outputs := make([]bytes.Buffer, len(codes))
	var wg sync.WaitGroup
	for i, file := range args[2:] {
		address := sc.daemons[i%len(sc.daemons)].conf.AdminAddress
		cmd := sc.toolCommand(ts, "settings", "set", args[0], "--base", args[1], "--admin", address, file)
		cmd.Stderr = &outputs[i]
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = cmd.Run()
			codes[i] = cmd.ProcessState.ExitCode()
		}()
	}
	wg.Wait()
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
		ts.Fatalf("%d concurrent changes were accepted, want 1", accepted)
	}
}

// cmdRefuseEdits tries each line of a file as an edit of the whole settings tree. Each
// must be refused as invalid, with file, line, column, a path and a text in the message.
// FILE has at least AT-LEAST lines of the form PATH | VALUE | PATH IN THE MESSAGE | TEXT:
//
//	refuse-edits FILE AT-LEAST
func cmdRefuseEdits(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	position := regexp.MustCompile(`edit:\d+:\d+: `)
	lines := strings.Split(strings.TrimSpace(ts.ReadFile(args[0])), "\n")
	if least := intArg(ts, args, 1); len(lines) < least {
		ts.Fatalf("%d edits in %s, want at least %d", len(lines), args[0], least)
	}
	for _, line := range lines {
		fields := strings.Split(line, " | ")
		if len(fields) != 4 {
			ts.Fatalf("line is not of the form PATH | VALUE | PATH | TEXT: %s", line)
		}
		cmd := sc.toolCommand(ts, "settings", "edit", "--", fields[0], fields[1])
		out, _ := cmd.CombinedOutput()
		text := string(out)
		if cmd.ProcessState.ExitCode() != 1 || !position.MatchString(text) || !strings.Contains(text, fields[2]) || !strings.Contains(text, fields[3]) {
			ts.Fatalf("%s: exit code %d: %s", line, cmd.ProcessState.ExitCode(), text)
		}
	}
}

// cmdListening waits until the admin addresses of daemons accept connections:
//
//	listening DAEMON...
func cmdListening(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		address := sc.daemon(ts, name).conf.AdminAddress
		await(ts, awaitTimeout, "admin address of "+name, func() error {
			conn, err := net.DialTimeout("tcp", address, callTimeout)
			if err != nil {
				return err
			}
			return conn.Close()
		})
	}
}

// cmdNoTokenInLogs asserts that no daemon's log contains a token of the operators:
//
//	no-token-in-logs NAME...
func cmdNoTokenInLogs(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	for _, d := range sc.daemons {
		log, err := os.ReadFile(d.logFile)
		ts.Check(err)
		for _, name := range args {
			if bytes.Contains(log, []byte(token(name))) {
				ts.Fatalf("the log of %s contains the token of %s", d.name, name)
			}
		}
	}
}

// cmdLastRequest sets a variable to the ID of the last recorded request, which must have
// been answered:
//
//	last-request VARIABLE
func cmdLastRequest(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	observations := sc.observations()
	if len(observations) == 0 || observations[len(observations)-1].Request == "" {
		ts.Fatalf("the last request got no response with a request ID")
	}
	ts.Setenv(args[0], string(observations[len(observations)-1].Request))
}

// examplesDir is the folder of the example settings.
const examplesDir = "../examples"

// cmdQuickstart starts the example installation on the scenario's own addresses
// as daemon "quickstart" and waits until it is ready:
//
//	quickstart
func cmdQuickstart(sc *scenario, ts *testscript.TestScript, _ bool, _ []string) {
	text, err := os.ReadFile(filepath.Join(examplesDir, "quickstart.jsonc"))
	ts.Check(err)
	ip, _, _ := net.SplitHostPort(sc.address(1, callerPort))
	file := ts.MkAbs("quickstart.jsonc")
	ts.Check(os.WriteFile(file, bytes.ReplaceAll(text, []byte("127.0.0.1"), []byte(ip)), 0o644))
	settings, err := os.ReadFile(filepath.Join(examplesDir, "lagos.jsonc"))
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("lagos.jsonc"), settings, 0o644))
	conf, err := config.Load(file)
	ts.Check(err)
	d := &process{name: "quickstart", args: []string{"--config", file}, logFile: ts.MkAbs("quickstart.log"), conf: *conf}
	sc.daemons = append(sc.daemons, d)
	ts.Check(sc.start(d, "chicorylugd"))
	sc.awaitReady(ts)
}

// cmdEnvConfig replaces 127.0.0.1 in a daemon's settings file by an address of the
// scenario's own network:
//
//	env-config FILE
func cmdEnvConfig(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	ip, _, _ := net.SplitHostPort(sc.address(1, callerPort))
	text := strings.ReplaceAll(ts.ReadFile(args[0]), "127.0.0.1", ip)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o644))
}

// cmdOwns waits until a server is in a state and owns no shards, or some:
//
//	owns SERVER none|some STATE
func cmdOwns(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	await(ts, awaitTimeout, args[0]+" owns "+args[1], func() error {
		out, err := sc.toolCommand(ts, "pools", "--json").Output()
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
