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

// cmdMark notes this moment:
//
//	mark NAME
func cmdMark(w *world, ts *testscript.TestScript, _ bool, args []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.marks[args[0]] = time.Now()
}

func (w *world) marked(ts *testscript.TestScript, name string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.marks[name]
	if !ok {
		ts.Fatalf("no mark %s", name)
	}
	return at
}

type spanOptions struct {
	From    string `long:"from" description:"mark"`
	To      string `long:"to" description:"mark"`
	Path    string `long:"path" description:"prefix of the path"`
	Rank    string `long:"rank"`
	Percent int    `long:"percent" default:"100"`
	Least   int    `long:"least" default:"1" description:"requests that must have been seen"`
}

func (o *spanOptions) parse(w *world, ts *testscript.TestScript, args []string) (rest []string, from, to time.Time) {
	rest = parse(ts, o, args)
	from, to = time.Time{}, time.Now()
	if o.From != "" {
		from = w.marked(ts, o.From)
	}
	if o.To != "" {
		to = w.marked(ts, o.To)
	}
	return rest, from, to
}

// cmdAnswers asserts that callers got answers of status 200 to a share of their requests:
//
//	answers [--from MARK] [--to MARK] [--path PREFIX] [--percent P] [--least N]
func cmdAnswers(w *world, ts *testscript.TestScript, _ bool, args []string) {
	var o spanOptions
	_, from, to := o.parse(w, ts, args)
	sent, answered := 0, 0
	example := ""
	for _, seen := range w.seen() {
		if seen.Sent.Before(from) || seen.Sent.After(to) || !strings.HasPrefix(seen.Path, o.Path) {
			continue
		}
		sent++
		if seen.Status == fasthttp.StatusOK && seen.Err == nil && seen.Fault == "" {
			answered++
		} else {
			example = fmt.Sprintf("%s: %v %v %s", seen.Path, seen.Refusal, seen.Err, seen.Fault)
		}
	}
	if sent < o.Least || answered*100 < sent*o.Percent {
		ts.Fatalf("%d of %d requests were answered, want %d%% of at least %d; e.g. %s", answered, sent, o.Percent, o.Least, example)
	}
}

// cmdOvertaken asserts on the order at the servers: for all but one in ten
// requests to a path, at most N requests of other paths began at the same
// server after the caller sent it and before it began:
//
//	overtaken --path PREFIX [--least N] N
func cmdOvertaken(w *world, ts *testscript.TestScript, _ bool, args []string) {
	var o spanOptions
	rest, from, to := o.parse(w, ts, args)
	limit, err := strconv.Atoi(rest[0])
	ts.Check(err)
	runs := w.runs(ts)
	sent := w.sentTimes()
	var counts []int
	for i := range runs {
		run := &runs[i]
		at, known := sent[run.RequestID]
		if !known || !strings.HasPrefix(run.Path, o.Path) || at.Before(from) || at.After(to) {
			continue
		}
		counts = append(counts, overtaking(runs, run, o.Path, at))
	}
	sort.Ints(counts)
	if len(counts) < o.Least {
		ts.Fatalf("%d requests to %s ran, want at least %d", len(counts), o.Path, o.Least)
	}
	if most := counts[len(counts)*9/10]; most > limit {
		ts.Fatalf("requests to %s were overtaken by %d others, want at most %d", o.Path, most, limit)
	}
}

func (w *world) sentTimes() map[model.RequestID]time.Time {
	sent := map[model.RequestID]time.Time{}
	for _, seen := range w.seen() {
		sent[seen.Request] = seen.Sent
	}
	return sent
}

// overtaking counts the runs of other paths that began while a request waited.
func overtaking(runs []backend.Run, run *backend.Run, path string, sent time.Time) int {
	count := 0
	for i := range runs {
		other := &runs[i]
		if other.Server == run.Server && !strings.HasPrefix(other.Path, path) && other.Start.After(sent) && other.Start.Before(run.Start) {
			count++
		}
	}
	return count
}

// cmdShare asserts that a rank had at least a share of the runs of all servers:
//
//	share --rank RANK --percent P [--from MARK] [--to MARK]
func cmdShare(w *world, ts *testscript.TestScript, _ bool, args []string) {
	var o spanOptions
	_, from, to := o.parse(w, ts, args)
	all, own := 0, 0
	byServer := map[model.ServerID]map[model.Rank]int{}
	for _, run := range w.runs(ts) {
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

// cmdRanMost asserts that a path ran at most N times on all servers together:
//
//	ranmost PATH N
func cmdRanMost(w *world, ts *testscript.TestScript, _ bool, args []string) {
	limit, err := strconv.Atoi(args[1])
	ts.Check(err)
	if count := w.countRuns(ts, args[0]); count > limit {
		ts.Fatalf("%s ran %d times, want at most %d", args[0], count, limit)
	}
}

// Work that a server gets, as seen by newwork.
const (
	newWorkQuiet = 2 * time.Second // time without new work that counts as its end
	newWorkLeast = 20              // runs of other servers in that time
)

// cmdNewWork waits until a server gets no new work while others do:
//
//	newwork ends SERVER
func cmdNewWork(w *world, ts *testscript.TestScript, _ bool, args []string) {
	server := model.ServerID(args[1])
	own, others, since := 0, 0, time.Now()
	await(ts, awaitTimeout, "end of new work at "+args[1], func() error {
		nowOwn, nowOthers := w.countByServer(ts, server)
		if nowOwn != own {
			own, others, since = nowOwn, nowOthers, time.Now()
		}
		if time.Since(since) < newWorkQuiet || nowOthers < others+newWorkLeast {
			return fmt.Errorf("%d runs there, %d elsewhere", nowOwn, nowOthers)
		}
		return nil
	})
}

func (w *world) countByServer(ts *testscript.TestScript, server model.ServerID) (own, others int) {
	for _, s := range w.servers {
		if s.ID == server {
			own += w.stats(ts, s).Runs
		} else {
			others += w.stats(ts, s).Runs
		}
	}
	return own, others
}

// cmdWorked asserts that each of the servers ran something after a mark:
//
//	worked --from MARK SERVER...
func cmdWorked(w *world, ts *testscript.TestScript, _ bool, args []string) {
	var o spanOptions
	servers, from, _ := o.parse(w, ts, args)
	worked := map[model.ServerID]bool{}
	for _, run := range w.runs(ts) {
		worked[run.Server] = worked[run.Server] || run.Start.After(from)
	}
	for _, server := range servers {
		if !worked[model.ServerID(server)] {
			ts.Fatalf("server %s ran nothing", server)
		}
	}
}
