package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Load of the case memory.
const (
	usualUploads    = 3        // at a time, at each daemon
	burstUploads    = 6        // the same while more users come: twice as many, of 2.3 times allowed
	uploadBytes     = 22 << 20 // MaxBodyBytes is 64 MiB
	uploadTime      = 3 * time.Second
	uploadTimeout   = 10 * time.Second
	uploadRounds    = 6 // each second one is a burst
	keptConsumers   = 12
	restartDelay    = 500 * time.Millisecond
	memoryPeriod    = 20 * time.Millisecond
	maxLostRequests = 3 // of LOST
	maxOwnEnds      = 2 // of Fault: three ends are too many
)

// slowBody is a body of unknown length, which its sender produces within uploadTime.
type slowBody struct {
	left    int
	started time.Time
}

func (s *slowBody) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	if s.started.IsZero() {
		s.started = time.Now()
	}
	count := min(len(p), s.left)
	s.left -= count
	share := float64(uploadBytes-s.left) / uploadBytes
	time.Sleep(time.Until(s.started.Add(time.Duration(share * float64(uploadTime)))))
	return count, nil
}

// upload sends one body in chunks.
func (b *bench) upload(d *daemon) {
	id := newID()
	request, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/u/"+id, &slowBody{left: uploadBytes})
	if err != nil {
		panic(err) // the address and the path are always valid
	}
	request.Host = callerHost
	request.Header.Set("Chicorylug-Attempt-Id", id)
	request.Header.Set("Chicorylug-Request-Deadline-Ms", strconv.FormatInt(uploadTimeout.Milliseconds(), 10))
	client := http.Client{Timeout: uploadTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	b.record("caller: uploads %s to %s, %d bytes in chunks", id, d.name, uploadBytes)
	response, err := client.Do(request)
	if err != nil {
		b.record("caller: upload %s ended without an answer: %v", id, err)
		return
	}
	_ = response.Body.Close() // the status is enough
	b.record("caller: upload %s answered %d", id, response.StatusCode)
}

// residentMB returns the resident memory of a process, or 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// watched is a daemon whose memory the platform limits.
type watched struct {
	*daemon
	ends int // of processes that exceeded the limit
	most int // resident MB
	lost atomic.Int64
}

// enforceMemory kills the daemon's process when it exceeds its memory, and starts it again
// after a short delay, as the platform does, until stop is closed.
func (w *watched) enforceMemory(stop <-chan struct{}, failed chan<- error) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryPeriod):
		}
		used := residentMB(w.process.Process.Pid)
		w.most = max(w.most, used)
		if used <= memoryMB {
			continue
		}
		w.ends++
		w.bench.record("platform: %s uses %d MB and may use %d, it is killed", w.name, used, memoryMB)
		w.kill()
		time.Sleep(restartDelay)
		if err := w.start(); err != nil {
			failed <- err
			return
		}
	}
}

// consumeUnsafe sends requests that may run once, one after the other on a kept connection,
// until stop is closed. A request that ran and whose connection ended without an answer is
// lost.
func (w *watched) consumeUnsafe(stop <-chan struct{}) {
	for {
		conn, err := net.DialTimeout("tcp", w.callers, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
		for reader := bufio.NewReader(conn); err == nil; {
			select {
			case <-stop:
				_ = conn.Close()
				return
			default:
			}
			id := newID()
			var status int
			if status, err = get(conn, reader, id); err == nil {
				w.bench.ledger.answered(id, status)
				continue
			}
			if servers := w.bench.ledger.ranAt(id); len(servers) > 0 {
				w.lost.Add(1)
				w.bench.record("consumer: %s ran at %v and its connection ended without an answer: %v", id, servers, err)
			}
			_ = conn.Close()
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

// memory: callers upload in chunks, and in a burst twice as many at a time. Beside that,
// consumers with kept connections send requests that may run once.
func memory(b *bench, trouble bool) ([]string, error) {
	services := []service{{Name: "dossier", HealthPath: "/healthz", MaxConnections: 121}, {Name: "release", HealthPath: "/healthz", MaxConnections: 121}}
	routes := []route{
		{Name: "r1", Prefix: "/u/", Type: "upload", Service: "dossier", TimeoutS: 10, SloLatencyS: 5, Priority: 1, MaxAttempts: 2},
		{Name: "r2", Prefix: "/r/", Type: "unsafe", Service: "release", TimeoutS: 4, SloLatencyS: 0.6, Priority: 1, MaxAttempts: 2},
	}
	if err := b.configure(3, services, routes); err != nil {
		return nil, err
	}
	for i := range 8 {
		o := targetOptions{id: fmt.Sprintf("i-%d", i+1), service: services[i%2].Name, slots: 8, workTime: 190 * time.Millisecond}
		if _, err := b.addTarget(o); err != nil {
			return nil, err
		}
	}
	if err := b.addDaemons(2); err != nil {
		return nil, err
	}
	if err := b.awaitReady(); err != nil {
		return nil, err
	}
	return b.playUploads(trouble)
}

// playUploads plays the rounds of uploads at all daemons.
func (b *bench) playUploads(trouble bool) ([]string, error) {
	stop := make(chan struct{})
	failed := make(chan error, len(b.daemons))
	var background, uploads sync.WaitGroup
	var all []*watched
	for _, d := range b.daemons {
		w := &watched{daemon: d}
		all = append(all, w)
		background.Go(func() { w.enforceMemory(stop, failed) })
		for range keptConsumers {
			background.Go(func() { w.consumeUnsafe(stop) })
		}
	}
	for round := range uploadRounds {
		count := usualUploads
		if trouble && round%2 == 1 {
			count = burstUploads
		}
		b.record("round %d: %d uploads at a time at each daemon", round+1, count)
		for _, d := range b.daemons {
			for range count {
				uploads.Go(func() { b.upload(d) })
			}
		}
		uploads.Wait()
		time.Sleep(2 * time.Second)
	}
	close(stop)
	background.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
	}
	return judgeMemory(b, all), nil
}

// judgeMemory returns the breaks of LOST and of Fault.
func judgeMemory(b *bench, all []*watched) []string {
	var breaks []string
	ended := 0
	for _, w := range all {
		b.record("%s: at most %d MB, %d ends for memory, %d requests lost", w.name, w.most, w.ends, w.lost.Load())
		if w.lost.Load() > maxLostRequests {
			breaks = append(breaks, fmt.Sprintf("LOST: %s passed %d requests of kept connections on to sound servers and ended without an answer", w.name, w.lost.Load()))
		}
		if w.ends > maxOwnEnds {
			ended++
		}
	}
	if ended >= 2 {
		breaks = append(breaks, fmt.Sprintf("Fault: %d daemons exceeded their memory three times or more", ended))
	}
	return breaks
}
