package cli_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/cli"
)

const reportedLog = `{"level":"info","ts":"2026-06-25T07:24:14.5Z","msg":"request refused","daemon":"d1","status":503,"outcome":"not_run"}
{"level":"info","ts":"2026-06-25T07:24:13.1Z","msg":"request answered","daemon":"d1","status":200}
{"level":"info","ts":"2026-06-25T07:24:13.9Z","msg":"request answered","daemon":"d1","status":500}
{"level":"info","ts":"2026-06-25T07:24:14.6Z","msg":"request refused","daemon":"d1","status":502,"outcome":"unknown"}
{"level":"warn","ts":"2026-06-25T07:24:14.7Z","msg":"polls of the store fail","daemon":"d1"}
{"level":"warn","ts":"2026-06-25T07:24:14.8Z","msg":"polls of the store fail","daemon":"d1"}
{"level":"warn","ts":"2026-06-25T07:24:14.9Z","msg":"log lines dropped","daemon":"d1","over_bound":12}
{"level":"info","ts":"2026-06-25T07:24:14.9Z","msg":"send failed","daemon":"d1"}
`

func report(t *testing.T, args ...string) string {
	return reportOf(t, reportedLog, args...)
}

func reportOf(t *testing.T, log string, args ...string) string {
	file := filepath.Join(t.TempDir(), "d1.log")
	must.NoError(t, os.WriteFile(file, []byte(log), 0o600))
	var out, errs bytes.Buffer
	must.Eq(t, cli.ExitOK, cli.Main(append([]string{"report", file}, args...), &out, &errs), must.Sprint(errs.String()))
	return out.String()
}

func TestReportCountsRequestsBySecondAndOutcome(t *testing.T) {
	var rows []struct {
		Second                           string
		Served, Failed, Unknown, Omitted int
		NotRun                           int `json:"not_run"`
		Events                           []string
	}
	must.NoError(t, json.Unmarshal([]byte(report(t, "--json")), &rows))
	must.SliceLen(t, 2, rows)
	must.Eq(t, []int{1, 1, 0, 0, 0}, []int{rows[0].Served, rows[0].Failed, rows[0].NotRun, rows[0].Unknown, rows[0].Omitted})
	must.Eq(t, []int{0, 0, 1, 1, 12}, []int{rows[1].Served, rows[1].Failed, rows[1].NotRun, rows[1].Unknown, rows[1].Omitted})
	must.Eq(t, []string{"d1: polls of the store fail (2 times)"}, rows[1].Events)
}

func TestReportIsATable(t *testing.T) {
	text := report(t)
	must.StrContains(t, text, "07:24:13")
	must.StrContains(t, text, "polls of the store fail (2 times)")
}

func TestReportPlotsRequestsByOutcomeWithFaultsMarked(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.svg")
	report(t, "--plot", file)
	plot, err := os.ReadFile(file)
	must.NoError(t, err)
	for _, text := range []string{"served", "failed", "not run", "unknown", "polls of the store fail (2 times)"} {
		must.StrContains(t, string(plot), text)
	}
}

// Rows that are years apart must not need a point for each second between them.
func TestReportPlotsLogsWithGaps(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.svg")
	reportOf(t, `{"ts":"1970-01-01T00:00:01Z","msg":"request answered","daemon":"d1","status":200}`+"\n"+reportedLog, "--plot", file)
	info, err := os.Stat(file)
	must.NoError(t, err)
	must.Less(t, 1<<20, info.Size())
}

func TestReportWithoutRequestsIsPlotted(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.svg")
	reportOf(t, "", "--plot", file)
	must.FileExists(t, file)
}
