package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/platform"
	"github.com/chicorylug/chicorylug/internal/standin/fenced"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

const (
	anyAddress   = "127.0.0.1:0"
	zones        = 2
	maxProcesses = 64 // bound of the daemons of one run
	routeHost    = "soak.example"
	keyedService = "drafts"
	plainService = "sealing"
	readPrefix   = "/read/" // of the paths that lead to keyedService
)

// Fleet is a set of daemon processes with a simulated store and simulated servers, and
// links between them.
type Fleet struct {
	program  string
	dir      string
	ports    *ports
	store    *platformd.Server
	registry *platformd.Server // private store in which the servers register
	ledger   *fenced.Ledger
	monitor  *Monitor
	daemons  []*daemonProc
	slots    []*serverSlot

	mu          sync.Mutex
	storeFaults faultSet[platformd.Faults]
	version     int    // of the configuration
	newest      []byte // the newest configuration
	evacuated   evacuatedZones

	rewrites errgroup.Group // what is written again after the store has lost it
}

// ports hands out loopback addresses below the ports that the system gives to outgoing
// connections, so that an address is still free when its process starts again.
type ports struct {
	mu   sync.Mutex
	last int
}

const (
	firstPort = 12000
	portRange = 20000
)

func newPorts() *ports { return &ports{last: os.Getpid() * 97 % portRange} }

// next returns an address that is free now.
func (p *ports) next() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		p.last = (p.last + 1) % portRange
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+p.last)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close() // nothing connected to it
			return address
		}
	}
}

