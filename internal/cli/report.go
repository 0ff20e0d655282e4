package cli

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/reason"
)

// reportCommand prints a table of the requests in log files by outcome, one row for each
// second, with the faults and changes that the daemons noticed in it. It can also plot them.
type reportCommand struct {
	global *Global
	Plot   string `long:"plot" value-name:"FILE" description:"write a plot as .svg or .png"`
	Args   struct {
		Files []string `positional-arg-name:"LOGFILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// reportRow counts the requests of one second.
type reportRow struct {
	Second  time.Time `json:"second"`
	Served  int       `json:"served"`  // answered by a server with a status below 500
	Failed  int       `json:"failed"`  // answered by a server with another status
	NotRun  int       `json:"not_run"` // refused by a daemon, certainly not run
	Unknown int       `json:"unknown"` // ended by a daemon, perhaps run
	Omitted int       `json:"omitted"` // lines about requests and others that were not written
	Events  []string  `json:"events,omitempty"`

	counts map[string]int // of each event
}

// Messages of requests.
const (
	messageAnswered = "request answered"
	messageRefused  = "request refused"
)

// reportedMessages are messages of level info that explain a change in the counts.
var reportedMessages = []string{
	"starting", "ready", "stopping", "stopped", "became keeper", "configuration in force", "polls of the store succeed again",
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	rows := map[int64]*reportRow{}
	for _, file := range c.Args.Files {
		lines, err := readLog(file, isReported)
		if err != nil {
			return errors.Wrapf(err, "report: read %s", file)
		}
		for i := range lines {
			countLine(rows, &lines[i])
		}
	}
	list := inOrder(rows)
	if c.Plot != "" {
		if err := plotRequests(list, c.Plot); err != nil {
			return errors.Wrap(err, "report")
		}
	}
	return c.print(list)
}

// isReported reports whether a line is counted or shown.
func isReported(l *logLine) bool {
	switch l.Message {
	case messageAnswered, messageRefused:
		return true
	}
	return l.Level == "warn" || l.Level == "error" || slices.Contains(reportedMessages, l.Message)
}

func countLine(rows map[int64]*reportRow, l *logLine) {
	second := l.At.Unix()
	row := rows[second]
	if row == nil {
		row = &reportRow{Second: l.At.UTC().Truncate(time.Second), counts: map[string]int{}}
		rows[second] = row
	}
	switch {
	case l.Message == messageAnswered && l.Status < 500:
		row.Served++
	case l.Message == messageAnswered:
		row.Failed++
	case l.Message == messageRefused && l.Outcome == string(reason.NotRun):
		row.NotRun++
	case l.Message == messageRefused:
		row.Unknown++
	case l.Omitted > 0:
		row.Omitted += l.Omitted
	default:
		row.counts[l.Daemon+": "+l.Message]++
	}
}

// inOrder returns the rows in the order of time, with their events in the order of daemons.
func inOrder(rows map[int64]*reportRow) []*reportRow {
	var list []*reportRow
	for _, row := range rows {
		for event, count := range row.counts {
			if count > 1 {
				event = fmt.Sprintf("%s (%d times)", event, count)
			}
			row.Events = append(row.Events, event)
		}
		sort.Strings(row.Events)
		list = append(list, row)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Second.Before(list[j].Second) })
	return list
}

func (c *reportCommand) print(rows []*reportRow) error {
	if c.global.JSON {
		return c.global.printJSON(rows)
	}
	var cells [][]any
	for _, r := range rows {
		cells = append(cells, []any{r.Second.Format(time.TimeOnly), r.Served, r.Failed, r.NotRun, r.Unknown, r.Omitted, strings.Join(r.Events, "; ")})
	}
	return c.global.printTable([]any{"Time", "Served", "Failed", "Not run", "Unknown", "Omitted lines", "Events"}, cells)
}
