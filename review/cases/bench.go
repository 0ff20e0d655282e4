package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

// firstPort and portRange bound the ports of daemons and servers. They are below the
// ports that the system gives to outgoing connections, so that one stays free while its
// process restarts.
const (
	firstPort = 12000
	portRange = 20000
)

// bench holds all that a case has started.
type bench struct {
	dir     string // temporary folder for settings and logs
	started time.Time
	store   *platformd.Server
	ledger  *ledger
	// maxFiles is the number of descriptors that a daemon may have; zero for no limit.
	maxFiles int

	mu       sync.Mutex
	file     *os.File
	lastPort int
	daemons  []*daemon
	targets  []*target
}

// newBench starts a store without any rows and opens the record file.
func newBench(recordFile string) (*bench, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	store, err := platformd.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bench{dir: dir, started: time.Now(), store: store, file: file, lastPort: os.Getpid() * 97 % portRange}
	b.ledger = newLedger(b)
	return b, nil
}

// close ends all processes that the case started, and removes the temporary folder.
func (b *bench) close() error {
	for _, d := range b.daemons {
		d.kill()
	}
	for _, t := range b.targets {
		t.crash()
	}
	b.store.Stop()
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(b.dir)) // best effort, for reading only
	}
	return errors.Join(os.RemoveAll(b.dir), b.file.Close())
}

// record writes one line, with the seconds since the start, to the record file.
func (b *bench) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.file, "%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddress returns a loopback address that is free now.
func (b *bench) freeAddress() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		b.lastPort = (b.lastPort + 1) % portRange
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+b.lastPort)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close() // nothing connected to it
			return address
		}
	}
}

// Route, service and limits are the format of the operator's desired state.
type (
	route struct {
		Name, Prefix, Type, Service string
		TimeoutS, SloLatencyS       float64
		Priority, MaxAttempts       int
	}
	service struct {
		Name, HealthPath string
		MaxConnections   int
		Sharded          bool
		WarmS            float64
	}
	limits struct {
		MaxHeaderBytes, MaxBodyBytes int
		HeaderTimeoutS, IdleTimeoutS float64
	}
	virtualHost struct {
		Host  string
		Paths []route
	}
	desiredState struct {
		Version      int
		Services     []service
		Limits       limits
		VirtualHosts []virtualHost
	}
)

// callerHost is the host of all routes.
const callerHost = "review.example"

// configure writes a desired state as the operator does.
func (b *bench) configure(version int, services []service, routes []route) error {
	body, err := json.Marshal(desiredState{
		Version: version, Services: services,
		Limits:       limits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeoutS: 3, IdleTimeoutS: 15},
		VirtualHosts: []virtualHost{{Host: callerHost, Paths: routes}},
	})
	if err != nil {
		return err
	}
	b.store.PutRow("op", "config", body)
	b.record("operator: version %d is confirmed", version)
	return nil
}
