package fenced

import (
	"time"
)

// Faults are the failures that a test can inject. The zero value is a healthy server.
type Faults struct {
	// ResetAfterRun resets the connection instead of answering a request that has run.
	ResetAfterRun bool
	// ShedAll rejects every request as shed and not run.
	ShedAll bool
	// SayLeaving says in each response that the server is about to shut down.
	SayLeaving bool
	// Pause, if not empty, rejects every request with this Retry-After value.
	Pause string
	// PauseAfterRun, if not empty, answers each request with status 503 and this Retry-After
	// value after it has run.
	PauseAfterRun string
	// WrongAttemptID sends the attempt id of another request in each response.
	WrongAttemptID bool
	// OmitAttemptID leaves the attempt id out of answers, but for those to requests that ran.
	OmitAttemptID bool
	// Unframed sends responses without a length, whose end is the end of the connection.
	Unframed bool
	// CutHead, if positive, is the number of bytes of the head of an answer, framed as HeadFraming
	// says, that are sent to each request that ran before the connection is closed in order. More
	// than the head has bytes stands for all of it without its last byte.
	CutHead     int
	HeadFraming Framing
	// Unresponsive blocks every request, while connections stay open, until it is cleared.
	Unresponsive bool
	// ExtraServiceTime is added to the service time of each run.
	ExtraServiceTime time.Duration
	// CrashOnPath crashes the server when a request's path contains it.
	CrashOnPath string
	// DropGrantResponses is the number of further grants that take effect without an answer.
	DropGrantResponses int
	// ExtraBodyBytes are added to the body of each answer.
	ExtraBodyBytes int
	// FailAll answers each request with status 500 after it has run.
	FailAll bool
	// HangWhenFull never answers a request that finds all slots taken, nor any later one
	// on its connection, instead of shedding it.
	HangWhenFull bool
	// RejectKeys is the number of further requests that are rejected as if the server did
	// not own their keys.
	RejectKeys int
	// LateCopies, if set, says for the path of a request and the status of its answer
	// whether a second copy of the answer follows when the next request arrives on the
	// connection.
	LateCopies func(path string, status int) bool
	// Flood, if set, answers each request with bytes without end of that kind, until the
	// daemon closes the connection.
	Flood FloodKind
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// waitWhileUnresponsive blocks while the fault Unresponsive is set, unless the server crashes.
func (s *Server) waitWhileUnresponsive() {
	for s.isUnresponsive() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *Server) isUnresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Unresponsive && !s.stopped
}

func (s *Server) saysLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.SayLeaving
}

func (s *Server) omitsAttemptID() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.OmitAttemptID
}
