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

// resendDelay is the delay before a change whose outcome is unknown is sent again.
const resendDelay = time.Second

// scopeFlags selects the part of the settings tree that a command applies to.
type scopeFlags struct {
	Team  string `long:"team" value-name:"TEAM" description:"only the subtree of this team"`
	Fleet bool   `long:"fleet" description:"only what all teams share"`
}

func (f *scopeFlags) scope() (settings.Scope, error) {
	switch {
	case f.Team != "" && f.Fleet:
		return "", &exitError{code: ExitBadUsage, err: errors.New("--team and --fleet exclude each other")}
	case f.Team != "":
		return settings.TeamScope(model.TeamName(f.Team)), nil
	case f.Fleet:
		return settings.ScopeFleet, nil
	default:
		return settings.ScopeTree, nil
	}
}

// fetchRecord fetches a version of the settings tree, the current one for version 0.
func (g *Global) fetchRecord(version uint64) (settingstore.Record, error) {
	query := url.Values{}
	if version > 0 {
		query.Set("version", fmt.Sprint(version))
	}
	var record settingstore.Record
	return record, g.get(admin.PathSettings, query, &record)
}

// scopeText returns the text of a scope of the record's settings tree.
func scopeText(record settingstore.Record, scope settings.Scope) ([]byte, error) {
	text, err := settings.Part([]byte(record.Tree), scope)
	if err == nil && text == nil {
		err = errors.Errorf("version %s has no %s", record.Version, scope)
	}
	return text, err
}

type getCommand struct {
	scopeFlags
	Version uint64 `long:"version" value-name:"N" description:"a version of the history instead of the current one"`
	global  *Global
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	scope, err := c.scope()
	if err != nil {
		return err
	}
	record, err := c.global.fetchRecord(c.Version)
	if err != nil {
		return err
	}
	if c.global.JSON {
		return c.global.printJSON(record)
	}
	text, err := scopeText(record, scope)
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
	scopeFlags
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
	return c.global.submitChange(settingstore.Change{
		Base:  settings.Version(c.Base),
		Scope: scope,
		File:  c.Args.File,
		Text:  string(text),
		Note:  c.Note,
	}, c.Wait)
}

// submitChange sends a change to the daemon. While its outcome is unknown and wait has
// not passed, it sends the change again; the same write ID makes that idempotent.
func (g *Global) submitChange(change settingstore.Change, wait time.Duration) error {
	change.WriteID = platform.WriteID(uuid.NewString())
	deadline := time.Now().Add(wait)
	for {
		var accepted settingstore.Record
		err := g.post(admin.PathSettings, change, &accepted)
		if err == nil {
			return g.printAccepted(accepted)
		}
		if !isOutcomeUnknown(err) || time.Now().After(deadline) {
			return err
		}
		fmt.Fprintf(g.err, "outcome unknown, asking again: %v\n", err)
		time.Sleep(resendDelay)
	}
}

func isOutcomeUnknown(err error) bool {
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
	scopeFlags
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
	record, err := c.global.fetchRecord(0)
	if err != nil {
		return err
	}
	text, err := scopeText(record, scope)
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
	return c.global.submitChange(settingstore.Change{
		Base:  record.Version,
		Scope: scope,
		File:  "edit",
		Text:  string(changed),
		Note:  c.Note,
	}, 0)
}

type diffCommand struct {
	scopeFlags
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
	oldName, before, err := c.versionSide(c.From, scope)
	if err != nil {
		return err
	}
	newName, after, err := c.newSide(scope)
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

// versionSide returns the name and the text of a version as one side of the diff.
func (c *diffCommand) versionSide(version uint64, scope settings.Scope) (string, []byte, error) {
	record, err := c.global.fetchRecord(version)
	if err != nil {
		return "", nil, err
	}
	text, err := scopeText(record, scope)
	return "version " + record.Version.String(), text, err
}

// newSide returns the name and the text of the newer side, a file or a version.
func (c *diffCommand) newSide(scope settings.Scope) (string, []byte, error) {
	if c.Args.File == "" {
		return c.versionSide(c.To, scope)
	}
	text, err := readText(c.Args.File)
	return c.Args.File, text, err
}

type validateCommand struct {
	scopeFlags
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
	scopeFlags
	Args struct {
		Version uint64 `positional-arg-name:"VERSION" required:"true"`
	} `positional-args:"true"`
	global *Global
}

// Execute implements flags.Commander. It submits the text of the old version as a new
// version.
func (c *rollbackCommand) Execute([]string) error {
	scope, err := c.scope()
	if err != nil {
		return err
	}
	now, err := c.global.fetchRecord(0)
	if err != nil {
		return err
	}
	old, err := c.global.fetchRecord(c.Args.Version)
	if err != nil {
		return err
	}
	text, err := scopeText(old, scope)
	if err != nil {
		return err
	}
	return c.global.submitChange(settingstore.Change{
		Base:  now.Version,
		Scope: scope,
		File:  "version " + old.Version.String(),
		Text:  string(text),
		Note:  "rollback to version " + old.Version.String(),
	}, 0)
}
