package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// The crowd of the case "fields".
const (
	crowdSize      = 1000            // connections, fewer than the daemon takes
	maxHeadBytes   = 16384           // MaxHeaderBytes of the configuration
	bodyBytes      = 1000            // that a caller announces; it sends one
	crowdTime      = 6 * time.Second // longer than the timeout of the route
	fieldsRounds   = 2               // times that the crowd comes
	ordinaryPause  = 100 * time.Millisecond
	openPause      = time.Millisecond // between two connections of the crowd
	kilobytesPerMB = 1024
)

// playFields lets many callers send a request whose head, within the limit, has as many short
// fields as fit, and whose body does not come. Without trouble their heads are short. The rule is
// broken if the daemon takes more memory than its machine has, or ends.
func playFields(s *stage) (bool, error) {
	if err := s.configure(); err != nil {
		return false, err
	}
	for range 3 {
		if err := s.addServer("plans", 3, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := s.startDaemon(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var ordinary sync.WaitGroup
	ordinary.Go(func() { s.callOrdinarily(stop) })
	for round := range fieldsRounds {
		s.note("round %d: %d callers come", round, crowdSize)
		s.playCrowd()
		now, peak := s.residentKB()
		s.note("round %d: resident memory %d KB, peak %d KB, limit %d KB, lives: %v", round, now, peak, memoryMB*kilobytesPerMB, s.lives())
	}
	close(stop)
	ordinary.Wait()
	_, peak := s.residentKB()
	if !s.lives() {
		s.note("the daemon has ended: %v", s.process.ProcessState)
		return true, nil
	}
	return peak > memoryMB*kilobytesPerMB, nil
}

// callOrdinarily sends an ordinary request from time to time.
func (s *stage) callOrdinarily(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(ordinaryPause):
		}
		began := time.Now()
		s.note("ordinary request answered %d after %v", s.ordinary(), time.Since(began).Round(time.Millisecond))
	}
}

// playCrowd opens the crowd's connections and holds them for crowdTime.
func (s *stage) playCrowd() {
	var crowd sync.WaitGroup
	for range crowdSize {
		time.Sleep(openPause)
		crowd.Go(func() {
			conn, err := net.DialTimeout("tcp", s.callers, time.Second)
			if err != nil {
				return // to refuse such a caller is allowed
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(crowdTime))
			_, _ = conn.Write([]byte(s.crowdHead() + "x")) // as is to close its connection
			_, _ = conn.Read(make([]byte, 1))
			time.Sleep(crowdTime / 4)
		})
	}
	crowd.Wait()
}

// crowdHead returns the head of a request of the crowd.
func (s *stage) crowdHead() string {
	var head strings.Builder
	fmt.Fprintf(&head, "POST /plan/x HTTP/1.1\r\nHost: %s\r\nChicorylug-Attempt-Id: %s\r\nChicorylug-Request-Deadline-Ms: 4000\r\nContent-Length: %d\r\n",
		host, s.nextID(), bodyBytes)
	const field = "a:\r\n"
	for s.trouble && head.Len()+len(field)+len("\r\n") <= maxHeadBytes {
		head.WriteString(field)
	}
	head.WriteString("\r\n")
	return head.String()
}
