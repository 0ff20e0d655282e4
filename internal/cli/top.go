package cli

import (
	"fmt"
	"time"

	"github.com/chicorylug/chicorylug/internal/admin"
	"github.com/chicorylug/chicorylug/internal/inspect"
	"github.com/chicorylug/chicorylug/internal/tally"
)

const clearScreen = "\x1b[H\x1b[2J"

type topCommand struct {
	Once   bool          `long:"once" description:"print the rates over one period and exit"`
	Period time.Duration `long:"period" default:"2s" description:"time over which rates are taken"`
	global *Global
}

// Rate is what a subject did during a period.
type Rate struct {
	tally.Labels
	Running int64   `json:"running"`
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
		err := c.show(rates(before, now), now.Unreachable)
		if c.Once || err != nil && !c.partialOnly(err) {
			return err
		}
		before = now
	}
}

// partialOnly reports that the view goes on although daemons are missing.
func (c *topCommand) partialOnly(err error) bool {
	exit, ok := err.(*exitError)
	return ok && exit.code == ExitPartial
}

func (c *topCommand) show(list []Rate, silent []inspect.UnreachableDaemon) error {
	if c.global.JSON {
		if err := c.global.printJSON(list); err != nil {
			return err
		}
		return c.global.partial(silent)
	}
	if !c.Once {
		fmt.Fprint(c.global.out, clearScreen)
	}
	var rows [][]any
	for _, r := range list {
		rows = append(rows, []any{r.Pool, r.Rank, r.Server, r.Running, fmt.Sprintf("%.1f", r.PerSec), fmt.Sprintf("%.1f", r.Refused), fmt.Sprintf("%.1f", r.MeanMS)})
	}
	if err := c.global.rows([]any{"Pool", "Rank", "Server", "Running", "Done/s", "Refused/s", "Mean ms"}, rows); err != nil {
		return err
	}
	return c.global.partial(silent)
}

// rates compares two states. A counter that fell was reset by a restart.
func rates(before, now inspect.Counts) []Rate {
	old := map[tally.Labels]tally.Count{}
	for _, count := range before.Counts {
		old[count.Labels] = count
	}
	seconds := now.At.Sub(before.At).Seconds()
	list := make([]Rate, 0, len(now.Counts))
	for _, count := range now.Counts {
		was := old[count.Labels]
		rate := Rate{Labels: count.Labels, Running: count.Running}
		done := max(0, count.Done-was.Done)
		rate.PerSec = float64(done) / seconds
		rate.Refused = float64(max(0, count.Refused-was.Refused)) / seconds
		if done > 0 {
			rate.MeanMS = float64(max(0, count.BusyMicros-was.BusyMicros)) / float64(done) / 1000
		}
		list = append(list, rate)
	}
	return list
}
