package scenarios

import (
	"os"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chicorylug/chicorylug/internal/cli"
	"github.com/chicorylug/chicorylug/internal/daemon"
	"github.com/chicorylug/chicorylug/internal/standin/host"
)

// TestMain makes the test binary run as chicorylugd, chicorylug or the stand-ins when
// it is started under one of these names, so that scenarios need no separate builds.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"chicorylugd": func() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"chicorylug":  func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin":     func() { os.Exit(host.Main(os.Args[1:], os.Stderr)) },
		"dormant":     func() { time.Sleep(time.Minute) },
	})
}

// command implements a command of the scenario scripts. neg is true when the script
// prefixes the command with "!".
type command func(sc *scenario, ts *testscript.TestScript, neg bool, args []string)

// commands maps the names of the scenario commands to their implementations. Each
// cmd_*_test.go file registers its own in init.
var commands = map[string]command{}

func TestScenarios(t *testing.T) {
	cmds := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range commands {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			run(ts.Value(scenarioKey{}).(*scenario), ts, neg, args)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		Cmds:                cmds,
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			sc, err := newScenario(env)
			if err != nil {
				return err
			}
			env.Values[scenarioKey{}] = sc
			env.Defer(sc.close)
			return nil
		},
	})
}
