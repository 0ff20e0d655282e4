package scenarios

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
)

func init() { commands["check"] = cmdCheck }

// cmdCheck asserts on the runs that servers recorded and on what callers saw:
//
//	check one-owner          no key ran on two servers at the same time, or under an older epoch after a newer one
//	check at-most-once       no idempotency key ran twice
//	check not-run            no request ran whose caller got the outcome not_run
//	check whole              every response of status 200 was complete and belonged to the caller's request
//	check slots N            no server ran more than N requests at the same time, or had to refuse one
//	check connections N      no server has more than N connections
//	check unanswered N       at most N requests got no response of status 200
//	check answered N         callers got at least N responses of status 200
func cmdCheck(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		ts.Fatalf("usage: check RULE [N]")
	}
	problem := ""
	switch args[0] {
	case "one-owner":
		problem = checkOneOwner(sc.runs(ts))
	case "at-most-once":
		problem = checkAtMostOnce(sc.runs(ts))
	case "not-run":
		problem = sc.checkNotRun(sc.runs(ts))
	case "whole":
		problem = sc.checkWhole()
	case "slots":
		problem = sc.checkSlots(ts, intArg(ts, args, 1))
	case "connections":
		problem = sc.checkConnections(ts, intArg(ts, args, 1))
	case "unanswered":
		problem = sc.checkUnanswered(intArg(ts, args, 1))
	case "answered":
		problem = sc.checkAnswered(intArg(ts, args, 1))
	default:
		ts.Fatalf("unknown rule %s", args[0])
	}
	if problem != "" {
		ts.Fatalf("check %s: %s", args[0], problem)
	}
}

// intArg returns an argument as an integer.
func intArg(ts *testscript.TestScript, args []string, index int) int {
	if index >= len(args) {
		ts.Fatalf("check %s requires a number", args[0])
	}
	value, err := strconv.Atoi(args[index])
	ts.Check(err)
	return value
}

type poolKey struct {
	pool model.PoolName
	key  model.Key
}

// checkOneOwner looks for runs of one key that overlap on different servers, and for
// runs under an older epoch than an earlier run. Like all check functions it returns
// a description of the first violation, or "".
func checkOneOwner(runs []backend.Run) string {
	byKey := map[poolKey][]backend.Run{}
	for _, run := range runs {
		if run.Shard != model.NoShard {
			id := poolKey{run.Pool, run.Key}
			byKey[id] = append(byKey[id], run)
		}
	}
	for _, keyRuns := range byKey {
		sort.Slice(keyRuns, func(i, j int) bool { return keyRuns[i].Start.Before(keyRuns[j].Start) })
		if problem := checkKeyRuns(keyRuns); problem != "" {
			return problem
		}
	}
	return ""
}

// checkKeyRuns checks the runs of one key, sorted by start time. A run without an end
// is still in progress.
func checkKeyRuns(runs []backend.Run) string {
	now := time.Now()
	for i := range runs {
		for j := i + 1; j < len(runs); j++ {
			first, second := &runs[i], &runs[j]
			if second.Epoch < first.Epoch {
				return fmt.Sprintf("key %s ran under epoch %d on %s after epoch %d on %s", first.Key, second.Epoch, second.Server, first.Epoch, first.Server)
			}
			end := first.End
			if end.IsZero() {
				end = now
			}
			if first.Server != second.Server && second.Start.Before(end) {
				return fmt.Sprintf("key %s ran on %s (epoch %d) and %s (epoch %d) at the same time", first.Key, first.Server, first.Epoch, second.Server, second.Epoch)
			}
		}
	}
	return ""
}

func checkAtMostOnce(runs []backend.Run) string {
	seen := map[string]backend.Run{}
	for _, run := range runs {
		if run.IdempotencyKey == "" {
			continue
		}
		id := run.Method + " " + run.Path + " " + run.IdempotencyKey
		if first, again := seen[id]; again {
			return fmt.Sprintf("%s ran twice: on %s as request %s and on %s as request %s", id, first.Server, first.RequestID, run.Server, run.RequestID)
		}
		seen[id] = run
	}
	return ""
}

// checkNotRun looks for runs of requests that were refused with the outcome not_run.
func (sc *scenario) checkNotRun(runs []backend.Run) string {
	ran := map[model.RequestID]backend.Run{}
	for _, run := range runs {
		ran[run.RequestID] = run
	}
	for _, obs := range sc.observations() {
		if obs.Refusal == nil || obs.Refusal.Outcome != reason.NotRun {
			continue
		}
		if run, found := ran[obs.Refusal.RequestID]; found {
			return fmt.Sprintf("request %s was refused as not run (%s) but ran on %s", run.RequestID, obs.Refusal.Code, run.Server)
		}
	}
	return ""
}

func (sc *scenario) observations() []observation {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return append([]observation(nil), sc.observed...)
}

func (sc *scenario) checkWhole() string {
	for _, obs := range sc.observations() {
		if obs.BodyProblem != "" {
			return obs.Method + " " + obs.Path + ": " + obs.BodyProblem
		}
	}
	return ""
}

func (sc *scenario) stats(ts *testscript.TestScript, s backend.Options) backend.Stats {
	var stats backend.Stats
	ts.Check(json.Unmarshal(sc.mustCall(ts, fasthttp.MethodGet, s.Control, backend.PathStats, nil), &stats))
	return stats
}

func (sc *scenario) checkSlots(ts *testscript.TestScript, limit int) string {
	for _, s := range sc.servers {
		if stats := sc.stats(ts, s); stats.MaxInUse > limit || stats.Refused > 0 {
			return fmt.Sprintf("server %s ran %d requests at the same time and refused %d, want at most %d and 0", s.ID, stats.MaxInUse, stats.Refused, limit)
		}
	}
	return ""
}

func (sc *scenario) checkConnections(ts *testscript.TestScript, limit int) string {
	for _, s := range sc.servers {
		if stats := sc.stats(ts, s); stats.Connections > limit {
			return fmt.Sprintf("server %s has %d connections, want at most %d", s.ID, stats.Connections, limit)
		}
	}
	return ""
}

func (sc *scenario) checkAnswered(least int) string {
	answered := 0
	for _, obs := range sc.observations() {
		if obs.Status == fasthttp.StatusOK {
			answered++
		}
	}
	if answered < least {
		return fmt.Sprintf("%d responses of status 200, want at least %d", answered, least)
	}
	return ""
}

func (sc *scenario) checkUnanswered(most int) string {
	unanswered := 0
	lastFailure := ""
	for _, obs := range sc.observations() {
		if obs.Status != fasthttp.StatusOK {
			unanswered++
			lastFailure = fmt.Sprintf("%s %s: status %d, refusal %v, error %v", obs.Method, obs.Path, obs.Status, obs.Refusal, obs.Err)
		}
	}
	if unanswered > most {
		return fmt.Sprintf("%d requests got no response of status 200, want at most %d; the last: %s", unanswered, most, lastFailure)
	}
	return ""
}
