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

// begun is a request that was sent in the background.
type begun struct {
	options requestOptions
	results []observation
	done    chan struct{}
}

// cmdBegin sends requests in the background; finish checks what the caller saw:
//
//	begin NAME [options of request] METHOD PATH
func cmdBegin(w *world, ts *testscript.TestScript, _ bool, args []string) {
	b := &begun{done: make(chan struct{})}
	rest := parse(ts, &b.options, args[1:])
	if len(rest) != 2 {
		ts.Fatalf("usage: begin NAME [options] METHOD PATH")
	}
	w.mu.Lock()
	w.begun[args[0]] = b
	w.mu.Unlock()
	go func() {
		defer close(b.done)
		b.results = w.sendAll(ts, &b.options, rest[0], rest[1])
	}()
}

// cmdFinish waits for what begin sent and checks it:
//
//	finish NAME
func cmdFinish(w *world, ts *testscript.TestScript, _ bool, args []string) {
	w.mu.Lock()
	b := w.begun[args[0]]
	w.mu.Unlock()
	if b == nil {
		ts.Fatalf("nothing was begun as %s", args[0])
	}
	<-b.done
	for i := range b.results {
		if problem := b.options.problem(&b.results[i]); problem != "" {
			ts.Fatalf("%s %s: %s", b.results[i].Method, b.results[i].Path, problem)
		}
	}
}

// cmdRuns asserts on how often the servers began to run a path:
//
//	runs PATH N         exactly N times
//	runs --await PATH   waits until it ran
func cmdRuns(w *world, ts *testscript.TestScript, _ bool, args []string) {
	if args[0] == "--await" {
		await(ts, awaitTimeout, "run of "+args[1], func() error {
			if w.countRuns(ts, args[1]) == 0 {
				return fmt.Errorf("no run yet")
			}
			return nil
		})
		return
	}
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	if got := w.countRuns(ts, args[0]); got != want {
		ts.Fatalf("%s ran %d times, want %d", args[0], got, want)
	}
}

func (w *world) countRuns(ts *testscript.TestScript, path string) int {
	count := 0
	for _, run := range w.runs(ts) {
		if run.Path == path {
			count++
		}
	}
	return count
}

// cmdRefusals waits until a daemon has counted a refusal for a reason:
//
//	refusals DAEMON REASON
func cmdRefusals(w *world, ts *testscript.TestScript, _ bool, args []string) {
	address := w.daemon(ts, args[0]).conf.AdminAddress
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
			return fmt.Errorf("not counted: %v", vars.Refusals)
		}
		return nil
	})
}

// cmdPause waits, for steps that need a daemon to be stopped for some time:
//
//	pause DURATION
func cmdPause(_ *world, ts *testscript.TestScript, _ bool, args []string) {
	pause, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(pause)
}

// cmdArrived asserts that the servers were sent at most LIMIT requests since
// the last call, those that they refused included:
//
//	arrived mark
//	arrived LIMIT
func cmdArrived(w *world, ts *testscript.TestScript, _ bool, args []string) {
	total := 0
	for _, s := range w.servers {
		stats := w.stats(ts, s)
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

// cmdInterrupt sends a daemon SIGTERM and, when it has begun to leave, again. It
// has to end with exit code 1 and log what it cut off:
//
//	interrupt DAEMON
func cmdInterrupt(w *world, ts *testscript.TestScript, _ bool, args []string) {
	d := w.daemon(ts, args[0])
	d.signal(syscall.SIGTERM)
	await(ts, awaitTimeout, args[0]+" not ready", func() error {
		if ready(d) == nil {
			return fmt.Errorf("still ready")
		}
		return nil
	})
	d.signal(syscall.SIGTERM)
	<-d.done
	if code := d.cmd.ProcessState.ExitCode(); code != 1 {
		ts.Fatalf("daemon %s ended with exit code %d, want 1", d.name, code)
	}
	log, err := os.ReadFile(d.log)
	ts.Check(err)
	if !strings.Contains(string(log), "were cut off") {
		ts.Fatalf("daemon %s does not say what it cut off", d.name)
	}
}