// startFleet starts the fleet of a plan. The caller must call stop, also after an error.
func startFleet(p Plan, program, dir string, monitor *Monitor) (*Fleet, error) {
	f := &Fleet{program: program, dir: dir, ports: newPorts(), ledger: fenced.NewLedger(), monitor: monitor, version: 1}
	var err error
	if f.store, err = platformd.Start(anyAddress); err != nil {
		return f, errors.Wrap(err, "start store")
	}
	if f.registry, err = platformd.Start(anyAddress); err != nil {
		return f, errors.Wrap(err, "start registry")
	}
	if err := f.configure(); err != nil {
		return f, err
	}
	for i := range p.Keyed + p.Plain {
		s, err := newServerSlot(f, i, i < p.Keyed)
		if err != nil {
			return f, err
		}
		f.slots = append(f.slots, s)
	}
	for i := range p.Daemons {
		d, err := newDaemonProc(f, i)
		if err != nil {
			return f, err
		}
		f.daemons = append(f.daemons, d)
		if err := d.start(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// stop ends all processes, servers and links that the fleet started.
func (f *Fleet) stop() error {
	var failed error
	for _, d := range f.daemons {
		if err := d.stop(syscall.SIGKILL); err != nil {
			failed = err
		}
		d.toStore.close()
		d.toCallers.close()
		d.toPeers.close()
	}
	for _, s := range f.slots {
		s.stop()
	}
	if f.store != nil {
		f.store.SetFaults(platformd.Faults{})
		f.store.Stop()
	}
	if f.registry != nil {
		f.registry.Stop()
	}
	return failed
}

func (f *Fleet) daemonEnded(daemon string, state *os.ProcessState) {
	f.monitor.Broken("process", "", "%s ended by itself: %v", daemon, state)
}

func (f *Fleet) daemon(name string) *daemonProc {
	for _, d := range f.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

// keeper returns the name of the daemon that the store records as the keeper. While it
// records none, that is the first daemon.
func (f *Fleet) keeper() string {
	record, ok := f.ownersRecord()
	if !ok {
		return f.daemons[0].name
	}
	owners, err := follow.DecodeOwners(record)
	if err != nil || f.daemon(string(owners.Keeper)) == nil {
		f.monitor.Broken("owners", "", "the store's record of owners names no keeper: %v", err)
		return f.daemons[0].name
	}
	return string(owners.Keeper)
}

// ownersRecord returns the record of owners of the latest era of the store that has one.
func (f *Fleet) ownersRecord() (platform.Record, bool) {
	for era := platform.Era(f.store.Era()); era >= platform.FirstEra; era-- {
		name := follow.OwnersRecordName(keyedService, era)
		if value, ok := f.store.Value("chicorylug", name); ok {
			return platform.Record{Name: name, Value: value}, true
		}
	}
	return platform.Record{}, false
}

func (f *Fleet) slot(name string) *serverSlot {
	for _, s := range f.slots {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (f *Fleet) controlAddresses() []string {
	var addresses []string
	for _, d := range f.daemons {
		addresses = append(addresses, d.config.AdvertisedControl())
	}
	return addresses
}

// route, service and configuration are the format of the operators' configuration.
type route struct {
	Name, Prefix, Type, Service string
	TimeoutS, SloLatencyS       float64
	Priority, MaxAttempts       int
}

type service struct {
	Name, HealthPath string
	MaxConnections   int
	Sharded          bool
	WarmS            float64
}

type limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeoutS, IdleTimeoutS float64
}

type virtualHost struct {
	Host  string
	Paths []route
}

type configuration struct {
	Version      int
	Services     []service
	Limits       limits
	VirtualHosts []virtualHost
}

// configure writes the next version of the configuration. Each version has a route of
// its own, by which callers tell which version a daemon uses.
func (f *Fleet) configure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	newRoute := func(name, prefix, kind, service string) route {
		return route{Name: name, Prefix: prefix, Type: kind, Service: service, TimeoutS: 2, SloLatencyS: 0.2, MaxAttempts: 2}
	}
	body, err := json.Marshal(configuration{
		Version: f.version,
		Services: []service{
			{Name: keyedService, HealthPath: "/healthz", MaxConnections: 100, Sharded: true, WarmS: 1},
			{Name: plainService, HealthPath: "/healthz", MaxConnections: 100},
		},
		Limits: limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutS: 3, IdleTimeoutS: 15},
		VirtualHosts: []virtualHost{{Host: routeHost, Paths: []route{
			newRoute("read", readPrefix, "safe", keyedService),
			newRoute("seal", "/seal/", "unsafe", plainService),
			newRoute("plan", "/plan/", "upload", plainService),
			newRoute("probe", probePrefix(f.version), "safe", plainService),
		}}},
	})
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	f.newest = body
	f.writeConfiguration()
	return nil
}

// configureOften writes one version of the configuration after the other until the returned
// function is called, which returns the first error.
func (f *Fleet) configureOften() (end endFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	var writing errgroup.Group
	writing.Go(func() error {
		for ctx.Err() == nil {
			if err := f.configure(); err != nil {
				return err
			}
			wait(ctx, stormPause)
		}
		return nil
	})
	return func() error {
		cancel()
		return writing.Wait()
	}
}

// writeConfiguration writes the newest configuration. The caller must hold f.mu.
func (f *Fleet) writeConfiguration() {
	f.store.PutRow("op", "config", f.newest)
	f.monitor.Configured(f.version, time.Now())
}

func probePrefix(version int) string { return fmt.Sprintf("/version-%d/", version) }

// impairStore puts a fault of the store in force until the returned function is called.
func (f *Fleet) impairStore(set func(*platformd.Faults)) (end endFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := f.storeFaults.add(set)
	f.store.SetFaults(f.storeFaults.merged())
	return func() error {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.storeFaults.remove(number)
		f.store.SetFaults(f.storeFaults.merged())
		return nil
	}
}

// faultSet holds the faults of one stand-in that are in force, each a change of its type
// of faults.
type faultSet[T any] struct {
	last int
	set  []numberedFault[T]
}

type numberedFault[T any] struct {
	number int
	apply  func(*T)
}

func (s *faultSet[T]) add(apply func(*T)) (number int) {
	s.last++
	s.set = append(s.set, numberedFault[T]{s.last, apply})
	return s.last
}

func (s *faultSet[T]) remove(number int) {
	var kept []numberedFault[T]
	for _, fault := range s.set {
		if fault.number != number {
			kept = append(kept, fault)
		}
	}
	s.set = kept
}

func (s *faultSet[T]) merged() T {
	var merged T
	for _, fault := range s.set {
		fault.apply(&merged)
	}
	return merged
}
