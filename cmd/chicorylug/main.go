// Command chicorylug is the command line tool for operators.
package main

import (
	"os"

	"github.com/chicorylug/chicorylug/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
