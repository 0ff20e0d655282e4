// Command chicorylug-soak runs daemons of a fenced fleet as separate processes, injects
// faults from outside them and checks that the daemons keep their promises. See README.md.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/logging"
)

// Exit codes.
const (
	exitKept     = 0
	exitBroken   = 1 // a promise was broken
	exitBadUsage = 2
	exitFailed   = 3 // the soak itself failed
)

// runLimit bounds the time of one run.
const runLimit = 90 * time.Second

// maxSeeds bounds the runs of one call.
const maxSeeds = 200

// options are the arguments of chicorylug-soak.
type options struct {
	Bin    string `long:"bin" value-name:"FILE" required:"true" description:"program chicorylugd to run"`
	Dir    string `long:"dir" value-name:"DIR" default:"/tmp/chicorylug-soak" description:"where plans, verdicts and logs of the daemons are written"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of the first plan"`
	Seeds  int    `long:"seeds" default:"1" description:"number of plans, with consecutive seeds"`
	Plan   string `long:"plan" value-name:"FILE" description:"run the plan in this file instead"`
	Print  bool   `long:"print" description:"print the plan and exit"`
	Shrink bool   `long:"shrink" description:"if the plan fails, look for a shorter one that fails alike"`
}

func main() { os.Exit(soakMain(os.Args[1:], os.Stdout, os.Stderr)) }

func soakMain(args []string, stdout, stderr io.Writer) int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return exitBadUsage
	}
	log, err := logging.New("info", stderr)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	defer log.Close()
	plans, err := o.plans()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitBadUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	broken, err := o.runAll(ctx, plans, stdout, log.Logger)
	switch {
	case err != nil:
		log.Error("soak failed", zap.Error(err))
		return exitFailed
	case broken > 0:
		return exitBroken
	}
	return exitKept
}

// plans returns the plans to run.
func (o *options) plans() ([]Plan, error) {
	if o.Plan != "" {
		p, err := loadPlan(o.Plan)
		return []Plan{p}, err
	}
	if o.Seeds < 1 || o.Seeds > maxSeeds {
		return nil, errors.Errorf("--seeds: want 1 to %d", maxSeeds)
	}
	var plans []Plan
	for i := range o.Seeds {
		plans = append(plans, NewPlan(o.Seed+uint64(i)))
	}
	return plans, nil
}

func loadPlan(file string) (Plan, error) {
	in, err := os.Open(file)
	if err != nil {
		return Plan{}, errors.Wrap(err, "open plan")
	}
	defer func() { _ = in.Close() }() // it was only read
	p, err := ReadPlan(in)
	return p, errors.Wrap(err, file)
}

// runAll runs the plans one after the other and returns how many broke a promise.
func (o *options) runAll(ctx context.Context, plans []Plan, out io.Writer, log *zap.Logger) (broken int, err error) {
	for _, p := range plans {
		if err := p.Write(out); err != nil {
			return broken, err
		}
		if o.Print {
			continue
		}
		v, err := o.runOne(ctx, p, out)
		if err != nil {
			return broken, errors.Wrapf(err, "seed %d", p.Seed)
		}
		if len(v.Broken) == 0 {
			continue
		}
		broken++
		if o.Shrink {
			shorter, err := shrink(p, v.Broken[0].Promise, func(p Plan) (*Verdict, error) { return o.runOne(ctx, p, io.Discard) }, log)
			if err != nil {
				return broken, err
			}
			if err := shorter.Write(out); err != nil {
				return broken, err
			}
		}
	}
	return broken, nil
}

// runOne runs a plan in a folder of its own, in which the plan and the verdict are written.
func (o *options) runOne(ctx context.Context, p Plan, out io.Writer) (*Verdict, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create folder")
	}
	dir, err := os.MkdirTemp(o.Dir, fmt.Sprintf("seed-%d-", p.Seed))
	if err != nil {
		return nil, errors.Wrap(err, "create folder")
	}
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	v, err := Run(ctx, p, o.Bin, dir)
	if err != nil {
		return v, err
	}
	if err := v.Write(out); err != nil {
		return v, err
	}
	if _, err := fmt.Fprintf(out, "logs: %s\n", dir); err != nil {
		return v, errors.Wrap(err, "write verdict")
	}
	return v, v.save(dir)
}
