package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Load of the case downloads.
const (
	usualDownloads  = 9        // at a time, at each daemon
	burstDownloads  = 20       // the same while more users come: 2.3 times as many
	downloadBytes   = 12 << 20 // of one answer
	readRate        = 4 << 20  // bytes a second that a consumer's connection carries: 64 KiB a round trip of 16 ms
	readChunk       = 64 << 10
	downloadTimeout = 10 * time.Second
	downloadRounds  = 8                      // each second one is a burst
	downloadGap     = 125 * time.Millisecond // between two callers of a round
)

// download gets one large answer on a new connection, and reports whether it came whole.
func (b *bench) download(d *daemon) bool {
	conn, reader, err := b.connect(d)
	if err != nil {
		b.record("caller: could not connect to %s: %v", d.name, err)
		return false
	}
	defer func() { _ = conn.Close() }()
	whole, _ := b.downloadOn(conn, reader, d, "download-"+newID(), readRate)
	return whole
}

// connect opens a caller's connection to a machine.
func (b *bench) connect(d *daemon) (net.Conn, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp", d.callers, time.Second)
	if err != nil {
		return nil, nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(readChunk) // best effort: the reads are paced all the same
	}
	return conn, bufio.NewReaderSize(conn, readChunk), nil
}

// downloadOn gets one large answer at the rate of the caller's connection, in bytes a second. It reports
// whether it came whole, and whether the connection may be used again.
func (b *bench) downloadOn(conn net.Conn, reader *bufio.Reader, d *daemon, id string, rate float64) (whole, reusable bool) {
	_ = conn.SetDeadline(time.Now().Add(downloadTimeout)) // a failure shows at the next call
	b.record("caller: sends %s to %s", id, d.name)
	_, err := fmt.Fprintf(conn, "GET /d/%s HTTP/1.1\r\nHost: %s\r\nChicorylug-Attempt-Id: %s\r\nChicorylug-Request-Deadline-Ms: %d\r\n\r\n",
		id, callerHost, id, downloadTimeout.Milliseconds())
	if err != nil {
		b.record("caller: %s at %s could not be sent: %v", id, d.name, err)
		return false, false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		b.record("caller: %s at %s ended without an answer: %v", id, d.name, err)
		return false, false
	}
	got, err := readSlowly(response.Body, rate)
	_ = response.Body.Close() // it has been read
	b.record("caller: %s at %s answered %d, %d bytes, %v", id, d.name, response.StatusCode, got, err)
	return err == nil, err == nil && !response.Close
}

// readSlowly reads a body at a rate in bytes a second.
func readSlowly(body io.Reader, rate float64) (int, error) {
	started, got := time.Now(), 0
	chunk := make([]byte, readChunk)
	for {
		n, err := body.Read(chunk)
		got += n
		if err == io.EOF {
			return got, nil
		}
		if err != nil {
			return got, err
		}
		time.Sleep(time.Until(started.Add(time.Duration(float64(got) / rate * float64(time.Second)))))
	}
}

// downloads: callers get large answers, and in a burst 2.3 times as many at a time. Beside
// that, consumers with kept connections send requests that may run once.
func downloads(b *bench, trouble bool) ([]string, error) {
	services := []service{{Name: "archive", HealthPath: "/healthz", MaxConnections: 303}, {Name: "release", HealthPath: "/healthz", MaxConnections: 303}}
	routes := []route{
		{Name: "r1", Prefix: "/d/", Type: "safe", Service: "archive", TimeoutS: 10, SloLatencyS: 5, Priority: 2, MaxAttempts: 2},
		{Name: "r2", Prefix: "/r/", Type: "unsafe", Service: "release", TimeoutS: 4, SloLatencyS: 0.6, Priority: 1, MaxAttempts: 2},
	}
	if err := b.configure(3, services, routes); err != nil {
		return nil, err
	}
	for i := range 8 {
		o := targetOptions{id: fmt.Sprintf("i-%d", i+1), service: services[i%2].Name, slots: 8, workTime: 190 * time.Millisecond}
		if i%2 == 0 {
			o.bodyBytes = downloadBytes
		}
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
	return b.playDownloads(trouble)
}

// playDownloads plays the rounds of downloads at all daemons.
func (b *bench) playDownloads(trouble bool) ([]string, error) {
	stop := make(chan struct{})
	failed := make(chan error, len(b.daemons))
	var background, rounds sync.WaitGroup
	var all []*watched
	for _, d := range b.daemons {
		w := &watched{daemon: d}
		all = append(all, w)
		background.Go(func() { w.enforceMemory(stop, failed) })
		for range keptConsumers {
			background.Go(func() { w.consumeUnsafe(stop) })
		}
	}
	for round := range downloadRounds {
		count := usualDownloads
		if trouble && round%2 == 1 {
			count = burstDownloads
		}
		b.record("round %d: %d downloads at a time at each daemon", round+1, count)
		for _, d := range b.daemons {
			for i := range count {
				rounds.Go(func() {
					time.Sleep(time.Duration(i) * downloadGap)
					b.download(d)
				})
			}
		}
		rounds.Wait()
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
