package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const maxLogLine = 1 << 20 // maximum length of a log line, in bytes

// traceCommand collects the lines about one request or key from the log files of several
// daemons and prints them in the order of time.
type traceCommand struct {
	global  *Global
	Request string `long:"request" value-name:"ID" description:"lines about this request"`
	Key     int    `long:"key" value-name:"KEY" default:"-1" description:"lines about this key: requests, moves and owners"`
	Service string `long:"service" value-name:"NAME" description:"only lines about this service"`
	Args    struct {
		Files []string `positional-arg-name:"LOGFILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// logLine is a decoded line of a daemon's log, with the fields that the commands use.
type logLine struct {
	At      time.Time `json:"ts"`
	Level   string    `json:"level"`
	Daemon  string    `json:"daemon"`
	Logger  string    `json:"logger"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	Service string    `json:"service"`
	Key     *int      `json:"key"`
	From    *int      `json:"from"`
	To      *int      `json:"to"`
	Moves   []string  `json:"what"`       // see movesKey
	Status  int       `json:"status"`     // of a request
	Outcome string    `json:"outcome"`    // of a request that no server answered
	Omitted int       `json:"over_bound"` // lines that were not written

	text string
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	if (c.Request == "") == (c.Key < 0) {
		return &exitError{code: ExitBadUsage, err: errors.New("trace: give --request or --key")}
	}
	var found []logLine
	for _, file := range c.Args.Files {
		lines, err := readLog(file, c.matches)
		if err != nil {
			return errors.Wrapf(err, "trace: read %s", file)
		}
		found = append(found, lines...)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].At.Before(found[j].At) })
	for i := range found {
		c.print(&found[i])
	}
	if len(found) == 0 {
		return &exitError{code: ExitFailed, err: errors.New("trace: no line found; lines above the bound of their kind are not written")}
	}
	return nil
}

// readLog returns the lines of a log file that keep selects. It skips lines that are not
// lines of a daemon's log; text before the first { of a line is ignored.
func readLog(file string, keep func(*logLine) bool) ([]logLine, error) {
	input, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer input.Close()
	return scanLog(input, keep)
}

func scanLog(input io.Reader, keep func(*logLine) bool) ([]logLine, error) {
	var found []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		_, text, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		line := logLine{text: "{" + text}
		if json.Unmarshal([]byte(line.text), &line) != nil || !keep(&line) {
			continue
		}
		found = append(found, line)
	}
	return found, scanner.Err()
}

// matches reports whether a line is about the request, or about the key by itself, by a
// range that contains it or by a list of moves.
func (c *traceCommand) matches(l *logLine) bool {
	if c.Service != "" && l.Service != c.Service {
		return false
	}
	if c.Request != "" {
		return l.Request == c.Request
	}
	return l.Key != nil && *l.Key == c.Key || l.From != nil && l.To != nil && *l.From <= c.Key && c.Key <= *l.To || movesKey(l.Moves, c.Key)
}

// movesKey reports whether the range of one of the moves contains the key. Each move is a
// JSON array [first key, last key, old owner, new owner].
func movesKey(moves []string, key int) bool {
	for _, text := range moves {
		var move []any
		if json.Unmarshal([]byte(text), &move) != nil || len(move) < 2 {
			continue
		}
		from, fromOK := move[0].(float64)
		to, toOK := move[1].(float64)
		if fromOK && toOK && int(from) <= key && key <= int(to) {
			return true
		}
	}
	return false
}

func (c *traceCommand) print(l *logLine) {
	if c.global.JSON {
		fmt.Fprintln(c.global.out, l.text)
		return
	}
	fmt.Fprintf(c.global.out, "%s %s %s: %s %s\n", l.At.Format("15:04:05.000000"), l.Daemon, l.Logger, l.Message, l.otherFields())
}

// otherFields returns, as name=value in the order of names, the fields of the line that
// the other columns do not show.
func (l *logLine) otherFields() string {
	var fields map[string]json.RawMessage
	if json.Unmarshal([]byte(l.text), &fields) != nil {
		return ""
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		switch name {
		case "ts", "daemon", "logger", "msg", "level":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, name+"="+string(fields[name]))
	}
	return strings.Join(parts, " ")
}
