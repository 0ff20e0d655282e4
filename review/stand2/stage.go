package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
	"github.com/chicorylug/chicorylug/internal/standin/platformd"
)

// Settings of the small deployment.
const (
	memoryMB       = 206
	maxDescriptors = 2870
	startTimeout   = 20 * time.Second
	endTimeout     = 8 * time.Second
	callTimeout    = 8 * time.Second // that an ordinary caller waits, as it says
	pollPeriod     = 50 * time.Millisecond

	host = "a.example"
)

// stage is a daemon process over stand-ins.
type stage struct {
	dir     string
	trouble bool
	began   time.Time
	store   *platformd.Server
	ledger  *fenced.Ledger
	servers []*fenced.Server

	callers string // address of the daemon for callers
	ready   string // its address for readiness checks
	process *exec.Cmd
	exited  chan struct{}

	mu     sync.Mutex
	record *os.File
	ids    atomic.Int64
}

// newStage prepares a stage without processes. Its record goes to a file.
func newStage(record string) (*stage, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &stage{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: file, ledger: fenced.NewLedger()}
	if s.store, err = platformd.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.note("trouble: %v", s.trouble)
	return s, nil
}

// note writes a line with the time since the start to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...)) // a lost line shows in the record
}

// close ends all that the stage started.
func (s *stage) close() {
	if s.process != nil {
		s.end()
	}
	for _, server := range s.servers {
		server.Crash()
	}
	s.store.Stop()
	_ = s.record.Close()
	_ = os.RemoveAll(s.dir) // a leftover folder breaks no rule
}

// end ends the daemon.
func (s *stage) end() {
	_ = s.process.Process.Signal(syscall.SIGTERM) // fails if it has ended
	select {
	case <-s.exited:
	case <-time.After(endTimeout):
		_ = s.process.Process.Signal(syscall.SIGKILL)
		<-s.exited
	}
}

// addServer starts a server of a service.
func (s *stage) addServer(service string, slots int, work time.Duration) error {
	server, err := fenced.Start(fenced.Options{
		ID: fmt.Sprintf("i-%d", len(s.servers)), Service: service, Zone: "zone-0", Address: "127.0.0.1:0",
		Slots: slots, ServiceTime: work, Store: s.store, Ledger: s.ledger,
	})
	if err != nil {
		return err
	}
	s.servers = append(s.servers, server)
	return nil
}

// configure writes the operators' configuration: one service with a route for uploads and one
// for reads.
func (s *stage) configure() error {
	path := func(name, prefix, kind string) map[string]any {
		return map[string]any{"Name": name, "Prefix": prefix, "Type": kind, "TimeoutS": 4, "SloLatencyS": 0.6, "Priority": 1, "Service": "plans", "MaxAttempts": 2}
	}
	text, err := json.Marshal(map[string]any{
		"Version":  3,
		"Services": []map[string]any{{"Name": "plans", "HealthPath": "/healthz", "MaxConnections": 303}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 64 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"VirtualHosts": []map[string]any{{"Host": host, "Paths": []map[string]any{
			path("r1", "/plan/", "upload"), path("r2", "/read/", "safe"),
		}}},
	})
	if err != nil {
		return err
	}
	s.store.PutRow("op", "config", text)
	return nil
}

// freeAddress returns a loopback address that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// startDaemon starts the daemon with the command of the deploy file and waits until it is ready.
func (s *stage) startDaemon() error {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return err
		}
	}
	s.callers, s.ready = addresses[0], addresses[1]
	text, err := json.Marshal(map[string]any{
		"name": "edge-0", "zone": "zone-0", "region": "region-0",
		"caller_address": addresses[0], "control_address": addresses[2], "platform_address": s.store.Address(), "seeds": []string{},
		"fenced": map[string]any{
			"readiness_address": addresses[1], "metrics_address": addresses[3], "memory_mb": memoryMB, "cores": 0.224,
			"grace_seconds": 6, "repeat_share": 0.2, "repeat_extra": 149, "max_hold_seconds": 10, "drain_seconds": 2,
			"link_mbps": 700.0, "max_descriptors": maxDescriptors, "zone_regions": map[string]string{"zone-0": "region-0"}, "report_seconds": 0.87,
		},
	})
	if err != nil {
		return err
	}
	settings := filepath.Join(s.dir, "boot.json")
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, "daemon.log"))
	if err != nil {
		return err
	}
	s.process = exec.Command("target/chicorylugd", "--config", settings)
	s.process.Env = append(os.Environ(), "GOMAXPROCS=1") // the machines of the pages report one core
	s.process.Stdout, s.process.Stderr = log, log
	if err := s.process.Start(); err != nil {
		s.process = nil
		return err
	}
	s.exited = make(chan struct{})
	go func() {
		_ = s.process.Wait() // its state is asked for where it matters
		_ = log.Close()
		close(s.exited)
	}()
	for end := time.Now().Add(startTimeout); !s.isReady(); time.Sleep(pollPeriod) {
		if time.Now().After(end) || !s.lives() {
			return fmt.Errorf("the daemon did not become ready")
		}
	}
	s.note("the daemon is ready")
	return nil
}

func (s *stage) isReady() bool {
	response, err := http.Get("http://" + s.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // the status is enough
	return response.StatusCode == http.StatusOK
}

func (s *stage) lives() bool {
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// residentKB returns the resident memory of the daemon, and the largest that it has had.
func (s *stage) residentKB() (now, peak int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.process.Process.Pid))
	if err != nil {
		return 0, 0 // it has ended
	}
	read := func(name string) int {
		_, after, _ := strings.Cut(string(text), name)
		fields := strings.Fields(after)
		if len(fields) == 0 {
			return 0
		}
		kb, _ := strconv.Atoi(fields[0])
		return kb
	}
	return read("VmRSS:"), read("VmHWM:")
}

// nextID returns the next attempt id.
func (s *stage) nextID() string { return fmt.Sprintf("request-%d", s.ids.Add(1)) }

// ordinary sends one small read on a new connection and returns the status of its answer, or
// zero if there was none.
func (s *stage) ordinary() int {
	conn, err := net.DialTimeout("tcp", s.callers, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callTimeout)) // a failure shows at the next call
	_, err = fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: %s\r\nChicorylug-Attempt-Id: %s\r\nChicorylug-Request-Deadline-Ms: %d\r\n\r\n", host, s.nextID(), callTimeout.Milliseconds())
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
