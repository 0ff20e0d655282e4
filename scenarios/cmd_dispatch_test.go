package scenarios

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
)

func init() {
	commands["mark"] = cmdMark
	commands["answers"] = cmdAnswers
	commands["overtaken"] = cmdOvertaken
	commands["share"] = cmdShare
	commands["ranmost"] = cmdRanMost
	commands["newwork"] = cmdNewWork
	commands["worked"] = cmdWorked
}

// cmdMark records the current time under a name:
//
//	mark NAME
func cmdMark(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.marks[args[0]] = time.Now()
}

func (sc *scenario) markTime(ts *testscript.TestScript, name string) time.Time {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	at, ok := sc.marks[name]
	if !ok {
		ts.Fatalf("mark %s was not set", name)
	}
	return at
}

// windowOptions selects what happened between two marks. Without a mark the window
// begins with the scenario and ends now.
type windowOptions struct {
	From    string `long:"from" description:"mark"`
	To      string `long:"to" description:"mark"`
	Path    string `long:"path" description:"prefix of the path"`
	Rank    string `long:"rank"`
	Percent int    `long:"percent" default:"100"`
	Least   int    `long:"least" default:"1" description:"requests that must have been seen"`
}

func (o *windowOptions) parse(sc *scenario, ts *testscript.TestScript, args []string) (rest []string, from, to time.Time) {
	rest = parse(ts, o, args)
	from, to = time.Time{}, time.Now()
	if o.From != "" {
		from = sc.markTime(ts, o.From)
	}
	if o.To != "" {
		to = sc.markTime(ts, o.To)
	}
	return rest, from, to
}

// cmdAnswers asserts that at least a percentage of the requests sent in a window got a
// complete response of status 200:
//
//	answers [--from MARK] [--to MARK] [--path PREFIX] [--percent P] [--least N]
func cmdAnswers(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	var o windowOptions
	_, from, to := o.parse(sc, ts, args)
	sent, answered := 0, 0
	exampleFailure := ""
	for _, obs := range sc.observations() {
		if obs.Sent.Before(from) || obs.Sent.After(to) || !strings.HasPrefix(obs.Path, o.Path) {
			continue
		}
		sent++
		if obs.Status == fasthttp.StatusOK && obs.Err == nil && obs.BodyProblem == "" {
			answered++
		} else {
			exampleFailure = fmt.Sprintf("%s: %v %v %s", obs.Path, obs.Refusal, obs.Err, obs.BodyProblem)
		}
	}
	if sent < o.Least || answered*100 < sent*o.Percent {
		ts.Fatalf("%d of %d requests got a complete response of status 200, want %d%% of at least %d; e.g. %s", answered, sent, o.Percent, o.Least, exampleFailure)
	}
}

// cmdOvertaken asserts on the order in which servers run requests: for nine in ten
// requests to a path, at most N requests to other paths started at the same server
// after the caller had sent the request and before the server started it:
//
//	overtaken --path PREFIX [--least N] N
func cmdOvertaken(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	var o windowOptions
	rest, from, to := o.parse(sc, ts, args)
	limit, err := strconv.Atoi(rest[0])
	ts.Check(err)
	runs := sc.runs(ts)
	sent := sc.sentTimes()
	var counts []int
	for i := range runs {
		run := &runs[i]
		at, known := sent[run.RequestID]
		if !known || !strings.HasPrefix(run.Path, o.Path) || at.Before(from) || at.After(to) {
			continue
		}
		counts = append(counts, countOvertaking(runs, run, o.Path, at))
	}
	sort.Ints(counts)
	if len(counts) < o.Least {
		ts.Fatalf("%d requests to %s ran, want at least %d", len(counts), o.Path, o.Least)
	}
	if percentile90 := counts[len(counts)*9/10]; percentile90 > limit {
		ts.Fatalf("requests to %s were overtaken by %d requests at the 90th percentile, want at most %d", o.Path, percentile90, limit)
	}
}

