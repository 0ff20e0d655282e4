package dispatcher

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/poison"
)

// Questions to a server whose connections broke.
const (
	crashDialAttempts = 3                     // connections that are tried
	crashDialPause    = 20 * time.Millisecond // time between two of them
	suspectRetryAfter = time.Second           // pause advised for a request that may run only alone
)

// crashDetector makes one finding of all the connections that break together.
type crashDetector struct {
	mu      sync.Mutex
	current *crashCheck
	// lastCrash is the one that was found last, at the time found.
	lastCrash   poison.CrashID
	lastCrashAt time.Time
}

// crashSince returns the last death when it was found after the given time: a
// request that began crashSince ran under that death.
func (c *crashDetector) crashSince(began time.Time) poison.CrashID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if began.Before(c.lastCrashAt) {
		return c.lastCrash
	}
	return ""
}

func (c *crashDetector) recordCrash(crash poison.CrashID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCrash, c.lastCrashAt = crash, now
}

// crashCheck is whether a server's process ended under its requests.
type crashCheck struct {
	done  chan struct{}
	crash poison.CrashID // empty when the process lives
}

// detectCrash finds out whether the server's process ended, and returns the death
// under which a request ran that began at the given time, or "".
func (d *Dispatcher) detectCrash(s *server, began time.Time) poison.CrashID {
	if crash := s.crash.crashSince(began); crash != "" {
		return crash
	}
	check, first := s.crash.joinCheck()
	if first {
		check.crash = d.checkCrash(s)
		s.crash.endCheck()
		close(check.done)
	}
	<-check.done
	return check.crash
}

func (c *crashDetector) joinCheck() (*crashCheck, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		return c.current, false
	}
	c.current = &crashCheck{done: make(chan struct{})}
	return c.current, true
}

func (c *crashDetector) endCheck() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
}

// checkCrash reports the death of a server that refuses connections.
func (d *Dispatcher) checkCrash(s *server) poison.CrashID {
	running := s.fingerprints()
	err := d.connectionRefused(s)
	if err == nil {
		return ""
	}
	d.reportFailure(s, &httplink.Failure{Stage: httplink.StageDial, Peer: s.address, Err: err})
	crash := d.poison.Report(s.ref, running, time.Now())
	s.crash.recordCrash(crash, time.Now())
	d.journal.Add(journal.Event{
		Kind:    journal.RequestSuspected,
		Pool:    s.ref.Pool,
		Subject: s.ref.String(),
		Cause:   "the server's process ended while requests ran; death " + string(crash),
	})
	return crash
}

// connectionRefused returns the refusal of a connection, or nil when the process may live.
func (d *Dispatcher) connectionRefused(s *server) error {
	for range crashDialAttempts {
		conn, err := d.network.Dial(s.address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
		if err != nil {
			return nil
		}
		_ = conn.Close()
		time.Sleep(crashDialPause)
	}
	return nil
}

// fingerprints identifies the requests at a server.
func (s *server) fingerprints() []poison.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := make([]poison.Fingerprint, 0, len(s.running))
	for r := range s.running {
		running = append(running, r.fingerprint)
	}
	return running
}

// evidenceKind tells a silent server from one whose process is gone.
func evidenceKind(failure *httplink.Failure) ownership.EvidenceKind {
	if errors.Is(failure, syscall.ECONNREFUSED) {
		return ownership.EvidenceRefused
	}
	if timedOut(failure) {
		return ownership.EvidenceTimeout
	}
	return ownership.EvidenceRefused
}

func timedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
