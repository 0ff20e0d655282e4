package daemon

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/settingstore"
	"github.com/chicorylug/chicorylug/internal/standin/backend"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
	adapter "github.com/chicorylug/chicorylug/platform"
)

// Embedded is a stand-in platform with stand-in backend servers inside the daemon's
// process, so that the program can be tried without an installation.
type Embedded struct {
	platform *platformd.Server
	servers  []*backend.Server
}

// StartEmbedded starts the stand-ins that c.Embedded describes, stores its settings
// tree in the stand-in platform and sets c.PlatformAddress to it. When an error comes
// with a non-nil Embedded, the caller must still stop it.
func StartEmbedded(c *config.Config) (*Embedded, error) {
	tree, err := os.ReadFile(c.Embedded.SettingsFile)
	if err != nil {
		return nil, errors.Wrap(err, "embedded.settings_file")
	}
	parsed, err := settings.Validate(c.Embedded.SettingsFile, tree, settings.Environment{})
	if err != nil {
		return nil, err
	}
	compiled, err := settings.Compile(parsed, 1)
	if err != nil {
		return nil, err
	}
	p, err := platformd.Start("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start the stand-in platform")
	}
	c.PlatformAddress = p.Address()
	e := &Embedded{platform: p}
	if err := settingstore.Seed(context.Background(), adapter.NewStore(p.Address(), nil), tree); err != nil {
		return nil, err
	}
	e.register(platform.Instance{ID: string(c.Name), Kind: platform.KindDaemon, Zone: c.Zone, Address: c.ControlAddress})
	return e, e.startServers(c, compiled)
}

func (e *Embedded) register(instance platform.Instance) {
	instance.State = platform.StateLive
	e.platform.Register(instance)
}

func (e *Embedded) startServers(c *config.Config, compiled *settings.Compiled) error {
	for i, wanted := range c.Embedded.Servers {
		pool, ok := compiled.Pools[wanted.Pool]
		if !ok {
			return errors.Errorf("embedded.servers.%d.pool: no pool %q in %s", i, wanted.Pool, c.Embedded.SettingsFile)
		}
		for number := 1; number <= wanted.Count; number++ {
			if err := e.startServer(c, wanted, pool, number); err != nil {
				return err
			}
		}
	}
	return nil
}

func (e *Embedded) startServer(c *config.Config, wanted config.EmbeddedServer, pool *settings.Pool, number int) error {
	server, err := backend.Start(backend.Options{
		ID:           model.ServerID(fmt.Sprintf("%s-%d", wanted.Pool, number)),
		Pool:         wanted.Pool,
		Zone:         c.Zone,
		Address:      "127.0.0.1:0",
		Slots:        pool.Slots,
		ServiceMS:    wanted.ServiceMS,
		BodyBytes:    wanted.BodyBytes,
		ChecksGrants: pool.ChecksGrants,
	})
	if err != nil {
		return errors.Wrap(err, "start a stand-in server")
	}
	e.servers = append(e.servers, server)
	e.register(platform.Instance{ID: string(server.ID()), Kind: platform.KindServer, Pool: wanted.Pool, Zone: c.Zone, Address: server.Address()})
	return nil
}

// Stop stops the stand-ins at once.
func (e *Embedded) Stop() {
	for _, server := range e.servers {
		server.Kill()
	}
	e.platform.Stop()
}
