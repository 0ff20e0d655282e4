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

// Crash detection.
const (
	crashDialAttempts = 3                     // connections that are opened to check whether the process has ended
	crashDialPause    = 20 * time.Millisecond // time between two of them
	suspectRetryAfter = time.Second           // advised pause before a retry of a request that may only run alone
)

// crashDetector checks whether a server's process has ended after connections to it
// broke. Requests whose connections break at the same time share one check.
type crashDetector struct {
	mu      sync.Mutex
	current *crashCheck // the check in progress, or nil
	// lastCrash is the latest detected crash, and lastCrashAt the time of its detection.
	lastCrash   poison.CrashID
	lastCrashAt time.Time
}

// crashSince returns the latest crash if it was detected after the given time, else
// "". A request that began before the detection was in progress at the crash.
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

// crashCheck is one check whether a server's process ended while requests were in
// progress. crash may be read once done is closed.
type crashCheck struct {
	done  chan struct{}
	crash poison.CrashID // empty when the process has not ended
}

// detectCrash checks whether the server's process has ended. It returns the crash at
// which a request that began at the given time was in progress, or "".
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

// joinCheck returns the check in progress, or a new one and true. The caller that
// gets true must do the check and call endCheck.
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

// checkCrash reports a crash if the server refuses connections, and returns its ID,
// or "" if there was none. All requests in progress become suspects.
func (d *Dispatcher) checkCrash(s *server) poison.CrashID {
	running := s.fingerprints()
	err := d.connectionRefused(s)
	if err == nil {
		return ""
	}
	d.reportFailure(s, &httplink.Failure{Stage: httplink.StageDial, Peer: s.address, Err: err})
	crash := d.poison.Report(s.ref, 0, running, time.Now())
	s.crash.recordCrash(crash, time.Now())
	d.journal.Add(journal.Event{
		Kind:    journal.RequestSuspected,
		Pool:    s.ref.Pool,
		Subject: s.ref.String(),
		Cause:   "the server's process ended while requests ran; death " + string(crash),
	})
	return crash
}

// connectionRefused returns the error when the server refuses a connection, which
// shows that its process has ended, or nil when the process may still run.
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

// fingerprints returns the fingerprints of the requests in progress at the server.
func (s *server) fingerprints() []poison.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := make([]poison.Fingerprint, 0, len(s.running))
	for r := range s.running {
		running = append(running, r.fingerprint)
	}
	return running
}

// evidenceKind distinguishes a server that does not respond in time from one that
// refuses or breaks connections.
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