// sentTimes returns when callers sent their requests.
func (sc *scenario) sentTimes() map[model.RequestID]time.Time {
	sent := map[model.RequestID]time.Time{}
	for _, obs := range sc.observations() {
		sent[obs.Request] = obs.Sent
	}
	return sent
}

// countOvertaking counts the runs of other paths that started at the same server
// between the sending and the start of a request.
func countOvertaking(runs []backend.Run, run *backend.Run, path string, sent time.Time) int {
	count := 0
	for i := range runs {
		other := &runs[i]
		if other.Server == run.Server && !strings.HasPrefix(other.Path, path) && other.Start.After(sent) && other.Start.Before(run.Start) {
			count++
		}
	}
	return count
}

// cmdShare asserts that a rank had at least a percentage of the runs of all servers:
//
//	share --rank RANK --percent P [--from MARK] [--to MARK]
func cmdShare(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	var o windowOptions
	_, from, to := o.parse(sc, ts, args)
	all, own := 0, 0
	byServer := map[model.ServerID]map[model.Rank]int{}
	for _, run := range sc.runs(ts) {
		if run.Start.Before(from) || run.Start.After(to) {
			continue
		}
		if byServer[run.Server] == nil {
			byServer[run.Server] = map[model.Rank]int{}
		}
		byServer[run.Server][run.Rank]++
		all++
		if string(run.Rank) == o.Rank {
			own++
		}
	}
	if all < o.Least || own*100 < all*o.Percent {
		ts.Fatalf("rank %s had %d of %d runs, want %d%% of at least %d; runs by server: %v", o.Rank, own, all, o.Percent, o.Least, byServer)
	}
}

// cmdRanMost asserts that all servers together ran a path at most N times:
//
//	ranmost PATH N
func cmdRanMost(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	limit, err := strconv.Atoi(args[1])
	ts.Check(err)
	if count := sc.countRuns(ts, args[0]); count > limit {
		ts.Fatalf("%s ran %d times, want at most %d", args[0], count, limit)
	}
}

// Conditions under which newwork considers that a server gets no new requests.
const (
	newWorkQuietPeriod  = 2 * time.Second // the server must start nothing for this long
	newWorkMinOtherRuns = 20              // and the other servers must start this many runs meanwhile
)

// cmdNewWork waits until a server gets no new requests while other servers do:
//
//	newwork ends SERVER
func cmdNewWork(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	server := model.ServerID(args[1])
	own, others, since := 0, 0, time.Now()
	await(ts, awaitTimeout, "end of new requests at "+args[1], func() error {
		nowOwn, nowOthers := sc.countByServer(ts, server)
		if nowOwn != own {
			own, others, since = nowOwn, nowOthers, time.Now()
		}
		if time.Since(since) < newWorkQuietPeriod || nowOthers < others+newWorkMinOtherRuns {
			return fmt.Errorf("%d runs at the server, %d at other servers", nowOwn, nowOthers)
		}
		return nil
	})
}

func (sc *scenario) countByServer(ts *testscript.TestScript, server model.ServerID) (own, others int) {
	for _, s := range sc.servers {
		if s.ID == server {
			own += sc.stats(ts, s).Runs
		} else {
			others += sc.stats(ts, s).Runs
		}
	}
	return own, others
}

// cmdWorked asserts that each of the servers started a request after a mark:
//
//	worked --from MARK SERVER...
func cmdWorked(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	var o windowOptions
	servers, from, _ := o.parse(sc, ts, args)
	worked := map[model.ServerID]bool{}
	for _, run := range sc.runs(ts) {
		worked[run.Server] = worked[run.Server] || run.Start.After(from)
	}
	for _, server := range servers {
		if !worked[model.ServerID(server)] {
			ts.Fatalf("server %s started no request after mark %s", server, o.From)
		}
	}
}
