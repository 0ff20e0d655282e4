package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/chicorylug/chicorylug/internal/config"
	"github.com/chicorylug/chicorylug/internal/model"
)

// Settings of each daemon.
const (
	memoryMB       = 200
	graceSeconds   = 6
	retryShare     = 0.2
	retryExtra     = 20
	maxHoldSeconds = 10
	reportSeconds  = 0.8 // between two reports of a server
)

// killDelay is the time from SIGTERM to SIGKILL.
const killDelay = graceSeconds * time.Second

// daemonProc is one daemon, which may run as several processes one after the other.
type daemonProc struct {
	name      string
	program   string
	dir       string // of its settings and log files
	config    config.Config
	toStore   *Link
	toCallers *Link
	toPeers   *Link                                       // by which other daemons reach it
	ended     func(daemon string, state *os.ProcessState) // called when a process ends by itself

	mu          sync.Mutex
	process     *exec.Cmd     // nil while none runs
	exited      chan struct{} // closed when process has ended
	stopping    bool          // the soak is ending the process
	incarnation int           // number of processes started
}

// newDaemonProc prepares a daemon of a fleet and the links to it. It starts no process.
func newDaemonProc(f *Fleet, index int) (*daemonProc, error) {
	name := classDaemon.target(index)
	d := &daemonProc{name: name, program: f.program, dir: f.dir, ended: f.daemonEnded}
	var err error
	if d.toStore, err = newLink(f.ports.next(), f.store.Address()); err != nil {
		return nil, err
	}
	d.config = config.Config{
		Name: model.DaemonID(name), Zone: model.Zone(classZone.target(index % zones)),
		CallerAddress: f.ports.next(), ControlAddress: f.ports.next(), PlatformAddress: d.toStore.address,
		LogLevel: "info", Seeds: f.controlAddresses(),
		Fenced: &config.Fenced{
			ReadinessAddress: f.ports.next(), MetricsAddress: f.ports.next(), MemoryMB: memoryMB, Cores: 1,
			GraceSeconds: graceSeconds, RepeatShare: retryShare, RepeatExtra: retryExtra, MaxHoldSeconds: maxHoldSeconds,
			DrainSeconds: drainBound.Seconds(), ReportSeconds: reportSeconds,
			EvacuationSeconds: evacuationBound.Seconds(),
		},
	}
	if d.toCallers, err = newLink(f.ports.next(), d.config.CallerAddress); err != nil {
		return nil, err
	}
	if d.toPeers, err = newLink(f.ports.next(), d.config.ControlAddress); err != nil {
		return nil, err
	}
	d.config.Fenced.AdvertisedControlAddress = d.toPeers.address
	return d, d.writeSettings()
}

func (d *daemonProc) settingsFile() string { return filepath.Join(d.dir, d.name+".json") }

// writeSettings writes the daemon's settings file.
func (d *daemonProc) writeSettings() error {
	text, err := json.MarshalIndent(d.config, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "encode settings of %s", d.name)
	}
	return errors.Wrapf(os.WriteFile(d.settingsFile(), text, 0o600), "write settings of %s", d.name)
}

// start starts a process unless one runs. Its log is appended to the daemon's log file.
func (d *daemonProc) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(d.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "open log of %s", d.name)
	}
	process := exec.Command(d.program, "--config", d.settingsFile())
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		_ = log.Close() // nothing was written
		return errors.Wrapf(err, "start %s", d.name)
	}
	d.process, d.exited, d.stopping = process, make(chan struct{}), false
	d.incarnation++
	go d.wait(process, d.exited, log)
	return d.toPeers.connect(d.config.ControlAddress)
}

// wait waits for the end of a process, which is reported unless the soak ended it.
func (d *daemonProc) wait(process *exec.Cmd, exited chan struct{}, log *os.File) {
	_ = process.Wait() // the state says how it ended
	_ = log.Close()    // the process itself wrote to it
	d.mu.Lock()
	expected := d.stopping
	d.process = nil
	d.toPeers.disconnect() // other daemons are refused, by which they know that it has ended
	d.mu.Unlock()
	close(exited)
	if !expected {
		d.ended(d.name, process.ProcessState)
	}
}

// signal sends a signal to the process, if one runs.
func (d *daemonProc) signal(signal syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return nil
	}
	err := d.process.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return errors.Wrapf(err, "signal %s", d.name)
}

// stop ends the process with a signal, and with SIGKILL if it takes longer than killDelay.
func (d *daemonProc) stop(signal syscall.Signal) error {
	d.mu.Lock()
	d.stopping = true
	process, exited := d.process, d.exited
	d.mu.Unlock()
	if process == nil {
		return nil
	}
	if err := d.signal(signal); err != nil {
		return err
	}
	select {
	case <-exited:
		return nil
	case <-time.After(killDelay):
	}
	if err := d.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-exited
	return nil
}

// current returns the number of the running process, or false while none runs.
func (d *daemonProc) current() (incarnation int, running bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation, d.process != nil && !d.stopping
}

// resources are what a process uses.
type resources struct {
	residentBytes int64
	descriptors   int
}

// resources returns what the process uses, or false if it can't be told since none runs.
func (d *daemonProc) resources() (resources, bool) {
	d.mu.Lock()
	process := d.process
	d.mu.Unlock()
	if process == nil {
		return resources{}, false
	}
	dir := filepath.Join("/proc", strconv.Itoa(process.Process.Pid))
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return resources{}, false // it has just ended
	}
	text, err := os.ReadFile(filepath.Join(dir, "statm"))
	if err != nil {
		return resources{}, false
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return resources{}, false
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return resources{pages * int64(os.Getpagesize()), len(files)}, err == nil
}
