package cli

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/configcheck"
	"github.com/chicorylug/chicorylug/internal/gateway"
	"github.com/chicorylug/chicorylug/internal/jsonc"
	"github.com/chicorylug/chicorylug/platform"
)

// outputJSON is the value of --output for tools.
const outputJSON = "json"

// addConfig adds the commands about the operators' configuration.
func addConfig(parser *flags.Parser, g *Global) error {
	config, err := parser.AddCommand("config", "Check a configuration of a fenced fleet",
		"Check a configuration of a fenced fleet.\n\nExample: chicorylug config check next.json --against now.json", &struct{}{})
	if err != nil {
		return err
	}
	return addCommandSpecs(config, []commandSpec{
		{"check", "Find what can't be meant in a configuration, and what it changes", "chicorylug config check next.json --against now.json --memory-mb 512", &configCheckCommand{global: g}},
	})
}

// configCheckCommand checks a file. It exits with ExitFailed if there are findings.
type configCheckCommand struct {
	Against  string  `long:"against" value-name:"FILE" description:"also show what differs in effect from this configuration, the one in force"`
	MemoryMB float64 `long:"memory-mb" value-name:"N" description:"memory of a daemon in MiB, for the limit of bodies"`
	Comments bool    `long:"comments" description:"comments and commas at the end are removed before the file is sent"`
	Output   string  `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true" required:"true"`
	global *Global
}

// checkReport is what a check found. Differences don't count as findings.
type checkReport struct {
	Findings    []jsonc.Problem          `json:"findings"`
	Differences []configcheck.Difference `json:"differences,omitempty"`
}

// Execute implements flags.Commander.
func (c *configCheckCommand) Execute(rest []string) error {
	if len(rest) > 0 || c.MemoryMB < 0 {
		return &exitError{code: ExitBadUsage, err: errors.New("want one FILE, and no negative memory")}
	}
	report := &checkReport{Findings: []jsonc.Problem{}}
	next, err := c.check(report)
	if err != nil {
		return err
	}
	if c.Against != "" && next != nil {
		if err := c.compare(report, next); err != nil {
			return err
		}
	}
	if err := c.print(report); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return &exitError{code: ExitFailed, err: errors.Errorf("%s: %d findings", c.Args.File, len(report.Findings))}
	}
	return nil
}

// check adds the findings of the file, which it returns unless it can't be read at all.
func (c *configCheckCommand) check(report *checkReport) (*platform.ConfigurationFile, error) {
	file, refusal, err := readConfiguration(c.Args.File)
	var problems jsonc.Problems
	if errors.As(err, &problems) {
		report.Findings = append(report.Findings, problems...)
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if !file.Plain && !c.Comments {
		report.Findings = append(report.Findings, file.Problem(configcheck.Finding{
			Kind: configcheck.Invalid, Message: "daemons read JSON without comments and commas at the end (see --comments)",
		}))
	}
	options := configcheck.Options{LargestBody: gateway.LargestBody(c.MemoryMB)}
	refusalFound := false
	for _, finding := range configcheck.Check(file.Outline, options) {
		refusalFound = refusalFound || finding.Kind == configcheck.Invalid
		report.Findings = append(report.Findings, file.Problem(finding))
	}
	if refusal != nil && !refusalFound {
		report.Findings = append(report.Findings, file.Problem(configcheck.Finding{Kind: configcheck.Invalid, Message: refusal.Error()}))
	}
	return file, nil
}

// compare adds what differs from the configuration in force.
func (c *configCheckCommand) compare(report *checkReport, next *platform.ConfigurationFile) error {
	inForce, refusal, err := readConfiguration(c.Against)
	if err == nil {
		err = refusal
	}
	if err != nil {
		return &exitError{code: ExitBadUsage, err: errors.Wrap(err, "the configuration in force")}
	}
	for _, finding := range configcheck.CheckVersion(inForce.Outline.Version, next.Outline.Version) {
		report.Findings = append(report.Findings, next.Problem(finding))
	}
	if next.Configuration != nil {
		report.Differences = configcheck.Compare(inForce.Configuration, next.Configuration)
	}
	return nil
}

func readConfiguration(name string) (file *platform.ConfigurationFile, refusal, err error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, &exitError{code: ExitBadUsage, err: err}
	}
	return platform.ReadConfigurationFile(name, text)
}

func (c *configCheckCommand) print(report *checkReport) error {
	if c.Output == outputJSON || c.global.JSON {
		return c.global.printJSON(report)
	}
	for _, finding := range report.Findings {
		fmt.Fprintln(c.global.out, finding)
	}
	for _, difference := range report.Differences {
		fmt.Fprintln(c.global.out, "changes", difference)
	}
	return nil
}
