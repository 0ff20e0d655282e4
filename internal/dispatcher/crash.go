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
	crashAsks         = 3                     // connections that are tried
	crashAskPause     = 20 * time.Millisecond // time between two of them
	suspectRetryAfter = time.Second           // pause advised for a request that may run only alone
)

// crashWatch makes one finding of all the connections that break together.
type crashWatch struct {
	mu      sync.Mutex
	current *finding
	// death is the one that was found last, at the time found.
	death poison.CrashID
	found time.Time
}

// before returns the last death when it was found after the given time: a
// request that began before ran under that death.
func (c *crashWatch) before(began time.Time) poison.CrashID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if began.Before(c.found) {
		return c.death
	}
	return ""
}

func (c *crashWatch) note(death poison.CrashID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.death, c.found = death, now
}

// finding is whether a server's process ended under its requests.
type finding struct {
	done  chan struct{}
	death poison.CrashID // empty when the process lives
}

// crashed finds out whether the server's process ended, and returns the death
// under which a request ran that began at the given time, or "".
func (d *Dispatcher) crashed(s *server, began time.Time) poison.CrashID {
	if death := s.crash.before(began); death != "" {
		return death
	}
	f, first := s.crash.join()
	if first {
		f.death = d.find(s)
		s.crash.leave()
		close(f.done)
	}
	<-f.done
	return f.death
}

func (c *crashWatch) join() (*finding, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		return c.current, false
	}
	c.current = &finding{done: make(chan struct{})}
	return c.current, true
}

func (c *crashWatch) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
}

// find reports the death of a server that refuses connections.
func (d *Dispatcher) find(s *server) poison.CrashID {
	running := s.fingerprints()
	err := d.gone(s)
	if err == nil {
		return ""
	}
	d.unanswered(s, &httplink.Failure{Stage: httplink.StageDial, Peer: s.address, Err: err})
	death := d.poison.Report(s.ref, running, time.Now())
	s.crash.note(death, time.Now())
	d.journal.Add(journal.Event{
		Kind:    journal.RequestSuspected,
		Pool:    s.ref.Pool,
		Subject: s.ref.String(),
		Cause:   "the server's process ended while requests ran; death " + string(death),
	})
	return death
}

// gone returns the refusal of a connection, or nil when the process may live.
func (d *Dispatcher) gone(s *server) error {
	for range crashAsks {
		conn, err := d.network.Dial(s.address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
		if err != nil {
			return nil
		}
		_ = conn.Close()
		time.Sleep(crashAskPause)
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

// evidenceOf tells a silent server from one whose process is gone.
func evidenceOf(failure *httplink.Failure) ownership.EvidenceKind {
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
