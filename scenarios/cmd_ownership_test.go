package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/ownership"
	adapter "github.com/chicorylug/chicorylug/platform"
)

func init() {
	commands["dispatcher"] = cmdDispatcher
	commands["coordinator"] = cmdCoordinator
	commands["idle"] = cmdIdle
	commands["moved"] = cmdMoved
	commands["same"] = cmdSame
	commands["newer"] = cmdNewer
}

// cmdSame asserts that two texts are equal, or with "!" that they differ:
//
//	same A B
func cmdSame(_ *scenario, ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: same A B")
	}
	if (args[0] == args[1]) == neg {
		ts.Fatalf("found %q and %q", args[0], args[1])
	}
}

// cmdNewer asserts that the first epoch is greater than the second, or with "!" that it
// is not:
//
//	newer EPOCH EPOCH
func cmdNewer(_ *scenario, ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: newer EPOCH EPOCH")
	}
	first, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	second, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	if (first > second) == neg {
		ts.Fatalf("found epochs %d and %d", first, second)
	}
}

// dispatcherTimeout limits one attempt, because a request to a daemon that is cut off
// ends only at its deadline.
const dispatcherTimeout = "1s"

type dispatcherOptions struct {
	Keys   int    `long:"n" default:"1" description:"number of keys to look at; {n} in the path"`
	Unlike string `long:"unlike" description:"daemon that is not asked and must not be the answer"`
}

// cmdDispatcher sets VAR to the daemon that dispatches a key's requests, and VAR_PATH to
// the path with the key. It tries the keys in turn until the dispatcher is not NAME:
//
//	dispatcher [--unlike NAME] [--n KEYS] PATH VAR
func cmdDispatcher(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	var o dispatcherOptions
	rest := parse(ts, &o, args)
	if len(rest) != 2 {
		ts.Fatalf("usage: dispatcher [--unlike NAME] PATH VAR")
	}
	request := requestOptions{Status: "200", Timeout: dispatcherTimeout}
	number := -1
	await(ts, awaitTimeout, "dispatcher of "+rest[0], func() error {
		number = (number + 1) % o.Keys
		path := expandNumber(rest[0], number)
		obs := sc.send(&request, sc.runningDaemonExcept(ts, o.Unlike).conf.CallerAddress, fasthttp.MethodGet, path)
		if problem := request.problem(&obs); problem != "" {
			return fmt.Errorf("%s", problem)
		}
		if obs.Dispatcher == o.Unlike {
			return fmt.Errorf("still %s", obs.Dispatcher)
		}
		ts.Setenv(rest[1], obs.Dispatcher)
		ts.Setenv(rest[1]+"_PATH", path)
		return nil
	})
}

// runningDaemonExcept returns the first running daemon with another name.
func (sc *scenario) runningDaemonExcept(ts *testscript.TestScript, name string) *process {
	for _, d := range sc.daemons {
		if d.running() && d.name != name {
			return d
		}
	}
	ts.Fatalf("no daemon except %s is running", name)
	return nil
}

// cmdCoordinator sets VAR to the daemon that holds a pool's coordinator lease, and waits
// until it is not NAME:
//
//	coordinator [--unlike NAME] POOL VAR
func cmdCoordinator(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	var o dispatcherOptions
	rest := parse(ts, &o, args)
	if len(rest) != 2 {
		ts.Fatalf("usage: coordinator [--unlike NAME] POOL VAR")
	}
	await(ts, awaitTimeout, "coordinator of "+rest[0], func() error {
		lease, err := sc.lease(rest[0])
		if err != nil {
			return err
		}
		if lease.Holder == "" || string(lease.Holder) == o.Unlike {
			return fmt.Errorf("still %q", lease.Holder)
		}
		ts.Setenv(rest[1], string(lease.Holder))
		return nil
	})
}

// lease reads a pool's coordinator lease from the platform's store.
func (sc *scenario) lease(pool string) (ownership.Lease, error) {
	var lease ownership.Lease
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	row, err := adapter.NewStore(sc.platformAddress(), nil).Get(ctx, "lease/"+pool)
	if err != nil {
		return lease, err
	}
	return lease, json.Unmarshal(row.Value, &lease)
}

// cmdIdle records how many requests a server has run, and later asserts that it has run
// none since:
//
//	idle mark SERVER
//	idle since SERVER
func cmdIdle(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: idle mark|since SERVER")
	}
	runs := sc.stats(ts, sc.server(ts, args[1])).Runs
	name := "idle_" + args[1]
	switch args[0] {
	case "mark":
		ts.Setenv(name, strconv.Itoa(runs))
	case "since":
		if before := ts.Getenv(name); before != strconv.Itoa(runs) {
			ts.Fatalf("server %s has run %d requests, and %s at the mark", args[1], runs, before)
		}
	default:
		ts.Fatalf("usage: idle mark|since SERVER")
	}
}

type movedOptions struct {
	requestOptions
	From string `long:"from" description:"server that must not answer any more"`
}

// cmdMoved waits until, for each key and entry, a server other than SERVER responds:
//
//	moved --from SERVER [--to d1,d2] [--n KEYS] PATH
func cmdMoved(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	var o movedOptions
	rest := parse(ts, &o, args)
	if len(rest) != 1 || o.From == "" {
		ts.Fatalf("usage: moved --from SERVER [--to d1,d2] [--n KEYS] PATH")
	}
	for _, address := range sc.callerAddresses(ts, o.To) {
		for i := range o.Count {
			path := expandNumber(rest[0], i)
			await(ts, awaitTimeout, path+" moved", func() error {
				obs := sc.send(&o.requestOptions, address, fasthttp.MethodGet, path)
				if problem := o.problem(&obs); problem != "" {
					return fmt.Errorf("%s", problem)
				}
				if obs.Server == o.From {
					return fmt.Errorf("key is still at server %s", obs.Server)
				}
				return nil
			})
		}
	}
}
