package cli

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/olekukonko/tablewriter"
	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/admin"
	"github.com/chicorylug/chicorylug/internal/inspect"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settingstore"
)

const timeFormat = "15:04:05.000"

// partialError returns the error of a view from which daemons are missing, or nil when
// none is. Unless JSON is printed, it also prints why each of them is missing.
func (g *Global) partialError(unreachable []inspect.UnreachableDaemon) error {
	if len(unreachable) == 0 {
		return nil
	}
	names := make([]string, 0, len(unreachable))
	for _, s := range unreachable {
		names = append(names, string(s.Daemon))
		if !g.JSON {
			fmt.Fprintf(g.out, "no answer from %s: %s\n", s.Daemon, s.Reason)
		}
	}
	return &exitError{code: ExitPartial, err: errors.Errorf("%d daemons did not answer: %s", len(unreachable), strings.Join(names, ", "))}
}

// printTable prints a table with a header.
func (g *Global) printTable(header []any, rows [][]any) error {
	table := tablewriter.NewTable(g.out)
	table.Header(header...)
	for _, row := range rows {
		if err := table.Append(row...); err != nil {
			return err
		}
	}
	return table.Render()
}

type statusCommand struct {
	global *Global
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var fleet inspect.Fleet
	if err := c.global.get(admin.PathFleet, nil, &fleet); err != nil {
		return err
	}
	if c.global.JSON {
		if err := c.global.printJSON(fleet); err != nil {
			return err
		}
		return c.global.partialError(fleet.Unreachable)
	}
	fmt.Fprintf(c.global.out, "settings version %s in force on %d of %d daemons\n", fleet.Settings, fleet.InForce, fleet.DaemonCount)
	var rows [][]any
	for _, r := range fleet.Daemons {
		rows = append(rows, []any{r.Daemon.ID, r.Daemon.Zone, daemonState(r), r.Settings.Version, r.DispatchesTo, time.Duration(r.Uptime) * time.Second, r.Version})
	}
	if err := c.global.printTable([]any{"Daemon", "Zone", "State", "Settings", "Servers", "Up", "Program"}, rows); err != nil {
		return err
	}
	for _, r := range fleet.Daemons {
		if r.Settings.Version.String() != fleet.Settings {
			fmt.Fprintf(c.global.out, "%s at version %s: %s\n", r.Daemon.ID, r.Settings.Version, orElse(r.Settings.Failure, "not yet told"))
		}
	}
	return c.global.partialError(fleet.Unreachable)
}

func daemonState(r inspect.Report) string {
	if r.Daemon.Leaving {
		return "leaving"
	}
	return "live"
}

// orElse returns text, or otherwise when text is empty.
func orElse(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}

type poolsCommand struct {
	global *Global
}

// Execute implements flags.Commander.
func (c *poolsCommand) Execute([]string) error {
	var pools []admin.Pool
	if err := c.global.get(admin.PathPools, nil, &pools); err != nil {
		return err
	}
	if c.global.JSON {
		return c.global.printJSON(pools)
	}
	var rows [][]any
	for _, p := range pools {
		if len(p.Servers) == 0 {
			rows = append(rows, []any{p.Team, p.Name, "no servers", "", "", "", ""})
		}
		for _, s := range p.Servers {
			rows = append(rows, []any{p.Team, p.Name, s.ID, s.Zone, serverState(s), s.Shards, dispatchers(s.Dispatchers)})
		}
	}
	return c.global.printTable([]any{"Team", "Pool", "Server", "Zone", "State", "Shards", "Dispatchers"}, rows)
}

func serverState(s admin.PoolServer) string {
	if s.Drained {
		return string(s.State) + ", drained"
	}
	return string(s.State)
}

func dispatchers(list []ownership.Dispatcher) string {
	names := make([]string, 0, len(list))
	for _, d := range list {
		names = append(names, string(d.Daemon)+" "+string(d.State))
	}
	return strings.Join(names, ", ")
}

type routesCommand struct {
	global *Global
}

// Execute implements flags.Commander.
func (c *routesCommand) Execute([]string) error {
	var routes []admin.Route
	if err := c.global.get(admin.PathRoutes, nil, &routes); err != nil {
		return err
	}
	if c.global.JSON {
		return c.global.printJSON(routes)
	}
	var rows [][]any
	for _, r := range routes {
		rows = append(rows, []any{strings.Join(r.Methods, " "), r.Path, r.Team, r.Name, r.Pool, r.Rank, r.Repeat, r.Timeout()})
	}
	return c.global.printTable([]any{"Methods", "Path", "Team", "Route", "Pool", "Rank", "Repeat", "Timeout"}, rows)
}

