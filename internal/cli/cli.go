// Package cli is the operators' tool: it asks daemons over the admin address.
package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/buildinfo"
)

// Exit codes of chicorylug.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the daemon refused or found a fault
	ExitBadUsage    = 2 // wrong arguments
	ExitUnreachable = 3 // no daemon answered
	ExitConflict    = 4 // another operator's change came first
)

// Global holds the options that all commands share.
type Global struct {
	Admin string `long:"admin" value-name:"IP:PORT" default:"127.0.0.1:8081" env:"CHICORYLUG_ADMIN" description:"admin address of any daemon"`
	JSON  bool   `long:"json" description:"print JSON"`

	out io.Writer
	err io.Writer
}

// exitError carries an exit code with the error that caused it.
type exitError struct {
	code int
	err  error
}

// Error implements the error interface.
func (e *exitError) Error() string { return e.err.Error() }

// Main runs the tool and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	global := &Global{out: stdout, err: stderr}
	var own struct {
		Version func() error `long:"version" description:"print the version and exit"`
	}
	own.Version = func() error {
		fmt.Fprintln(stdout, "chicorylug", buildinfo.Version)
		return &exitError{code: ExitOK, err: errVersion}
	}
	parser := flags.NewNamedParser("chicorylug", flags.HelpFlag|flags.PassDoubleDash)
	_, _ = parser.AddGroup("Global", "", global)
	_, _ = parser.AddGroup("Tool", "", &own)
	if err := addCommands(parser, global); err != nil {
		fmt.Fprintln(stderr, "chicorylug:", err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, stdout, stderr)
}

var errVersion = errors.New("version printed")

func exitCode(err error, stdout, stderr io.Writer) int {
	var flagsErr *flags.Error
	var exit *exitError
	switch {
	case err == nil || errors.Is(err, errVersion):
		return ExitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, err)
		return ExitOK
	case errors.As(err, &flagsErr):
		fmt.Fprintln(stderr, "chicorylug:", err)
		return ExitBadUsage
	case errors.As(err, &exit):
		if !errors.Is(exit.err, errVersion) {
			fmt.Fprintln(stderr, "chicorylug:", err)
		}
		return exit.code
	default:
		fmt.Fprintln(stderr, "chicorylug:", err)
		return ExitFailed
	}
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func addCommands(parser *flags.Parser, global *Global) error {
	_, err := parser.AddCommand("status", "Show a daemon and its view of the fleet",
		"Shows a daemon and its view of the fleet.\n\nExample: chicorylug status --admin 127.0.0.1:8081", &statusCommand{global: global})
	if err != nil {
		return err
	}
	return addExperiment(parser, global)
}

// printJSON prints a value as indented JSON.
func (g *Global) printJSON(value any) error {
	encoder := json.NewEncoder(g.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
