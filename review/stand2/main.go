// Command stand2 plays the cases of the second review that are scripts: it starts a daemon as
// a separate process over stand-ins of the platform's store, of servers and of callers, and
// checks one rule from what these see. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes of the program.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	argumentsLen = 3
)

// cases are the cases by name.
var cases = map[string]func(*stage) (broken bool, err error){
	"fields": playFields,
	"names":  playNames,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != argumentsLen || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		return exitNotRun
	}
	s, err := newStage(os.Args[2])
	if err == nil {
		defer s.close()
		var broken bool
		if broken, err = cases[os.Args[1]](s); err == nil {
			s.note("broken: %v", broken)
			if broken {
				return exitBroken
			}
			return exitHeld
		}
	}
	fmt.Fprintln(os.Stderr, "stand2:", err)
	return exitNotRun
}
