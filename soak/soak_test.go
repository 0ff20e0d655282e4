package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// program is the daemon that TestMain builds.
var program string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover folder fails no test
	program = filepath.Join(dir, "chicorylugd")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/chicorylugd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build chicorylugd: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// playPlan runs a plan and fails the test if a promise was broken.
func playPlan(t *testing.T, p Plan) {
	v, err := Run(context.Background(), p, program, t.TempDir())
	must.NoError(t, err)
	var text bytes.Buffer
	must.NoError(t, p.Write(&text))
	must.NoError(t, v.Write(&text))
	must.SliceEmpty(t, v.Broken, must.Sprint(text.String()))
}

// The seeds of CI are fixed, so that each run injects the same faults.
func TestPromisesAreKeptUnderFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 4, 482} {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { playPlan(t, NewPlan(seed)) })
	}
}

// Plans in testdata have failed once. Each begins with a line on the cause.
func TestPlansThatFailedOnce(t *testing.T) {
	files, err := filepath.Glob("testdata/*.plan")
	must.NoError(t, err)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".plan"), func(t *testing.T) {
			p, err := loadPlan(file)
			must.NoError(t, err)
			playPlan(t, p)
		})
	}
}

func TestPlanIsReadAsWritten(t *testing.T) {
	for seed := range uint64(100) {
		var text bytes.Buffer
		p := NewPlan(seed)
		must.NoError(t, p.Write(&text))
		read, err := ReadPlan(&text)
		must.NoError(t, err)
		must.Eq(t, p, read)
	}
}

func TestInvalidPlansAreRejected(t *testing.T) {
	const fleet = "fleet seed=1 daemons=3 keyed=2 plain=2\n"
	for _, text := range []string{
		"", "1s 1s kill d0\n", fleet + "1s kill d0\n", fleet + "x 1s kill d0\n", fleet + "1s x kill d0\n",
		fleet + "1s 1s explode d0\n", fleet + "1s 1s kill d3\n", fleet + "1s 1s store-down d0\n", fleet + "1s 1s server-crash keeper\n",
		fleet + "1s 1s store-restore\n", fleet + "1s 1s store-restore 13s\n",
		"fleet seed=1 daemons=1000 keyed=2 plain=2\n",
	} {
		_, err := ReadPlan(strings.NewReader(text))
		must.Error(t, err, must.Sprint(text))
	}
}

// A plan that fails whenever it contains two of its events shrinks to these two.
func TestShrinkFindsEventsThatFailTogether(t *testing.T) {
	p := NewPlan(1)
	first, second := p.Events[2], p.Events[len(p.Events)-3]
	shorter, err := shrink(p, "one owner", func(p Plan) (*Verdict, error) {
		found := 0
		for _, e := range p.Events {
			if e == first || e == second {
				found++
			}
		}
		v := &Verdict{Plan: p}
		if found == 2 {
			v.Broken = []BrokenPromise{{Promise: "one owner"}}
		}
		return v, nil
	}, zap.NewNop())
	must.NoError(t, err)
	must.Eq(t, []Event{first, second}, shorter.Events)
}
