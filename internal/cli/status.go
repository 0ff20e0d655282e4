package cli

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/admin"
)

const callTimeout = 5 * time.Second // bound of one call to a daemon

type statusCommand struct {
	global *Global
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var status admin.Status
	if err := c.global.get(admin.PathStatus, &status); err != nil {
		return err
	}
	if c.global.JSON {
		return c.global.printJSON(status)
	}
	fmt.Fprintf(c.global.out, "daemon %s in %s, version %s, settings version %d, %d daemons known\n",
		status.Daemon.ID, status.Daemon.Zone, status.Version, status.Settings, status.Daemons)
	table := tablewriter.NewTable(c.global.out)
	table.Header("Pool", "Term", "Seq", "Servers", "Shards")
	for _, pool := range status.Pools {
		if err := table.Append(pool.Pool, pool.Term, pool.Seq, pool.Servers, pool.Shards); err != nil {
			return err
		}
	}
	return table.Render()
}

// get asks the daemon for a JSON value.
func (g *Global) get(path string, out any) error {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+g.Admin+path, callTimeout)
	if err != nil {
		return &exitError{code: ExitUnreachable, err: errors.Wrapf(err, "ask %s", g.Admin)}
	}
	if code != fasthttp.StatusOK {
		return errors.Errorf("%s answered %d: %s", g.Admin, code, body)
	}
	return errors.Wrap(json.Unmarshal(body, out), "read the answer")
}
