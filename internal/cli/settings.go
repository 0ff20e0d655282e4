package cli

import (
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/olekukonko/tablewriter"
	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/admin"
	"github.com/chicorylug/chicorylug/internal/jsonc"
	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/settings"
	"github.com/chicorylug/chicorylug/internal/settingstore"
)

// resendPause is the time before a change with an unknown outcome is sent again.
const resendPause = time.Second

// part selects a part of the tree.
type part struct {
	Team  string `long:"team" value-name:"TEAM" description:"only the subtree of this team"`
	Fleet bool   `long:"fleet" description:"only what all teams share"`
}

func (p *part) scope() (settings.Scope, error) {
	switch {
	case p.Team != "" && p.Fleet:
		return "", &exitError{code: ExitBadUsage, err: errors.New("--team and --fleet exclude each other")}
	case p.Team != "":
		return settings.TeamScope(model.TeamName(p.Team)), nil
	case p.Fleet:
		return settings.ScopeFleet, nil
	default:
		return settings.ScopeTree, nil
	}
}

func (g *Global) record(version uint64) (settingstore.Record, error) {
	query := url.Values{}
	if version > 0 {
		query.Set("version", fmt.Sprint(version))
	}
	var record settingstore.Record
	return record, g.get(admin.PathSettings, query, &record)
}

func partOf(record settingstore.Record, scope settings.Scope) ([]byte, error) {
	text, err := settings.Part([]byte(record.Tree), scope)
	if err == nil && text == nil {
		err = errors.Errorf("version %s has no %s", record.Version, scope)
	}
	return text, err
}

type getCommand struct {
	part
	Version uint64 `long:"version" value-name:"N" description:"a version of the history instead of the current one"`
	global  *Global
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	scope, err := c.scope()
	if err != nil {
		return err
	}
	record, err := c.global.record(c.Version)
	if err != nil {
		return err
	}
	if c.global.JSON {
		return c.global.printJSON(record)
	}
	text, err := partOf(record, scope)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.global.err, "version %s by %s\n", record.Version, record.Author)
	fmt.Fprintln(c.global.out, strings.TrimRight(string(text), "\n"))
	return nil
}

// readText reads a file that the operator named.
func readText(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &exitError{code: ExitBadUsage, err: err}
	}
	return text, nil
}

type setCommand struct {
	part
	Base uint64        `long:"base" value-name:"N" required:"true" description:"the version that the file was made from"`
	Note string        `long:"note" value-name:"TEXT" description:"a note for the history"`
	Wait time.Duration `long:"wait" default:"1m" description:"time to keep asking while the outcome is unknown"`
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
	global *Global
}

// Execute implements flags.Commander.
func (c *setCommand) Execute([]string) error {
	scope, err := c.scope()
	if err != nil {
		return err
	}
	text, err := readText(c.Args.File)
	if err != nil {
		return err
	}
	return c.global.change(settingstore.Change{
		Base:  settings.Version(c.Base),
		Scope: scope,
		File:  c.Args.File,
		Text:  string(text),
		Note:  c.Note,
	}, c.Wait)
}

// change sends a change. While its outcome is unknown it is sent again with the
// same write id, which has no second effect.
func (g *Global) change(change settingstore.Change, wait time.Duration) error {
	change.WriteID = platform.WriteID(uuid.NewString())
	deadline := time.Now().Add(wait)
	for {
		var accepted settingstore.Record
		err := g.post(admin.PathSettings, change, &accepted)
		if err == nil {
			return g.printAccepted(accepted)
		}
		if !unknownOutcome(err) || time.Now().After(deadline) {
			return err
		}
		fmt.Fprintf(g.err, "outcome unknown, asking again: %v\n", err)
		time.Sleep(resendPause)
	}
}

func unknownOutcome(err error) bool {
	var exit *exitError
	return errors.As(err, &exit) && exit.code == ExitOutcomeUnknown
}

func (g *Global) printAccepted(record settingstore.Record) error {
	if g.JSON {
		return g.printJSON(record)
	}
	fmt.Fprintf(g.out, "accepted as version %s (%s)\n", record.Version, record.Scope)
	return nil
}

type editCommand struct {
	part
	Note string `long:"note" value-name:"TEXT" description:"a note for the history"`
	Args struct {
		Path  string `positional-arg-name:"PATH" required:"true"`
		Value string `positional-arg-name:"VALUE" required:"true"`
	} `positional-args:"true"`
	global *Global
}

