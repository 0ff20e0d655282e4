package cli

import (
	"fmt"
	"time"

	"github.com/chicorylug/chicorylug/internal/admin"
	"github.com/chicorylug/chicorylug/internal/inspect"
	"github.com/chicorylug/chicorylug/internal/tally"
)

const clearScreen = "\x1b[H\x1b[2J" // ANSI: cursor home, erase display

type topCommand struct {
	Once   bool          `long:"once" description:"print the rates over one period and exit"`
	Period time.Duration `long:"period" default:"2s" description:"time over which rates are taken"`
	global *Global
}

// Rate holds the rates of one set of counters over a period.
type Rate struct {
	tally.Labels
	Running int64   `json:"running"` // requests in progress at the end of the period
	PerSec  float64 `json:"done_per_second"`
	Refused float64 `json:"refused_per_second"`
	MeanMS  float64 `json:"mean_ms"`
}

// Execute implements flags.Commander.
func (c *topCommand) Execute([]string) error {
	var before inspect.Counts
	if err := c.global.get(admin.PathTop, nil, &before); err != nil {
		return err
	}
	for {
		time.Sleep(c.Period)
		var now inspect.Counts
		if err := c.global.get(admin.PathTop, nil, &now); err != nil {
			return err
		}
		err := c.print(rates(before, now), now.Unreachable)
		if c.Once || err != nil && !c.isPartial(err) {
			return err
		}
		before = now
	}
}

// isPartial reports whether the error only says that some daemons did not respond, in
// which case the view continues with the others.
func (c *topCommand) isPartial(err error) bool {
	exit, ok := err.(*exitError)
	return ok && exit.code == ExitPartial
}

func (c *topCommand) print(list []Rate, unreachable []inspect.UnreachableDaemon) error {
	if c.global.JSON {
		if err := c.global.printJSON(list); err != nil {
			return err
		}
		return c.global.partialError(unreachable)
	}
	if !c.Once {
		fmt.Fprint(c.global.out, clearScreen)
	}
	var rows [][]any
	for _, r := range list {
		rows = append(rows, []any{r.Pool, r.Rank, r.Server, r.Running, fmt.Sprintf("%.1f", r.PerSec), fmt.Sprintf("%.1f", r.Refused), fmt.Sprintf("%.1f", r.MeanMS)})
	}
	if err := c.global.printTable([]any{"Pool", "Rank", "Server", "Running", "Done/s", "Refused/s", "Mean ms"}, rows); err != nil {
		return err
	}
	return c.global.partialError(unreachable)
}

// rates computes the rates between two readings. A counter that decreased was reset by
// the restart of a daemon and counts as unchanged.
func rates(before, now inspect.Counts) []Rate {
	old := map[tally.Labels]tally.Count{}
	for _, count := range before.Counts {
		old[count.Labels] = count
	}
	seconds := now.At.Sub(before.At).Seconds()
	list := make([]Rate, 0, len(now.Counts))
	for _, count := range now.Counts {
		previous := old[count.Labels]
		rate := Rate{Labels: count.Labels, Running: count.Running}
		done := max(0, count.Done-previous.Done)
		rate.PerSec = float64(done) / seconds
		rate.Refused = float64(max(0, count.Refused-previous.Refused)) / seconds
		if done > 0 {
			rate.MeanMS = float64(max(0, count.BusyMicros-previous.BusyMicros)) / float64(done) / 1000
		}
		list = append(list, rate)
	}
	return list
}
