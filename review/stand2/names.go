package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The crowd of the case "names".
const (
	listers         = 400                    // callers whose Connection header lists many names
	listPause       = 250 * time.Millisecond // least time between two requests of one of them
	listedNames     = 4000
	listTime        = 25 * time.Second
	listerTimeout   = 20 * time.Second
	ordinaryCallers = 10
	calmTime        = 2 * time.Second
	longestSilence  = 10 * time.Second // without an answer to any ordinary caller

	routeTimeout    = 4 * time.Second        // TimeoutS of the configuration
	timeoutSlack    = 500 * time.Millisecond // within which a request has its answer after the timeout
	mostUnanswered  = 8                      // requests without an answer then, from which on the rule is broken,
	unansweredShare = 4                      // if they are more than 1/unansweredShare of those that last longer than the timeout
)

// playNames lets callers send small reads whose Connection header lists many names, and as many
// short fields as fit into the head beside it. Without trouble they send the same without that header.
// Ordinary callers go on meanwhile. The rule is broken if too many of their requests that last
// longer than the route's timeout have no answer of any status timeoutSlack later, and if none
// of these callers gets an answer for longestSilence.
func playNames(s *stage) (bool, error) {
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
	var lastAnswer, answered, failed, long, late, listed atomic.Int64
	lastAnswer.Store(time.Now().UnixNano())
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range ordinaryCallers {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(ordinaryPause):
				}
				began := time.Now()
				status := s.ordinary()
				took := time.Since(began)
				if took > routeTimeout {
					long.Add(1)
				}
				if took > routeTimeout+timeoutSlack {
					late.Add(1)
				}
				if status == 0 {
					failed.Add(1)
					continue
				}
				answered.Add(1)
				lastAnswer.Store(time.Now().UnixNano())
			}
		})
	}
	time.Sleep(calmTime)
	s.note("ordinary callers: %d answered, %d without an answer; now %d others come", answered.Load(), failed.Load(), listers)
	end := time.Now().Add(listTime)
	var crowd sync.WaitGroup
	for range listers {
		crowd.Go(func() {
			for time.Now().Before(end) {
				s.list(end, &listed)
				time.Sleep(listPause)
			}
		})
	}
	longest := time.Duration(0)
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		silence := time.Since(time.Unix(0, lastAnswer.Load()))
		longest = max(longest, silence)
		s.note("ordinary callers: %d answered, %d without an answer, silent for %v; others: %d answered",
			answered.Load(), failed.Load(), silence.Round(time.Millisecond), listed.Load())
	}
	close(stop)
	crowd.Wait()
	callers.Wait()
	s.note("longest time without an answer to an ordinary caller: %v", longest.Round(time.Millisecond))
	s.note("ordinary requests that lasted longer than the timeout: %d, and without an answer %v later: %d", long.Load(), timeoutSlack, late.Load())
	unanswered := late.Load() >= mostUnanswered && unansweredShare*late.Load() > long.Load()
	return (unanswered && longest > longestSilence) || !s.lives(), nil
}

// list sends requests of the crowd on one connection until it closes.
func (s *stage) list(end time.Time, answered *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", s.callers, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for time.Now().Before(end) {
		_ = conn.SetDeadline(time.Now().Add(listerTimeout)) // a failure shows at the next call
		if _, err := conn.Write([]byte(s.listingHead())); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return
		}
		answered.Add(1)
		time.Sleep(listPause)
	}
}

// listingHead returns a request of the crowd.
func (s *stage) listingHead() string {
	var head strings.Builder
	fmt.Fprintf(&head, "GET /read/x HTTP/1.1\r\nHost: %s\r\nChicorylug-Attempt-Id: %s\r\nChicorylug-Request-Deadline-Ms: 4000\r\n", host, s.nextID())
	if s.trouble {
		fmt.Fprintf(&head, "Connection: %sa\r\n", strings.Repeat("a,", listedNames))
	}
	const field = "b:\r\n"
	for head.Len()+len(field)+len("\r\n") <= maxHeadBytes {
		head.WriteString(field)
	}
	head.WriteString("\r\n")
	return head.String()
}