type ownersCommand struct {
	Pool string `long:"pool" description:"only this pool"`
	Args struct {
		Key string `positional-arg-name:"KEY" required:"true"`
	} `positional-args:"true"`
	global *Global
}

// Execute implements flags.Commander.
func (c *ownersCommand) Execute([]string) error {
	var found inspect.Explanation
	if err := c.global.get(admin.PathOwners, url.Values{"key": {c.Args.Key}, "pool": {c.Pool}}, &found); err != nil {
		return err
	}
	if len(found.Owners) == 0 {
		return errors.New("no keyed pool has an assignment")
	}
	if c.global.JSON {
		return c.global.printJSON(found)
	}
	if err := c.global.printOwners(found.Owners); err != nil {
		return err
	}
	c.global.printEvents(found.Events)
	return c.global.partialError(found.Unreachable)
}

func (g *Global) printOwners(owners []inspect.Owner) error {
	var rows [][]any
	for _, o := range owners {
		rows = append(rows, []any{o.Pool, o.Shard, o.Server, o.Zone, o.State, o.Epoch, dispatchers(o.Dispatchers), o.Reason})
	}
	return g.printTable([]any{"Pool", "Shard", "Server", "Zone", "State", "Epoch", "Dispatchers", "Why"}, rows)
}

func (g *Global) printEvents(events []journal.Event) {
	for _, e := range events {
		fmt.Fprintf(g.out, "%s %-5s %s%s: %s\n", e.At.UTC().Format(timeFormat), e.Daemon, e.Kind, eventSubject(e), e.Cause)
	}
}

// eventSubject returns pool, subject and assignment of an event, as far as they are set.
func eventSubject(e journal.Event) string {
	text := ""
	if e.Pool != "" {
		text += " " + string(e.Pool)
	}
	if e.Subject != "" {
		text += " " + e.Subject
	}
	if e.Seq > 0 {
		text += fmt.Sprintf(" (term %d, seq %d)", e.Term, e.Seq)
	}
	return text
}

type explainCommand struct {
	Args struct {
		What string `positional-arg-name:"REQUEST-ID|KEY" required:"true"`
	} `positional-args:"true"`
	global *Global
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var found inspect.Explanation
	if err := c.global.get(admin.PathExplain, url.Values{"what": {c.Args.What}}, &found); err != nil {
		return err
	}
	if c.global.JSON {
		if err := c.global.printJSON(found); err != nil {
			return err
		}
		return c.global.partialError(found.Unreachable)
	}
	if len(found.Owners) > 0 {
		if err := c.global.printOwners(found.Owners); err != nil {
			return err
		}
		c.global.printEvents(found.Events)
	}
	for _, s := range found.Steps {
		fmt.Fprintf(c.global.out, "%s %-5s %s %s: %s\n", s.At.UTC().Format(timeFormat), s.Daemon, s.Request, s.Step, s.Detail)
	}
	if len(found.Steps) == 0 {
		fmt.Fprintln(c.global.out, "no steps recorded: the record of each daemon is bounded, and newer steps replace older ones")
	}
	return c.global.partialError(found.Unreachable)
}

type eventsCommand struct {
	Pool    string `long:"pool" description:"only this pool"`
	Kind    string `long:"kind" description:"only this kind, such as server_lost"`
	Subject string `long:"subject" description:"only this subject, such as a server"`
	Limit   int    `long:"limit" default:"50" description:"the newest events to show"`
	global  *Global
}

// Execute implements flags.Commander.
func (c *eventsCommand) Execute([]string) error {
	query := url.Values{"pool": {c.Pool}, "kind": {c.Kind}, "subject": {c.Subject}, "limit": {fmt.Sprint(c.Limit)}}
	var found inspect.Events
	if err := c.global.get(admin.PathEvents, query, &found); err != nil {
		return err
	}
	if c.global.JSON {
		if err := c.global.printJSON(found); err != nil {
			return err
		}
		return c.global.partialError(found.Unreachable)
	}
	c.global.printEvents(found.Events)
	return c.global.partialError(found.Unreachable)
}

type drainCommand struct {
	Pool string `long:"pool" description:"the server's pool, when several pools have such a server"`
	Undo bool   `long:"undo" description:"take the server back into service"`
	Args struct {
		Server string `positional-arg-name:"SERVER" required:"true"`
	} `positional-args:"true"`
	global *Global
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	var accepted settingstore.Record
	request := admin.DrainRequest{
		Server:  model.ServerID(c.Args.Server),
		Pool:    model.PoolName(c.Pool),
		Undo:    c.Undo,
		WriteID: platform.WriteID(uuid.NewString()),
	}
	if err := c.global.post(admin.PathDrain, request, &accepted); err != nil {
		return err
	}
	return c.global.printAccepted(accepted)
}
