package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Verdict is the result of a run.
type Verdict struct {
	Plan    Plan
	Broken  []BrokenPromise
	Excused int // violations of ownership by grants that a fault held up
	peak    resources
	seconds []secondCount
}

// secondCount counts the requests that were sent in one second, by result, and lists the
// faults that began in it.
type secondCount struct {
	results map[Result]int
	faults  []string
}

// restart sets the start of the times that the monitor reports.
func (m *Monitor) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.started = time.Now()
}

func (m *Monitor) verdict(p Plan) *Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := &Verdict{Plan: p, Broken: m.broken, Excused: m.excused, peak: m.peak}
	for _, o := range m.outcomes {
		v.second(o.Sent.Sub(m.started)).results[o.Result]++
	}
	for _, mark := range m.begun {
		second := v.second(mark.At)
		second.faults = append(second.faults, strings.TrimSpace(fmt.Sprintf("%s %s", mark.Event.Kind, mark.Event.Target)))
	}
	return v
}

// second returns the count of the second that holds a time.
func (v *Verdict) second(at time.Duration) *secondCount {
	second := max(0, int(at/time.Second))
	for len(v.seconds) <= second {
		v.seconds = append(v.seconds, secondCount{results: map[Result]int{}})
	}
	return &v.seconds[second]
}

// Write prints the requests of each second by result, the peak of the resources and the
// broken promises.
func (v *Verdict) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "second")
	for _, result := range results {
		fmt.Fprintf(table, "\t%s", result)
	}
	fmt.Fprintln(table, "\tfaults")
	for second, count := range v.seconds {
		fmt.Fprint(table, second)
		for _, result := range results {
			fmt.Fprintf(table, "\t%d", count.results[result])
		}
		fmt.Fprintf(table, "\t%s\n", strings.Join(count.faults, ", "))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write verdict")
	}
	var text strings.Builder
	fmt.Fprintf(&text, "peak of a daemon: %d MB, %d open files; excused ownership violations: %d\n", v.peak.residentBytes>>20, v.peak.descriptors, v.Excused)
	for _, b := range v.Broken {
		fmt.Fprintf(&text, "broken at %.2fs seed %d: %s %s: %s\n", b.At.Seconds(), v.Plan.Seed, b.Promise, b.ID, b.Detail)
	}
	fmt.Fprintf(&text, "seed %d: %d broken promises\n", v.Plan.Seed, len(v.Broken))
	_, err := io.WriteString(out, text.String())
	return errors.Wrap(err, "write verdict")
}

// save writes the plan and the verdict to files in a folder.
func (v *Verdict) save(dir string) error {
	var plan, verdict bytes.Buffer
	if err := v.Plan.Write(&plan); err != nil {
		return err
	}
	if err := v.Write(&verdict); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "plan.txt"), plan.Bytes(), 0o600); err != nil {
		return errors.Wrap(err, "save plan")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, "verdict.txt"), verdict.Bytes(), 0o600), "save verdict")
}
