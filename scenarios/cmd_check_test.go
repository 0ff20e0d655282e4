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

// cmdCheck asserts on the servers' record and on what callers saw:
//
//	check one-owner          no key ran on two servers at one time, nor under an older epoch after a newer one
//	check at-most-once       no idempotency key ran twice
//	check not-run            nothing that a caller was told was not run did run
//	check whole              every answer of status 200 was whole and the caller's own
//	check slots N            no server ran more than N requests at one time
//	check connections N      no server has more than N connections
//	check unanswered N       at most N requests got no answer of status 200
//	check answered N         callers got at least N answers of status 200
//	check ran [--at-least N] some requests ran
func cmdCheck(w *world, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		ts.Fatalf("usage: check RULE [N]")
	}
	problem := ""
	switch args[0] {
	case "one-owner":
		problem = twoOwners(w.runs(ts))
	case "at-most-once":
		problem = ranTwice(w.runs(ts))
	case "not-run":
		problem = w.ranAfterAll(w.runs(ts))
	case "whole":
		problem = w.notWhole()
	case "slots":
		problem = w.overSlots(ts, number(ts, args, 1))
	case "connections":
		problem = w.overConnections(ts, number(ts, args, 1))
	case "unanswered":
		problem = w.manyUnanswered(number(ts, args, 1))
	case "answered":
		problem = w.fewAnswers(number(ts, args, 1))
	default:
		ts.Fatalf("unknown rule %s", args[0])
	}
	if problem != "" {
		ts.Fatalf("check %s: %s", args[0], problem)
	}
}

func number(ts *testscript.TestScript, args []string, index int) int {
	if index >= len(args) {
		ts.Fatalf("check %s wants a number", args[0])
	}
	value, err := strconv.Atoi(args[index])
	ts.Check(err)
	return value
}

type poolKey struct {
	pool model.PoolName
	key  model.Key
}

// twoOwners looks for runs of one key that overlap on different servers, and
// for runs under an epoch older than one that ran before.
func twoOwners(runs []backend.Run) string {
	byKey := map[poolKey][]backend.Run{}
	for _, run := range runs {
		if run.Shard != model.NoShard {
			id := poolKey{run.Pool, run.Key}
			byKey[id] = append(byKey[id], run)
		}
	}
	for _, same := range byKey {
		sort.Slice(same, func(i, j int) bool { return same[i].Start.Before(same[j].Start) })
		if problem := ownersInOrder(same); problem != "" {
			return problem
		}
	}
	return ""
}

// ownersInOrder takes the runs of one key by their start.
func ownersInOrder(runs []backend.Run) string {
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
				return fmt.Sprintf("key %s ran on %s (epoch %d) and %s (epoch %d) at one time", first.Key, first.Server, first.Epoch, second.Server, second.Epoch)
			}
		}
	}
	return ""
}

func ranTwice(runs []backend.Run) string {
	seen := map[string]backend.Run{}
	for _, run := range runs {
		if run.IdempotencyKey == "" {
			continue
		}
		id := run.Method + " " + run.Path + " " + run.IdempotencyKey
		if first, again := seen[id]; again {
			return fmt.Sprintf("%s ran on %s as request %s and on %s as request %s", id, first.Server, first.RequestID, run.Server, run.RequestID)
		}
		seen[id] = run
	}
	return ""
}

func (w *world) ranAfterAll(runs []backend.Run) string {
	ran := map[model.RequestID]backend.Run{}
	for _, run := range runs {
		ran[run.RequestID] = run
	}
	for _, seen := range w.seen() {
		if seen.Refusal == nil || seen.Refusal.Outcome != reason.NotRun {
			continue
		}
		if run, did := ran[seen.Refusal.RequestID]; did {
			return fmt.Sprintf("request %s was told not run (%s) but ran on %s", run.RequestID, seen.Refusal.Code, run.Server)
		}
	}
	return ""
}

func (w *world) seen() []observation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]observation(nil), w.observed...)
}

func (w *world) notWhole() string {
	for _, seen := range w.seen() {
		if seen.Fault != "" {
			return seen.Method + " " + seen.Path + ": " + seen.Fault
		}
	}
	return ""
}

func (w *world) stats(ts *testscript.TestScript, s backend.Options) backend.Stats {
	var stats backend.Stats
	ts.Check(json.Unmarshal(w.must(ts, fasthttp.MethodGet, s.Control, backend.PathStats, nil), &stats))
	return stats
}

func (w *world) overSlots(ts *testscript.TestScript, limit int) string {
	for _, s := range w.servers {
		if stats := w.stats(ts, s); stats.MaxInUse > limit || stats.Refused > 0 {
			return fmt.Sprintf("server %s ran %d at one time and refused %d", s.ID, stats.MaxInUse, stats.Refused)
		}
	}
	return ""
}

func (w *world) overConnections(ts *testscript.TestScript, limit int) string {
	for _, s := range w.servers {
		if stats := w.stats(ts, s); stats.Connections > limit {
			return fmt.Sprintf("server %s has %d connections", s.ID, stats.Connections)
		}
	}
	return ""
}

func (w *world) fewAnswers(least int) string {
	answered := 0
	for _, seen := range w.seen() {
		if seen.Status == fasthttp.StatusOK {
			answered++
		}
	}
	if answered < least {
		return fmt.Sprintf("%d answers of status 200, want %d", answered, least)
	}
	return ""
}

func (w *world) manyUnanswered(most int) string {
	unanswered := 0
	last := ""
	for _, seen := range w.seen() {
		if seen.Status != fasthttp.StatusOK {
			unanswered++
			last = fmt.Sprintf("%s %s: status %d, refusal %v, error %v", seen.Method, seen.Path, seen.Status, seen.Refusal, seen.Err)
		}
	}
	if unanswered > most {
		return fmt.Sprintf("%d requests got no answer of status 200, want at most %d; the last: %s", unanswered, most, last)
	}
	return ""
}
