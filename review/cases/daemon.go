package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is what the deploy file builds and starts, from the root of the repository.
const program = "target/chicorylugd"

// Settings of a machine of a small deployment.
const (
	memoryMB  = 206
	coreShare = 0.224
)

// daemon is one daemon, which may run as several processes one after the other.
type daemon struct {
	bench     *bench
	name      string
	callers   string // addresses
	readiness string
	control   string
	file      string // of the settings
	process   *exec.Cmd
	ended     chan struct{} // closed when process has ended
	removed   bool          // the balancer sends it no more consumers
}

// maxSeeds is the number of machines that a daemon's settings name as seeds.
const maxSeeds = 3

// addDaemons prepares daemons of one zone and starts them. The first ones are the seeds.
func (b *bench) addDaemons(count int) error {
	for i := range count {
		b.daemons = append(b.daemons, b.newDaemon(fmt.Sprintf("edge-%d", i+1)))
	}
	for _, d := range b.daemons {
		if err := d.writeSettings(b.seeds()); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) newDaemon(name string) *daemon {
	return &daemon{bench: b, name: name, callers: b.freeAddress(), readiness: b.freeAddress(), control: b.freeAddress()}
}

// seeds returns the control addresses of the first daemons that are not removed.
func (b *bench) seeds() []string {
	var seeds []string
	for _, d := range b.daemons {
		if !d.removed && len(seeds) < maxSeeds {
			seeds = append(seeds, d.control)
		}
	}
	return seeds
}

// addMachine starts a daemon on a new machine and waits until it is ready.
func (b *bench) addMachine(name string) error {
	d := b.newDaemon(name)
	if err := d.writeSettings(b.seeds()); err != nil {
		return err
	}
	if err := d.start(); err != nil {
		return err
	}
	for end := time.Now().Add(5 * time.Second); !d.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready", name)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = append(b.daemons, d)
	return nil
}

// inRotation returns the daemons to which the balancer sends consumers.
func (b *bench) inRotation() []*daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*daemon
	for _, d := range b.daemons {
		if !d.removed {
			list = append(list, d)
		}
	}
	return list
}

// writeSettings writes the settings as the template of the deploy file has them.
func (d *daemon) writeSettings(seeds []string) error {
	d.file = filepath.Join(d.bench.dir, d.name+".json")
	text, err := json.MarshalIndent(map[string]any{
		"name": d.name, "zone": "zone-1", "region": "region-1",
		"caller_address": d.callers, "control_address": d.control,
		"platform_address": d.bench.store.Address(), "seeds": seeds,
		"fenced": map[string]any{
			"readiness_address": d.readiness, "metrics_address": d.bench.freeAddress(),
			"memory_mb": memoryMB, "cores": coreShare, "grace_seconds": 6, "repeat_share": 0.2, "repeat_extra": 149,
			"max_hold_seconds": 10, "drain_seconds": 2, "report_seconds": 0.87,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.file, text, 0o600)
}

// start starts a process. Its log is appended to the daemon's log file.
func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.bench.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(program, "--config", d.file)
	if limit := d.bench.maxFiles; limit > 0 {
		process = exec.Command("bash", "-c", fmt.Sprintf("ulimit -n %d && exec %s --config %s", limit, program, d.file))
	}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		_ = log.Close() // nothing was written
		return err
	}
	d.process, d.ended = process, make(chan struct{})
	d.bench.record("%s: process %d started", d.name, process.Process.Pid)
	go func(ended chan struct{}) {
		_ = process.Wait() // the state says how it ended
		_ = log.Close()    // the process itself wrote to it
		d.bench.record("%s: process %d ended: %v", d.name, process.Process.Pid, process.ProcessState)
		close(ended)
	}(d.ended)
	return nil
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	_ = d.process.Process.Kill() // it may have ended already
	<-d.ended
}

// isReady asks the daemon as the platform's balancer does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (b *bench) awaitReady() error {
	end := time.Now().Add(15 * time.Second)
	for _, d := range b.daemons {
		for !d.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	b.record("all daemons are ready")
	return nil
}
