package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/cli"
)

const firstLog = `{"level":"info","ts":"2026-06-25T07:24:14.5Z","logger":"gateway","msg":"request refused","daemon":"d1","request":"r1","key":46642,"service":"s"}
not a line of a log
{"level":"info","ts":"2026-06-25T07:24:13.1Z","logger":"gateway","msg":"request answered","daemon":"d1","request":"r2","key":7,"service":"s"}
`

const secondLog = `prefix {"level":"info","ts":"2026-06-25T07:24:14.1Z","logger":"keeper","msg":"keys moved","daemon":"d2","service":"s","what":["[46000,47000,\"a\",\"b\"]","[1,2,\"a\",\"b\"]"]}
{"level":"info","ts":"2026-06-25T07:24:14.2Z","logger":"gateway","msg":"send failed","daemon":"d2","request":"r1","service":"s"}
{"level":"warn","ts":"2026-06-25T07:24:14.0Z","logger":"keeper","msg":"waiting for the grants to run out","daemon":"d2","service":"other","from":46642,"to":46650}
`

func trace(t *testing.T, args ...string) (int, []string) {
	folder := t.TempDir()
	files := []string{filepath.Join(folder, "1"), filepath.Join(folder, "2")}
	must.NoError(t, os.WriteFile(files[0], []byte(firstLog), 0o600))
	must.NoError(t, os.WriteFile(files[1], []byte(secondLog), 0o600))
	var out, errs bytes.Buffer
	code := cli.Main(append(append([]string{"trace"}, args...), files...), &out, &errs)
	return code, strings.Split(strings.TrimSpace(out.String()), "\n")
}

func TestTraceOfARequestIsInTheOrderOfTime(t *testing.T) {
	code, lines := trace(t, "--request", "r1")
	must.Eq(t, cli.ExitOK, code)
	must.SliceLen(t, 2, lines)
	must.StrContains(t, lines[0], "d2 gateway: send failed")
	must.StrContains(t, lines[1], "d1 gateway: request refused")
}

func TestTraceOfAKeyShowsItsMoves(t *testing.T) {
	code, lines := trace(t, "--key", "46642")
	must.Eq(t, cli.ExitOK, code)
	must.SliceLen(t, 3, lines)
	must.StrContains(t, lines[0], "waiting for the grants to run out")
	must.StrContains(t, lines[1], "keys moved")
	must.StrContains(t, lines[2], "request refused")
	_, lines = trace(t, "--key", "46642", "--service", "s")
	must.SliceLen(t, 2, lines)
}

func TestTraceNeedsARequestOrAKey(t *testing.T) {
	code, _ := trace(t)
	must.Eq(t, cli.ExitBadUsage, code)
	code, _ = trace(t, "--request", "none")
	must.Eq(t, cli.ExitFailed, code)
}
