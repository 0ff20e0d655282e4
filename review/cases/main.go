package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case: it plays the events and returns the breaks of its rule. trouble
// says whether the disruption is played.
type scenario func(b *bench, trouble bool) (breaks []string, err error)

var scenarios = map[string]scenario{
	"extra-rejection": extraRejection,
	"extra-release":   extraRelease,
	"descriptors":     descriptors,
	"memory":          memory,
	"replaced":        replaced,
	"crashing":        crashing,
	"frozen":          frozen,
	"downloads":       downloads,
	"restarts":        restarts,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case that the first argument names. The second one is its folder.
func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	breaks, err := play(scenarios[args[0]], args[1], trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	for _, text := range breaks {
		fmt.Println("broken:", text)
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

func play(s scenario, folder string, trouble bool) (breaks []string, err error) {
	b, err := newBench(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, b.close()) }()
	b.record("trouble %t", trouble)
	breaks, err = s(b, trouble)
	for _, text := range breaks {
		b.record("broken: %s", text)
	}
	return breaks, err
}