// Execute implements flags.Commander.
func (c *editCommand) Execute([]string) error {
	scope, err := c.scope()
	if err != nil {
		return err
	}
	record, err := c.global.record(0)
	if err != nil {
		return err
	}
	text, err := partOf(record, scope)
	if err != nil {
		return err
	}
	doc, err := jsonc.Parse("settings", text)
	if err != nil {
		return err
	}
	changed, err := doc.Set(strings.Split(c.Args.Path, "."), []byte(c.Args.Value))
	if err != nil {
		return &exitError{code: ExitBadUsage, err: err}
	}
	return c.global.change(settingstore.Change{
		Base:  record.Version,
		Scope: scope,
		File:  "edit",
		Text:  string(changed),
		Note:  c.Note,
	}, 0)
}

type diffCommand struct {
	part
	From uint64 `long:"from" value-name:"N" description:"older version; the current one when it is compared with a file"`
	To   uint64 `long:"to" value-name:"N" description:"newer version; the current one by default"`
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
	global *Global
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	scope, err := c.scope()
	if err != nil {
		return err
	}
	oldName, before, err := c.side(c.From, scope)
	if err != nil {
		return err
	}
	newName, after, err := c.other(scope)
	if err != nil {
		return err
	}
	text := settings.Diff(oldName, before, newName, after)
	if c.global.JSON {
		return c.global.printJSON(struct {
			Diff string `json:"diff"`
		}{text})
	}
	fmt.Fprint(c.global.out, text)
	return nil
}

func (c *diffCommand) side(version uint64, scope settings.Scope) (string, []byte, error) {
	record, err := c.global.record(version)
	if err != nil {
		return "", nil, err
	}
	text, err := partOf(record, scope)
	return "version " + record.Version.String(), text, err
}

func (c *diffCommand) other(scope settings.Scope) (string, []byte, error) {
	if c.Args.File == "" {
		return c.side(c.To, scope)
	}
	text, err := readText(c.Args.File)
	return c.Args.File, text, err
}

type validateCommand struct {
	part
	Offline bool `long:"offline" description:"check a whole tree without asking a daemon"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
	global *Global
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	scope, err := c.scope()
	if err != nil {
		return err
	}
	text, err := readText(c.Args.File)
	if err != nil {
		return err
	}
	if c.Offline {
		_, err = settings.Validate(c.Args.File, text, settings.Environment{})
	} else {
		change := settingstore.Change{Scope: scope, File: c.Args.File, Text: string(text)}
		err = c.global.post(admin.PathCheck, change, &struct{}{})
	}
	if err != nil {
		return err
	}
	if c.global.JSON {
		return c.global.printJSON(struct {
			Valid bool `json:"valid"`
		}{true})
	}
	fmt.Fprintf(c.global.out, "%s: ok\n", c.Args.File)
	return nil
}

type historyCommand struct {
	global *Global
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	var list []settingstore.Record
	if err := c.global.get(admin.PathHistory, nil, &list); err != nil {
		return err
	}
	if c.global.JSON {
		return c.global.printJSON(list)
	}
	table := tablewriter.NewTable(c.global.out)
	table.Header("Version", "Base", "At", "Author", "Changed", "Note")
	for _, r := range list {
		if err := table.Append(r.Version, r.Base, r.At.UTC().Format(time.RFC3339), r.Author, r.Scope, r.Note); err != nil {
			return err
		}
	}
	return table.Render()
}

type rollbackCommand struct {
	part
	Args struct {
		Version uint64 `positional-arg-name:"VERSION" required:"true"`
	} `positional-args:"true"`
	global *Global
}

// Execute implements flags.Commander. The old text becomes a new version.
func (c *rollbackCommand) Execute([]string) error {
	scope, err := c.scope()
	if err != nil {
		return err
	}
	now, err := c.global.record(0)
	if err != nil {
		return err
	}
	old, err := c.global.record(c.Args.Version)
	if err != nil {
		return err
	}
	text, err := partOf(old, scope)
	if err != nil {
		return err
	}
	return c.global.change(settingstore.Change{
		Base:  now.Version,
		Scope: scope,
		File:  "version " + old.Version.String(),
		Text:  string(text),
		Note:  "rollback to version " + old.Version.String(),
	}, 0)
}
