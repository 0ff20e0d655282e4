// Command chicorylug is the operators' tool.
package main

import (
	"os"

	"github.com/chicorylug/chicorylug/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
