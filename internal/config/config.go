// Package config reads the daemon's own settings: its name, availability zone,
// addresses and where the platform is. They are fixed for the life of a process
// and apart from the settings tree, which operators change while daemons run.
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

// Config is the content of a daemon's settings file.
type Config struct {
	Name model.DaemonID `json:"name"`
	Zone model.Zone     `json:"zone"`
	// Region groups availability zones; empty when there is one.
	Region string `json:"region,omitempty"`
	// CallerAddress serves callers, AdminAddress operators, DispatchAddress and
	// ControlAddress other daemons. Each is ip:port.
	CallerAddress   string `json:"caller_address"`
	AdminAddress    string `json:"admin_address"`
	DispatchAddress string `json:"dispatch_address"`
	ControlAddress  string `json:"control_address"`
	// PlatformAddress is the ip:port of the platform's service.
	PlatformAddress string `json:"platform_address,omitempty"`
	// Seeds are control addresses (ip:port) of other daemons, asked at a start
	// during which the instance list cannot be read.
	Seeds    []string `json:"seeds,omitempty"`
	LogLevel string   `json:"log_level,omitempty"`
	// ShutdownSeconds bounds the wait for requests in progress at the end.
	ShutdownSeconds int `json:"shutdown_seconds,omitempty"`
	// TestFaults opens /debug/faults on the admin address, for tests only.
	TestFaults bool `json:"test_faults,omitempty"`
	// Embedded starts a stand-in platform and backend servers in the process.
	Embedded *Embedded `json:"embedded,omitempty"`
	// AdminAuth protects the admin address.
	AdminAuth *AdminAuth `json:"admin_auth,omitempty"`
	// Fenced is set for a fleet whose servers check the owners of their keys
	// themselves. Its daemons have no admin and dispatch address.
	Fenced *Fenced `json:"fenced,omitempty"`
}

// Fenced holds the settings of a daemon of a fenced fleet.
type Fenced struct {
	// ReadinessAddress answers the balancer; MetricsAddress serves counters and
	// histograms. Each is ip:port; the second one may be empty.
	ReadinessAddress string `json:"readiness_address"`
	MetricsAddress   string `json:"metrics_address,omitempty"`
	// MemoryMB is what the process may use, in megabytes.
	MemoryMB int `json:"memory_mb"`
	// Cores is the part of the machine's processor, in cores, that the process
	// may use. Daemons with more take on more of the fleet's work.
	Cores float64 `json:"cores"`
	// GraceSeconds is the time after SIGTERM at which the process is killed.
	GraceSeconds float64 `json:"grace_seconds"`
	// RepeatShare bounds the repeated sends to a service as a share of the first
	// ones, over the fleet; RepeatExtra sends may be saved up beside.
	RepeatShare float64 `json:"repeat_share"`
	RepeatExtra int     `json:"repeat_extra"`
	// MaxHoldSeconds bounds the time for which a server may own keys without a renewal.
	MaxHoldSeconds float64 `json:"max_hold_seconds"`
}

// Embedded describes the stand-ins of a trial installation.
type Embedded struct {
	// SettingsFile is the settings tree to accept at the start. Paths are
	// relative to the folder of this file.
	SettingsFile string           `json:"settings_file"`
	Servers      []EmbeddedServer `json:"servers"`
}

// EmbeddedServer describes the stand-in servers of one pool.
type EmbeddedServer struct {
	Pool      model.PoolName `json:"pool"`
	Count     int            `json:"count"`
	ServiceMS float64        `json:"service_ms"`
	BodyBytes int            `json:"body_bytes"`
}

// AdminAuth holds what protects the admin address.
type AdminAuth struct {
	// TokensFile lists tokens with their teams; CertFile and KeyFile switch TLS on.
	TokensFile string `json:"tokens_file,omitempty"`
	CertFile   string `json:"cert_file,omitempty"`
	KeyFile    string `json:"key_file,omitempty"`
}

// DefaultShutdownSeconds is the wait for requests in progress when none is set.
const DefaultShutdownSeconds = 300

// Load reads and checks a settings file. Problems name file, line and path.
func Load(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse reads and checks the text of a settings file.
func Parse(file string, text []byte) (*Config, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return nil, err
	}
	c := &Config{LogLevel: "info", ShutdownSeconds: DefaultShutdownSeconds}
	if err := doc.Decode(c); err != nil {
		return nil, err
	}
	c.resolveFiles(filepath.Dir(file))
	if problems := c.check(doc); len(problems) > 0 {
		return nil, problems
	}
	return c, nil
}

