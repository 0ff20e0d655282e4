// Package config reads the daemon's configuration file: the daemon's name,
// availability zone and addresses and the address of the platform. The
// configuration is fixed while the process runs. It is separate from the settings
// tree of package settings, which operators change at run time.
package config

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/jsonc"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Config is the content of a daemon's configuration file.
type Config struct {
	Name model.DaemonID `json:"name"`
	Zone model.Zone     `json:"zone"`
	// Region is the region that the availability zone belongs to; empty if the
	// installation has only one region.
	Region string `json:"region,omitempty"`
	// Listening addresses, each ip:port: CallerAddress is for callers,
	// AdminAddress for operators, DispatchAddress and ControlAddress for other
	// daemons.
	CallerAddress   string `json:"caller_address"`
	AdminAddress    string `json:"admin_address"`
	DispatchAddress string `json:"dispatch_address"`
	ControlAddress  string `json:"control_address"`
	// PlatformAddress is the ip:port of the platform's service.
	PlatformAddress string `json:"platform_address,omitempty"`
	// Seeds are control addresses (ip:port) of other daemons. They are contacted if
	// the instance list cannot be read while the daemon starts.
	Seeds    []string `json:"seeds,omitempty"`
	LogLevel string   `json:"log_level,omitempty"`
	// ShutdownSeconds bounds the wait for requests in progress at shutdown.
	ShutdownSeconds int `json:"shutdown_seconds,omitempty"`
	// TestFaults enables /debug/faults on the admin address, for tests only.
	TestFaults bool `json:"test_faults,omitempty"`
	// Embedded, if set, runs a simulated platform and simulated backend servers in
	// the daemon's process.
	Embedded *Embedded `json:"embedded,omitempty"`
	// AdminAuth configures authentication and TLS of the admin address.
	AdminAuth *AdminAuth `json:"admin_auth,omitempty"`
	// Fenced is set for a fenced fleet, that is one whose servers themselves check,
	// by fencing tokens, that they own the key of a request. Its daemons have no
	// admin and dispatch addresses.
	Fenced *Fenced `json:"fenced,omitempty"`
}

// Embedded describes the simulated parts of a trial installation.
type Embedded struct {
	// SettingsFile is the file with the settings tree to accept at the start. Like
	// all paths, it is relative to the folder of the configuration file.
	SettingsFile string           `json:"settings_file"`
	Servers      []EmbeddedServer `json:"servers"`
}

// EmbeddedServer describes the simulated servers of one pool.
type EmbeddedServer struct {
	Pool      model.PoolName `json:"pool"`
	Count     int            `json:"count"`
	ServiceMS float64        `json:"service_ms"`
	BodyBytes int            `json:"body_bytes"`
}

// AdminAuth holds the authentication and TLS files of the admin address.
type AdminAuth struct {
	// TokensFile lists the operators' tokens and the teams that each may change.
	// CertFile and KeyFile enable TLS and must be set together.
	TokensFile string `json:"tokens_file,omitempty"`
	CertFile   string `json:"cert_file,omitempty"`
	KeyFile    string `json:"key_file,omitempty"`
}

// Defaults of settings that may be left out.
const (
	DefaultShutdownSeconds = 300 // of Config.ShutdownSeconds
	DefaultGraceSeconds    = 6   // of Fenced.GraceSeconds
	DefaultRepeatShare     = 0.1 // of Fenced.RepeatShare
	DefaultRepeatExtra     = 100 // of Fenced.RepeatExtra
	DefaultMaxHoldSeconds  = 10  // of Fenced.MaxHoldSeconds
	DefaultDrainSeconds    = 2   // of Fenced.DrainSeconds
	DefaultReportSeconds   = 1   // of Fenced.ReportSeconds

	DefaultWarmUpOverage     = 1 // of Fenced.WarmUpOverage
	DefaultWarmUpSlack       = 0 // of Fenced.WarmUpSlack
	DefaultEvacuationSeconds = 5 // of Fenced.EvacuationSeconds
)

// minGraceSeconds is the shortest grace period in which requests in progress can end
// before the process is killed.
const minGraceSeconds = 1

// Load reads and checks a configuration file. Errors in its content are of type
// jsonc.Problems.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse decodes and checks the text of a configuration file, fills in defaults and
// makes paths relative to the folder of file. The error is of type jsonc.Problems.
func Parse(file string, text []byte) (*Config, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return nil, err
	}
	c := &Config{LogLevel: "info", ShutdownSeconds: DefaultShutdownSeconds}
	if err := decode(doc, c); err != nil {
		return nil, err
	}
	c.resolveFiles(filepath.Dir(file))
	if problems := c.check(doc); len(problems) > 0 {
		return nil, problems
	}
	return c, nil
}

// decode decodes the document into c. Settings that the document leaves out keep the
// values that c has, or get the defaults of Fenced.
func decode(doc *jsonc.Document, c *Config) error {
	if err := doc.Decode(c); err != nil || c.Fenced == nil {
		return err
	}
	c.Fenced = &Fenced{
		GraceSeconds:   DefaultGraceSeconds,
		RepeatShare:    DefaultRepeatShare,
		RepeatExtra:    DefaultRepeatExtra,
		MaxHoldSeconds: DefaultMaxHoldSeconds,
		DrainSeconds:   DefaultDrainSeconds,
		ReportSeconds:  DefaultReportSeconds,

		WarmUpOverage:     DefaultWarmUpOverage,
		WarmUpSlack:       DefaultWarmUpSlack,
		EvacuationSeconds: DefaultEvacuationSeconds,
	}
	return doc.Decode(c)
}

