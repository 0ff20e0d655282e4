package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/admin"
	"github.com/chicorylug/chicorylug/internal/buildinfo"
	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/logging"
	"github.com/chicorylug/chicorylug/internal/settings"
)

// Exit codes of chicorylugd.
const (
	ExitOK       = 0
	ExitFailed   = 1 // a service failed to start or stop
	ExitBadUsage = 2 // wrong arguments or settings
)

// options are the arguments of chicorylugd. Config is the daemon's settings file; the
// operators' settings tree is stored in the platform instead, except for a trial
// installation, whose settings file names a file with the tree.
type options struct {
	Config  string `long:"config" short:"c" value-name:"FILE" description:"settings of this daemon, JSON with comments"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Main runs the program chicorylugd and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewNamedParser("chicorylugd", flags.HelpFlag|flags.PassDoubleDash)
	_, _ = parser.AddGroup("Daemon", "", &o)
	parser.LongDescription = "Routes requests to servers that own keys exclusively.\n\nExample: chicorylugd --config examples/quickstart.jsonc"
	if _, err := parser.ParseArgs(args); err != nil {
		return usageExitCode(err, stdout, stderr)
	}
	if o.Version {
		fmt.Fprintln(stdout, "chicorylugd", buildinfo.Version)
		return ExitOK
	}
	if o.Config == "" {
		fmt.Fprintln(stderr, "chicorylugd: --config FILE is missing; see --help")
		return ExitBadUsage
	}
	c, err := load(o.Config)
	if err != nil {
		fmt.Fprintf(stderr, "chicorylugd: %v\n", err)
		return ExitBadUsage
	}
	if o.Check {
		fmt.Fprintf(stdout, "%s: ok\n", o.Config)
		return ExitOK
	}
	if err := run(o.Config, c, stdout, stderr); err != nil {
		err = config.ListenError(o.Config, c, err)
		fmt.Fprintf(stderr, "chicorylugd: %v\n", err)
		return ExitFailed
	}
	return ExitOK
}

// load reads the daemon's settings file and validates it together with the files that
// it names.
func load(file string) (*config.Config, error) {
	c, err := config.Load(file)
	if err != nil {
		return nil, err
	}
	return c, checkFiles(c)
}

// checkFiles validates the files that the daemon's settings name: the settings tree of a
// trial installation (embedded.settings_file), the operators' tokens and the TLS
// certificate of the admin address with its key.
func checkFiles(c *config.Config) error {
	if c.Embedded != nil {
		text, err := os.ReadFile(c.Embedded.SettingsFile)
		if err != nil {
			return errors.Wrap(err, "read settings tree")
		}
		if _, err := settings.Validate(c.Embedded.SettingsFile, text, settings.Environment{}); err != nil {
			return err
		}
	}
	if c.AdminAuth == nil {
		return nil
	}
	if c.AdminAuth.TokensFile != "" {
		if _, err := admin.LoadTokens(c.AdminAuth.TokensFile); err != nil {
			return err
		}
	}
	if c.AdminAuth.CertFile == "" {
		return nil
	}
	_, err := tls.LoadX509KeyPair(c.AdminAuth.CertFile, c.AdminAuth.KeyFile)
	return errors.Wrap(err, "read admin_auth.cert_file and key_file")
}

func usageExitCode(err error, stdout, stderr io.Writer) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, err)
		return ExitOK
	}
	fmt.Fprintf(stderr, "chicorylugd: %v\n", err)
	return ExitBadUsage
}

// run runs the daemon until SIGTERM or SIGINT, then shuts it down gracefully. A
// second signal aborts the requests in progress. A fenced daemon logs to stdout, a
// dispatching one to stderr.
func run(file string, c *config.Config, stdout, stderr io.Writer) error {
	out := stderr
	if c.Fenced != nil {
		out = stdout
	}
	log, err := logging.New(c.LogLevel, out)
	if err != nil {
		return err
	}
	defer log.Close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go checkSettingsOnReload(file, reloads, log.Logger)
	if c.Embedded != nil {
		embedded, err := StartEmbedded(c)
		if err != nil {
			return err
		}
		defer embedded.Stop()
	}
	d, err := New(c, nil, log.Logger)
	if err != nil {
		return err
	}
	log.Info("starting", zap.String("daemon", string(c.Name)), zap.String("zone", string(c.Zone)), zap.String("version", buildinfo.Version))
	if err := d.Start(context.Background()); err != nil {
		return err
	}
	log.Info("serving", zap.String("callers", c.CallerAddress), zap.String("operators", c.AdminAddress), zap.String("control", c.ControlAddress))
	received := <-signals
	log.Info("stopping", zap.Stringer("signal", received))
	ctx, cancel := context.WithTimeout(context.Background(), d.ShutdownTimeout())
	defer cancel()
	go cancelOnSignal(ctx, signals, cancel, log.Logger)
	err = d.Stop(ctx)
	log.Info("stopped", zap.Error(err))
	return err
}

// checkSettingsOnReload validates the daemon's settings file at each SIGHUP and logs the result.
// A running process never changes its settings; the file takes effect at the next
// start.
func checkSettingsOnReload(file string, reloads <-chan os.Signal, log *zap.Logger) {
	for range reloads {
		if _, err := load(file); err != nil {
			log.Error("settings file is invalid; the settings loaded at start remain in effect", zap.String("file", file), zap.Error(err))
			continue
		}
		log.Info("settings file is valid; it takes effect at the next start", zap.String("file", file))
	}
}

// cancelOnSignal cancels the graceful shutdown at the next signal, so that requests in
// progress are aborted.
func cancelOnSignal(ctx context.Context, signals <-chan os.Signal, end context.CancelFunc, log *zap.Logger) {
	select {
	case received := <-signals:
		log.Warn("second signal during shutdown; aborting requests in progress", zap.Stringer("signal", received))
		end()
	case <-ctx.Done():
	}
}
