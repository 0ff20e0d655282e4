package scenarios

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chicorylug/chicorylug/internal/cli"
	"github.com/chicorylug/chicorylug/internal/daemon"
	"github.com/chicorylug/chicorylug/internal/standin/host"
)

// TestMain lets the test binary act as the programs under test.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"chicorylugd": func() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"chicorylug":  func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin":     func() { os.Exit(host.Main(os.Args[1:], os.Stderr)) },
	})
}

// command is a step of the scenario language.
type command func(w *world, ts *testscript.TestScript, neg bool, args []string)

// commands of the scenario language. Each cmd_*_test.go file adds its own.
var commands = map[string]command{}

func TestScenarios(t *testing.T) {
	scripts := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range commands {
		scripts[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			run(ts.Value(worldKey{}).(*world), ts, neg, args)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		Cmds:                scripts,
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			w, err := newWorld(env)
			if err != nil {
				return err
			}
			env.Values[worldKey{}] = w
			env.Defer(w.close)
			return nil
		},
	})
}