// resolveFiles makes the paths of other files relative to the folder of the settings file.
func (c *Config) resolveFiles(folder string) {
	for _, named := range c.files() {
		if *named.file != "" && !filepath.IsAbs(*named.file) {
			*named.file = filepath.Join(folder, *named.file)
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

// ListenError names file, line and setting of the address that err says is
// in use, or returns err.
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
	add := func(path, format string, args ...any) {
		problems = append(problems, doc.Problem(strings.Split(path, "."), format, args...))
	}
	if c.Name == "" {
		add("name", "missing; want the daemon's name")
	}
	if c.Zone == "" {
		add("zone", "missing; want the availability zone")
	}
	if c.ShutdownSeconds < 1 {
		add("shutdown_seconds", "found %d, want 1 or more", c.ShutdownSeconds)
	}
	c.checkListeners(add)
	for i, seed := range c.Seeds {
		if problem := addressProblem(seed); problem != "" {
			add("seeds."+strconv.Itoa(i), "%s", problem)
		}
	}
	c.checkPlatform(add)
	c.checkFenced(add)
	c.checkFiles(add)
	if !knownLevel(c.LogLevel) {
		add("log_level", "found %q, want debug, info, warn or error", c.LogLevel)
	}
	return problems
}

func (c *Config) checkListeners(add func(path, format string, args ...any)) {
	taken := map[string]string{}
	for _, l := range c.listeners() {
		if problem := addressProblem(l.address); problem != "" {
			add(l.name, "%s", problem)
			continue
		}
		if other, clash := taken[l.address]; clash && !strings.HasSuffix(l.address, ":0") {
			add(l.name, "%s is already the %s", l.address, other)
		}
		taken[l.address] = l.name
	}
}

func (c *Config) checkPlatform(add func(path, format string, args ...any)) {
	if c.Embedded == nil {
		if problem := addressProblem(c.PlatformAddress); problem != "" {
			add("platform_address", "%s", problem)
		}
		return
	}
	if c.Embedded.SettingsFile == "" {
		add("embedded.settings_file", "missing; want the path of a settings tree")
	}
	for i, server := range c.Embedded.Servers {
		if server.Count < 1 {
			add("embedded.servers."+strconv.Itoa(i)+".count", "found %d, want 1 or more", server.Count)
		}
	}
}

func (c *Config) checkFenced(add func(path, format string, args ...any)) {
	f := c.Fenced
	if f == nil {
		return
	}
	if f.MetricsAddress != "" {
		if problem := addressProblem(f.MetricsAddress); problem != "" {
			add("fenced.metrics_address", "%s", problem)
		}
	}
	if f.MemoryMB < 1 {
		add("fenced.memory_mb", "found %d, want 1 or more", f.MemoryMB)
	}
	if f.Cores <= 0 {
		add("fenced.cores", "found %v, want more than 0", f.Cores)
	}
	if f.GraceSeconds < 1 {
		add("fenced.grace_seconds", "found %v, want 1 or more", f.GraceSeconds)
	}
	if f.RepeatShare < 0 {
		add("fenced.repeat_share", "found %v, want 0 or more", f.RepeatShare)
	}
	if f.RepeatExtra < 0 {
		add("fenced.repeat_extra", "found %d, want 0 or more", f.RepeatExtra)
	}
	if f.MaxHoldSeconds <= 0 {
		add("fenced.max_hold_seconds", "found %v, want more than 0", f.MaxHoldSeconds)
	}
}

func (c *Config) checkFiles(add func(path, format string, args ...any)) {
	for _, named := range c.files() {
		if *named.file == "" {
			continue
		}
		if _, err := os.Stat(*named.file); err != nil {
			add(named.name, "found a file that cannot be read, want the path of one: %v", err)
		}
	}
	if c.AdminAuth != nil && (c.AdminAuth.CertFile == "") != (c.AdminAuth.KeyFile == "") {
		add("admin_auth", "found only one of cert_file and key_file, want both or none")
	}
}

// addressProblem returns what is wrong with an ip:port, or "".
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

func knownLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	default:
		return false
	}
}
