package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/olekukonko/tablewriter"

	"github.com/chicorylug/chicorylug/internal/experiment"
)

type experimentCommand struct {
	global *Global

	Deployment string        `long:"deployment" choice:"lagos" choice:"taiwan" default:"lagos" description:"example settings, servers and delays between zones"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of arrivals and choices"`
	Daemons    int           `long:"daemons" description:"number of daemons; the experiment's own when not set"`
	Duration   time.Duration `long:"duration" description:"length of each measured phase; the experiment's own when not set"`
	Plot       string        `long:"plot" value-name:"FILE" description:"write the figure as .svg or .png"`
	Args       struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

func addExperiment(parser *flags.Parser, global *Global) error {
	var list strings.Builder
	for _, e := range experiment.All() {
		fmt.Fprintf(&list, "  %-10s %s\n", e.Name, e.Description)
	}
	_, err := parser.AddCommand("experiment", "Measure the system on loopback with stand-ins",
		"Runs one experiment in this process, with daemons and stand-ins on loopback. NAME is one of:\n\n"+list.String()+
			"\nExample: chicorylug experiment path --deployment lagos --plot path.svg",
		&experimentCommand{global: global})
	return err
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	progress, end := progressLine(c.global.err)
	report, err := experiment.Run(ctx, experiment.Name(c.Args.Name), experiment.Options{
		Deployment: experiment.DeploymentName(c.Deployment),
		Seed:       c.Seed,
		Daemons:    c.Daemons,
		Duration:   c.Duration,
		Progress:   progress,
	})
	end()
	if err != nil && report != nil {
		_ = c.global.printReport(report) // the results measured before the error
	}
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := report.Plot(c.Plot); err != nil {
			return err
		}
	}
	if c.global.JSON {
		return c.global.printJSON(report)
	}
	return c.global.printReport(report)
}

// progressLine returns a function that shows the current step on a single line of a
// terminal, and one that clears the line. When out is no terminal, the first is nil and
// the second does nothing.
func progressLine(out io.Writer) (func(string), func()) {
	file, ok := out.(*os.File)
	if !ok || !isTerminal(file) {
		return nil, func() {}
	}
	const clearLine = "\r\033[K"
	return func(step string) { fmt.Fprint(out, clearLine, step) }, func() { fmt.Fprint(out, clearLine) }
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// printReport prints a report as tables and notes.
func (g *Global) printReport(r *experiment.Report) error {
	fmt.Fprintf(g.out, "experiment %s, deployment %s, seed %d, %d processors, load average %s\n", r.Experiment, r.Deployment, r.Seed, r.Processors, r.LoadAverage)
	for _, t := range r.Tables {
		fmt.Fprintf(g.out, "\n%s\n", t.Title)
		table := tablewriter.NewTable(g.out)
		table.Header(t.Header)
		if err := table.Bulk(t.Rows); err != nil {
			return err
		}
		if err := table.Render(); err != nil {
			return err
		}
	}
	for _, note := range r.Notes {
		fmt.Fprintln(g.out, "note:", note)
	}
	return nil
}
