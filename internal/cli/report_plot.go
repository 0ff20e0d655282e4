package cli

import (
	"fmt"
	"time"

	"github.com/chicorylug/chicorylug/internal/experiment"
)

// maxMarkText is the number of characters of a plot's mark that are shown.
const maxMarkText = 60

// outcomeColumn is a line of the plot: the requests of one outcome in each second.
type outcomeColumn struct {
	name  string
	count func(*reportRow) int
}

var outcomeColumns = []outcomeColumn{
	{"served", func(r *reportRow) int { return r.Served }},
	{"failed", func(r *reportRow) int { return r.Failed }},
	{"not run", func(r *reportRow) int { return r.NotRun }},
	{"unknown", func(r *reportRow) int { return r.Unknown }},
}

// plotRequests plots the requests of each second by outcome, with a mark in each second
// that has events.
func plotRequests(rows []*reportRow, file string) error {
	figure := &experiment.Figure{Title: "Requests by outcome", X: "time (s)", Y: "requests per second"}
	if len(rows) == 0 {
		return figure.Plot(file)
	}
	first := rows[0].Second
	figure.Title += " from " + first.Format(time.DateTime)
	for _, row := range rows {
		if len(row.Events) > 0 {
			figure.Marks = append(figure.Marks, experiment.Mark{X: row.Second.Sub(first).Seconds(), Text: markText(row.Events)})
		}
	}
	for _, column := range outcomeColumns {
		figure.Series = append(figure.Series, column.line(rows))
	}
	return figure.Plot(file)
}

// line returns the counts of the rows. Beside a gap between two rows, there are no requests.
func (c outcomeColumn) line(rows []*reportRow) experiment.Line {
	line := experiment.Line{Name: c.name}
	add := func(second time.Time, count int) {
		line.X = append(line.X, second.Sub(rows[0].Second).Seconds())
		line.Y = append(line.Y, float64(count))
	}
	for i, row := range rows {
		if i > 0 && row.Second.Sub(rows[i-1].Second) > time.Second {
			add(rows[i-1].Second.Add(time.Second), 0)
			add(row.Second.Add(-time.Second), 0)
		}
		add(row.Second, c.count(row))
	}
	return line
}

// markText returns the first event and the number of the others.
func markText(events []string) string {
	text := events[0]
	if len(text) > maxMarkText {
		text = text[:maxMarkText] + "..."
	}
	if len(events) > 1 {
		text += fmt.Sprintf(" (and %d more)", len(events)-1)
	}
	return text
}
