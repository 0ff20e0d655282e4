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

// fleetView asks a daemon for the view of all, by the tool.
func (w *world) fleetView(ts *testscript.TestScript, d *process) (inspect.Fleet, error) {
	var view inspect.Fleet
	cmd := exec.Command(w.program("chicorylug"), "status", "--json", "--admin", d.conf.AdminAddress)
	cmd.Env = append(os.Environ(), "CHICORYLUG_TOKEN="+ts.Getenv("CHICORYLUG_TOKEN"))
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
			return errors.Errorf("version %s is in force on %d of %d", view.Settings, view.InForce, view.Listed)
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
		cmd := exec.Command(w.program("chicorylug"), "settings", "set", args[0], "--base", args[1], ts.MkAbs(file))
		cmd.Env = append(os.Environ(),
			"CHICORYLUG_TOKEN="+ts.Getenv("CHICORYLUG_TOKEN"),
			"CHICORYLUG_ADMIN="+w.daemons[i%len(w.daemons)].conf.AdminAddress)
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
