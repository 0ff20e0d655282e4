package scenarios

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/admin"
)

func init() {
	commands["begin"] = cmdBegin
	commands["finish"] = cmdFinish
	commands["runs"] = cmdRuns
	commands["refusals"] = cmdRefusals
	commands["pause"] = cmdPause
	commands["arrived"] = cmdArrived
	commands["interrupt"] = cmdInterrupt
}

// backgroundRequests are the requests of one begin command.
type backgroundRequests struct {
	options requestOptions
	results []observation
	done    chan struct{}
}

// cmdBegin sends requests in the background; finish checks what their callers saw:
//
//	begin NAME [options of request] METHOD PATH
func cmdBegin(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	b := &backgroundRequests{done: make(chan struct{})}
	rest := parse(ts, &b.options, args[1:])
	if len(rest) != 2 {
		ts.Fatalf("usage: begin NAME [options] METHOD PATH")
	}
	sc.mu.Lock()
	sc.background[args[0]] = b
	sc.mu.Unlock()
	go func() {
		defer close(b.done)
		b.results = sc.sendAll(ts, &b.options, rest[0], rest[1])
	}()
}

// cmdFinish waits for the requests of a begin command and checks what their callers saw:
//
//	finish NAME
func cmdFinish(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	sc.mu.Lock()
	b := sc.background[args[0]]
	sc.mu.Unlock()
	if b == nil {
		ts.Fatalf("no requests were begun as %s", args[0])
	}
	<-b.done
	for i := range b.results {
		if problem := b.options.problem(&b.results[i]); problem != "" {
			ts.Fatalf("%s %s: %s", b.results[i].Method, b.results[i].Path, problem)
		}
	}
}

// cmdRuns asserts on how often all servers together started to run a path:
//
//	runs PATH N         exactly N times
//	runs --await PATH   waits until a server has started it
func cmdRuns(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	if args[0] == "--await" {
		await(ts, awaitTimeout, "run of "+args[1], func() error {
			if sc.countRuns(ts, args[1]) == 0 {
				return fmt.Errorf("no run yet")
			}
			return nil
		})
		return
	}
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	if got := sc.countRuns(ts, args[0]); got != want {
		ts.Fatalf("%s ran %d times, want %d", args[0], got, want)
	}
}

func (sc *scenario) countRuns(ts *testscript.TestScript, path string) int {
	count := 0
	for _, run := range sc.runs(ts) {
		if run.Path == path {
			count++
		}
	}
	return count
}

// cmdRefusals waits until a daemon has counted a refusal with a reason code:
//
//	refusals DAEMON REASON
func cmdRefusals(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	address := sc.daemon(ts, args[0]).conf.AdminAddress
	await(ts, awaitTimeout, "refusal "+args[1], func() error {
		var vars struct {
			Refusals map[string]int64 `json:"refusals"`
		}
		_, body, err := call(fasthttp.MethodGet, address, admin.PathVars, nil)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(body, &vars); err != nil {
			return err
		}
		if vars.Refusals[args[1]] == 0 {
			return fmt.Errorf("no refusal counted for %s: %v", args[1], vars.Refusals)
		}
		return nil
	})
}

// cmdPause waits for a fixed time, for scenarios in which a fault must last some time:
//
//	pause DURATION
func cmdPause(_ *scenario, ts *testscript.TestScript, _ bool, args []string) {
	pause, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(pause)
}

// cmdArrived asserts that at most LIMIT requests reached the servers since
// "arrived mark", including those that the servers refused:
//
//	arrived mark
//	arrived LIMIT
func cmdArrived(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	total := 0
	for _, s := range sc.servers {
		stats := sc.stats(ts, s)
		total += stats.Runs + stats.Refused
	}
	if args[0] == "mark" {
		ts.Setenv("ARRIVED", strconv.Itoa(total))
		return
	}
	limit, err := strconv.Atoi(args[0])
	ts.Check(err)
	before, err := strconv.Atoi(ts.Getenv("ARRIVED"))
	ts.Check(err)
	if arrived := total - before; arrived > limit {
		ts.Fatalf("%d requests arrived at the servers, want at most %d", arrived, limit)
	}
}

// cmdInterrupt sends a daemon SIGTERM, and again when its shutdown has begun. The daemon
// must end with exit code 1 and log how many requests were cut off:
//
//	interrupt DAEMON
func cmdInterrupt(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	d := sc.daemon(ts, args[0])
	d.signal(syscall.SIGTERM)
	await(ts, awaitTimeout, args[0]+" not ready", func() error {
		if checkReady(d) == nil {
			return fmt.Errorf("readiness check still passes")
		}
		return nil
	})
	d.signal(syscall.SIGTERM)
	<-d.done
	if code := d.cmd.ProcessState.ExitCode(); code != 1 {
		ts.Fatalf("daemon %s ended with exit code %d, want 1", d.name, code)
	}
	log, err := os.ReadFile(d.logFile)
	ts.Check(err)
	if !strings.Contains(string(log), "were cut off") {
		ts.Fatalf("the log of daemon %s does not say that requests \"were cut off\"", d.name)
	}
}
