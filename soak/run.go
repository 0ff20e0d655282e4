package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

const (
	startLimit  = 20 * time.Second // from the start of the fleet to full service
	steadyTime  = time.Second      // of the load after the recovery
	settleTime  = time.Second      // from the last request to the last check of runs
	watchPeriod = 20 * time.Millisecond
	checkPeriod = 250 * time.Millisecond
	pollPeriod  = 50 * time.Millisecond
	sampledKeys = 8 // keys that each daemon must serve
)

// Run runs the fleet of a plan, injects the faults and returns the verdict. Settings and
// logs of the daemons are kept in dir.
func Run(ctx context.Context, p Plan, program, dir string) (*Verdict, error) {
	monitor := NewMonitor()
	f, err := startFleet(p, program, dir, monitor)
	if err == nil {
		err = f.soak(ctx, p)
	}
	if stopErr := f.stop(); err == nil {
		err = stopErr
	}
	return monitor.verdict(p), err
}

// soak sends load, injects the faults of a plan and awaits the recovery.
func (f *Fleet) soak(ctx context.Context, p Plan) error {
	if err := f.awaitService(ctx, startLimit); err != nil {
		return errors.Wrap(err, "fleet did not start")
	}
	f.monitor.restart()
	load, stopLoad := context.WithCancel(ctx)
	watches, stopWatches := context.WithCancel(ctx)
	defer stopWatches()
	defer stopLoad()
	var loading, watching sync.WaitGroup
	loading.Go(func() { call(load, f, p.Seed) })
	loading.Go(func() { probe(load, f) })
	loading.Go(func() { upload(load, f, p.Seed) })
	watching.Go(func() { f.watchLedger(watches) })
	watching.Go(func() { f.watchRuns(watches) })
	err := f.inject(ctx, p.Events)
	if recovery := f.awaitService(ctx, recoverBound); recovery != nil && ctx.Err() == nil {
		f.monitor.Broken("recovery", "", "not within %v after the last fault: %v", recoverBound, recovery)
	}
	if rewriteErr := f.rewrites.Wait(); err == nil {
		err = rewriteErr
	}
	wait(ctx, steadyTime)
	stopLoad()
	loading.Wait()
	wait(ctx, settleTime)
	stopWatches()
	watching.Wait()
	f.monitor.CheckRuns(f, true)
	f.monitor.CheckSigns()
	f.monitor.CheckEvacuations()
	f.monitor.CheckRetryBudget()
	f.monitor.CheckLost()
	if err == nil {
		err = ctx.Err()
	}
	return err
}

// wait pauses for a time, or until ctx is done.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// inject injects all events at their times and returns when the last one has ended.
func (f *Fleet) inject(ctx context.Context, events []Event) error {
	var all sync.WaitGroup
	failures := make(chan error, len(events))
	began := time.Now()
	for _, e := range events {
		all.Go(func() {
			wait(ctx, time.Until(began.Add(e.At)))
			if err := f.injectOne(ctx, e); err != nil {
				failures <- errors.Wrapf(err, "inject %q", e)
			}
		})
	}
	all.Wait()
	close(failures)
	return <-failures
}

func (f *Fleet) injectOne(ctx context.Context, e Event) error {
	if ctx.Err() != nil {
		return nil
	}
	if e.Target == keeperTarget {
		e.Target = f.keeper()
	}
	ended := f.monitor.Begin(e)
	defer ended()
	end, err := kinds[e.Kind].begin(f, e.Target)
	if err != nil {
		return err
	}
	wait(ctx, e.For)
	return end()
}

// watchLedger passes on each new violation in the servers' ledger.
func (f *Fleet) watchLedger(ctx context.Context) {
	known := 0
	for ctx.Err() == nil {
		violations := f.ledger.Violations()
		for _, violation := range violations[known:] {
			f.monitor.OwnershipViolated(violation)
		}
		known = len(violations)
		time.Sleep(watchPeriod)
	}
}

// watchRuns compares runs with outcomes, and the daemons' resources with their bounds.
func (f *Fleet) watchRuns(ctx context.Context) {
	for ctx.Err() == nil {
		f.monitor.CheckRuns(f, false)
		f.monitor.CheckSigns()
		for _, d := range f.daemons {
			if used, ok := d.resources(); ok {
				f.monitor.UseResources(d.name, used)
			}
		}
		time.Sleep(checkPeriod)
	}
}

// awaitService waits until each daemon is ready, uses the newest configuration and serves
// sampled keys, each at least once.
func (f *Fleet) awaitService(ctx context.Context, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, d := range f.daemons {
		for _, check := range f.serviceChecks(d) {
			err := check()
			for err != nil && ctx.Err() == nil && time.Now().Before(end) {
				time.Sleep(pollPeriod)
				err = check()
			}
			if err != nil {
				return errors.Wrap(err, d.name)
			}
		}
	}
	return ctx.Err()
}

// serviceChecks returns the requests that a daemon must answer with status 200.
func (f *Fleet) serviceChecks(d *daemonProc) []func() error {
	checks := []func() error{
		func() error { return get("http://"+d.config.Fenced.ReadinessAddress+"/-/readyz", -1) },
		func() error {
			f.monitor.Requested(plainService, time.Now())
			return get("http://"+d.config.CallerAddress+probePrefix(f.monitor.newestVersion()), -1)
		},
	}
	for i := range sampledKeys {
		key := i * keyCount / sampledKeys
		checks = append(checks, func() error {
			f.monitor.Requested(keyedService, time.Now())
			return get("http://"+d.config.CallerAddress+readPrefix+"x", key)
		})
	}
	return checks
}

// get sends a request, with a key unless key is negative, and returns an error unless it
// is answered with status 200.
func get(url string, key int) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, fasthttp.MethodGet, url, fmt.Sprintf("check-%d", time.Now().UnixNano()), maxDeadline)
	if key >= 0 {
		req.Header.Set(fenced.HeaderKey, fmt.Sprint(key))
	}
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return errors.Wrap(err, url)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("%s key %d: status %d", url, key, resp.StatusCode())
	}
	return nil
}
