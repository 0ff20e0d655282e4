// Package host runs the simulated platform and backend servers as a separate program, so
// that scenarios can test daemons that run as processes of their own.
package host

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settingstore"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
	adapter "github.com/chicorylug/chicorylug/platform"
)

// Config configures the program.
type Config struct {
	// Platform is the listen address (host:port) of the simulated platform.
	Platform string `json:"platform"`
	// SettingsFile is the file of the settings tree that the store holds at the start. If it
	// is empty, the store holds none.
	SettingsFile string            `json:"settings_file"`
	Servers      []backend.Options `json:"servers"`
}

// Main runs the program until SIGTERM or SIGINT and returns its exit code. The one
// argument is the file of a Config in JSON. It returns 2 for a wrong number of arguments
// and 1 if the program cannot start.
func Main(args []string, stderr io.Writer) int {
	if len(args) != 1 {
		fmt.Fprintln(stderr, "standin: want one argument, the file of the settings")
		return 2
	}
	if err := run(args[0]); err != nil {
		fmt.Fprintln(stderr, "standin:", err)
		return 1
	}
	return 0
}

func run(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read configuration file")
	}
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		return errors.Wrapf(err, "decode configuration file %s", file)
	}
	if err := startServers(c); err != nil {
		return err
	}
	if err := startPlatform(c); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

func startServers(c Config) error {
	for _, options := range c.Servers {
		if _, err := backend.Start(options); err != nil {
			return errors.Wrapf(err, "start simulated server %s", options.ID)
		}
	}
	return nil
}

func startPlatform(c Config) error {
	p, err := platformd.Start(c.Platform)
	if err != nil {
		return errors.Wrapf(err, "start simulated platform on %s", c.Platform)
	}
	for _, options := range c.Servers {
		p.Register(platform.Instance{
			ID:      string(options.ID),
			Kind:    platform.KindServer,
			Pool:    options.Pool,
			Zone:    options.Zone,
			State:   platform.StateLive,
			Address: options.Address,
		})
	}
	if c.SettingsFile == "" {
		return nil
	}
	tree, err := os.ReadFile(c.SettingsFile)
	if err != nil {
		return errors.Wrap(err, "read settings tree")
	}
	return settingstore.Seed(context.Background(), adapter.NewStore(p.Address(), nil), tree)
}
