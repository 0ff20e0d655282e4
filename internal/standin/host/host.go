// Package host runs the stand-in platform and stand-in servers as a program of
// their own, so that scenarios can run daemons as separate processes.
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

// Config describes what the program runs.
type Config struct {
	// Platform is the address (host:port) of the platform.
	Platform string `json:"platform"`
	// SettingsFile is the settings tree that the table holds at the start.
	SettingsFile string            `json:"settings_file"`
	Servers      []backend.Options `json:"servers"`
}

// Main runs the program with the file of a Config as its argument until SIGTERM.
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
		return errors.Wrap(err, "read settings")
	}
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		return errors.Wrap(err, "read settings")
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
			return errors.Wrapf(err, "start server %s", options.ID)
		}
	}
	return nil
}

func startPlatform(c Config) error {
	p, err := platformd.Start(c.Platform)
	if err != nil {
		return errors.Wrap(err, "start platform")
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
		return errors.Wrap(err, "read the settings tree")
	}
	return settingstore.Seed(context.Background(), adapter.NewStore(p.Address(), nil), tree)
}