// resolveFiles joins relative paths of other files with the folder of the
// configuration file.
func (c *Config) resolveFiles(dir string) {
	for _, named := range c.files() {
		if *named.file != "" && !filepath.IsAbs(*named.file) {
			*named.file = filepath.Join(dir, *named.file)
		}
	}
}

type namedFile struct {
	name string
	file *string
}

func (c *Config) files() []namedFile {
	var files []namedFile
	if c.Embedded != nil {
		files = append(files, namedFile{"embedded.settings_file", &c.Embedded.SettingsFile})
	}
	if c.AdminAuth != nil {
		files = append(files,
			namedFile{"admin_auth.tokens_file", &c.AdminAuth.TokensFile},
			namedFile{"admin_auth.cert_file", &c.AdminAuth.CertFile},
			namedFile{"admin_auth.key_file", &c.AdminAuth.KeyFile})
	}
	return files
}

// ListenError converts an error of listening on a configured address to
// jsonc.Problems with the file, line and setting of that address. It returns
// other errors unchanged.
func ListenError(file string, c *Config, err error) error {
	var op *net.OpError
	if !errors.As(err, &op) || op.Addr == nil {
		return err
	}
	text, readErr := os.ReadFile(file)
	if readErr != nil {
		return err
	}
	doc, parseErr := jsonc.Parse(file, text)
	if parseErr != nil {
		return err
	}
	for _, l := range c.listeners() {
		if l.address == op.Addr.String() {
			return jsonc.Problems{doc.Problem(strings.Split(l.name, "."), "cannot listen on %s: %v", l.address, op.Err)}
		}
	}
	return err
}

// namedAddress is an address in the configuration. name is the path of its setting in the
// configuration file, its keys joined by dots.
type namedAddress struct {
	name    string
	address string
}

func (c *Config) listeners() []namedAddress {
	if c.Fenced != nil {
		return []namedAddress{
			{"caller_address", c.CallerAddress},
			{"control_address", c.ControlAddress},
			{"fenced.readiness_address", c.Fenced.ReadinessAddress},
		}
	}
	return []namedAddress{
		{"caller_address", c.CallerAddress},
		{"admin_address", c.AdminAddress},
		{"dispatch_address", c.DispatchAddress},
		{"control_address", c.ControlAddress},
	}
}

func (c *Config) check(doc *jsonc.Document) jsonc.Problems {
	var problems jsonc.Problems
	report := func(path, format string, args ...any) {
		problems = append(problems, doc.Problem(strings.Split(path, "."), format, args...))
	}
	if c.Name == "" {
		report("name", "missing; want the daemon's name")
	}
	if c.Zone == "" {
		report("zone", "missing; want the availability zone")
	}
	if c.ShutdownSeconds < 1 {
		report("shutdown_seconds", "found %d, want 1 or more", c.ShutdownSeconds)
	}
	c.checkListeners(report)
	for i, seed := range c.Seeds {
		if problem := addressProblem(seed); problem != "" {
			report("seeds."+strconv.Itoa(i), "%s", problem)
		}
	}
	c.checkPlatform(report)
	c.checkFenced(report)
	c.checkFiles(report)
	if !validLogLevel(c.LogLevel) {
		report("log_level", "found %q, want debug, info, warn or error", c.LogLevel)
	}
	return problems
}

func (c *Config) checkListeners(report func(path, format string, args ...any)) {
	taken := map[string]string{}
	for _, l := range c.listeners() {
		if problem := addressProblem(l.address); problem != "" {
			report(l.name, "%s", problem)
			continue
		}
		if other, clash := taken[l.address]; clash && !strings.HasSuffix(l.address, ":0") {
			report(l.name, "%s is already the %s", l.address, other)
		}
		taken[l.address] = l.name
	}
}

func (c *Config) checkPlatform(report func(path, format string, args ...any)) {
	if c.Embedded == nil {
		if problem := addressProblem(c.PlatformAddress); problem != "" {
			report("platform_address", "%s", problem)
		}
		return
	}
	if c.Embedded.SettingsFile == "" {
		report("embedded.settings_file", "missing; want the path of a settings tree")
	}
	for i, server := range c.Embedded.Servers {
		if server.Count < 1 {
			report("embedded.servers."+strconv.Itoa(i)+".count", "found %d, want 1 or more", server.Count)
		}
	}
}

func (c *Config) checkFiles(report func(path, format string, args ...any)) {
	for _, named := range c.files() {
		if *named.file == "" {
			continue
		}
		if _, err := os.Stat(*named.file); err != nil {
			report(named.name, "found a file that cannot be read, want the path of one: %v", err)
		}
	}
	if c.AdminAuth != nil && (c.AdminAuth.CertFile == "") != (c.AdminAuth.KeyFile == "") {
		report("admin_auth", "found only one of cert_file and key_file, want both or none")
	}
}

// addressProblem returns what is wrong with an ip:port, or "" if it is valid.
func addressProblem(address string) string {
	if address == "" {
		return "missing; want ip:port"
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return "found " + strconv.Quote(address) + ", want ip:port"
	}
	if number, err := strconv.Atoi(port); err != nil || number < 0 || number > 65535 {
		return "found port " + strconv.Quote(port) + ", want 0 to 65535"
	}
	return ""
}

func validLogLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	default:
		return false
	}
}
