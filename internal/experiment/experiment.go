package experiment

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Name names an experiment.
type Name string

// Options configure one run.
type Options struct {
	Deployment DeploymentName
	Seed       uint64
	// Daemons is the number of daemons; zero selects the experiment's default.
	Daemons int
	// Duration is the length of each measured phase; zero selects the experiment's default.
	Duration time.Duration
	// Progress is called with a description of each step as it starts. It may be nil.
	Progress func(step string)
}

func (o *Options) progress(format string, args ...any) {
	if o.Progress != nil {
		o.Progress(fmt.Sprintf(format, args...))
	}
}

func (o *Options) daemonsOr(fallback int) int {
	if o.Daemons > 0 {
		return o.Daemons
	}
	return fallback
}

func (o *Options) durationOr(fallback time.Duration) time.Duration {
	if o.Duration > 0 {
		return o.Duration
	}
	return fallback
}

// Upper bounds of Options.Daemons and Options.Duration.
const (
	MaxDaemons  = 200
	MaxDuration = 2 * time.Minute // of one phase
)

// Experiment is one of the measurements that Run can make.
type Experiment struct {
	Name        Name
	Description string
	run         func(ctx context.Context, o Options, r *Report) error
}

// All returns all experiments.
func All() []Experiment {
	return []Experiment{
		{"path", "added latency and processor time of entry and dispatcher against a direct call", runPath},
		{"placement", "imbalance, churn and unavailable time of placement against baselines", runPlacement},
		{"flood", "service by rank under floods, dispatcher queues against direct sending under local limits", runFlood},
		{"control", "processor time, memory, control bytes and store operations as the fleet grows", runControl},
		{"loss", "time without service after losses of servers, daemons and zones", runLoss},
		{"settings", "time from acceptance to in force, and store reads, against polling", runSettings},
	}
}

// Run runs the named experiment. It returns an error if the name is unknown, if an option
// is out of range, or if the experiment fails. In the last case the report holds what was
// measured before the failure; in the others it is nil.
func Run(ctx context.Context, name Name, o Options) (*Report, error) {
	if o.Daemons < 0 || o.Daemons > MaxDaemons {
		return nil, errors.Errorf("daemons: found %d, want 1 to %d", o.Daemons, MaxDaemons)
	}
	if o.Duration < 0 || o.Duration > MaxDuration {
		return nil, errors.Errorf("duration: found %s, want at most %s", o.Duration, MaxDuration)
	}
	all := All()
	index := slices.IndexFunc(all, func(e Experiment) bool { return e.Name == name })
	if index < 0 {
		return nil, errors.Errorf("no experiment %q, want one of %s", name, strings.Join(names(all), ", "))
	}
	report := newReport(name, o)
	err := all[index].run(ctx, o, report)
	return report, errors.Wrapf(err, "experiment %s", name)
}

func names(all []Experiment) []string {
	var list []string
	for _, e := range all {
		list = append(list, string(e.Name))
	}
	return list
}

// Report is the result of a run.
type Report struct {
	Experiment Name           `json:"experiment"`
	Deployment DeploymentName `json:"deployment"`
	Seed       uint64         `json:"seed"`
	Processors int            `json:"processors"`
	// LoadAverage is the machine's load average of the last minute before the run; empty
	// when it cannot be read.
	LoadAverage string   `json:"load_average,omitempty"`
	Tables      []*Table `json:"tables"`
	Notes       []string `json:"notes,omitempty"`
	Figure      *Figure  `json:"figure,omitempty"`
}

// Table is one table of results. Each row has one cell for each header.
type Table struct {
	Title  string     `json:"title"`
	Header []string   `json:"header"`
	Rows   [][]string `json:"rows"`
}

// Figure holds the axis labels and lines of a plot.
type Figure struct {
	Title  string `json:"title"`
	X      string `json:"x"`
	Y      string `json:"y"`
	Series []Line `json:"series"`
	Marks  []Mark `json:"marks,omitempty"`
}

// Mark is a vertical line in a figure, with a text beside it.
type Mark struct {
	X    float64 `json:"x"`
	Text string  `json:"text"`
}

// Line is one named line of a figure; X and Y have the same length.
type Line struct {
	Name string    `json:"name"`
	X    []float64 `json:"x"`
	Y    []float64 `json:"y"`
}

func newReport(name Name, o Options) *Report {
	return &Report{
		Experiment:  name,
		Deployment:  o.Deployment,
		Seed:        o.Seed,
		Processors:  runtime.NumCPU(),
		LoadAverage: loadAverage(),
	}
}

// loadAverage returns the machine's load average of the last minute, or "" if it cannot
// be read.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}

func (r *Report) table(title string, header ...string) *Table {
	t := &Table{Title: title, Header: header}
	r.Tables = append(r.Tables, t)
	return t
}

func (r *Report) note(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

// add appends a row. Floats are formatted with three significant digits, or as integers
// from 1000 on.
func (t *Table) add(values ...any) {
	row := make([]string, 0, len(values))
	for _, value := range values {
		row = append(row, formatValue(value))
	}
	t.Rows = append(t.Rows, row)
}

func formatValue(value any) string {
	switch v := value.(type) {
	case float64:
		return formatFloat(v)
	case time.Duration:
		return fmt.Sprintf("%.2f ms", float64(v)/float64(time.Millisecond))
	default:
		return fmt.Sprint(v)
	}
}

func formatFloat(v float64) string {
	if v >= 1000 || v <= -1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
