// Command chicorylugd is the router daemon.
package main

import (
	"os"

	"github.com/chicorylug/chicorylug/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
