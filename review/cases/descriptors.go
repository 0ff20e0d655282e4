package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Load of the case descriptors.
const (
	maxFiles        = 2870 // MaxFds of a machine
	usualConsumers  = 1250 // with one kept connection each
	burstFactor     = 2.3  // the largest of the site's days
	burstLength     = 5 * time.Second
	usualLength     = 8 * time.Second
	requestPeriod   = 6 * time.Second // of each consumer; within four fifths of IdleTimeoutS
	settleTime      = 9 * time.Second // after the burst: ContactS, and 5 s for which a machine may count as slowed
	contact         = 3 * time.Second // ContactS
	newConsumers    = 20              // that try a new connection after that; the rule wants seven or more
	consumerTimeout = 2 * time.Second
)

// kept is the state of the consumers that keep their connections.
type kept struct {
	bench                  *bench
	daemon                 *daemon
	open, answered, failed atomic.Int64
	consumers              sync.WaitGroup
}

// get sends one request on a connection and returns the status of its answer.
func get(conn net.Conn, reader *bufio.Reader, id string) (int, error) {
	if err := conn.SetDeadline(time.Now().Add(consumerTimeout)); err != nil {
		return 0, err
	}
	_, err := fmt.Fprintf(conn, "GET /r/%s HTTP/1.1\r\nHost: %s\r\nChicorylug-Attempt-Id: %s\r\nChicorylug-Request-Deadline-Ms: %d\r\n\r\n",
		id, callerHost, id, consumerTimeout.Milliseconds())
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close() // the status is enough
	return response.StatusCode, nil
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// consume keeps a connection for a time and sends a request on it now and then.
func (k *kept) consume(d time.Duration) {
	end := time.Now().Add(d)
	conn, err := net.DialTimeout("tcp", k.daemon.callers, time.Second)
	if err != nil {
		k.failed.Add(1)
		return
	}
	k.open.Add(1)
	defer func() {
		k.open.Add(-1)
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for time.Now().Before(end) {
		if _, err := get(conn, reader, newID()); err != nil {
			k.failed.Add(1)
			return
		}
		k.answered.Add(1)
		time.Sleep(min(requestPeriod, time.Until(end)))
	}
}

// add starts consumers, which come within a second.
func (k *kept) add(count int, d time.Duration) {
	for range count {
		time.Sleep(time.Second / time.Duration(count))
		k.consumers.Go(func() { k.consume(d) })
	}
}

// probe asks for readiness once a second on a kept connection, as the platform's balancer
// does, and returns the results until stop is closed.
func (k *kept) probe(stop <-chan struct{}) <-chan []bool {
	results := make(chan []bool, 1)
	go func() {
		var ready []bool
		client := http.Client{Timeout: time.Second}
		for {
			select {
			case <-stop:
				results <- ready
				return
			case <-time.After(time.Second):
			}
			response, err := client.Get("http://" + k.daemon.readiness + "/-/readyz")
			isReady := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close() // the status is enough
			}
			ready = append(ready, isReady)
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", k.daemon.process.Process.Pid)) // none if it has ended
			k.bench.record("balancer: ready %t; consumers with a connection %d, answered %d, failed %d; descriptors of the daemon %d",
				isReady, k.open.Load(), k.answered.Load(), k.failed.Load(), len(files))
		}
	}()
	return results
}

// tryNew has new consumers try for ContactS, each on a new connection, and returns how many
// of them were answered.
func (k *kept) tryNew() int64 {
	var served atomic.Int64
	var all sync.WaitGroup
	for i := range newConsumers {
		all.Go(func() {
			time.Sleep(time.Duration(i) * contact / newConsumers)
			conn, err := net.DialTimeout("tcp", k.daemon.callers, time.Second)
			if err != nil {
				k.bench.record("new consumer %d: no connection: %v", i, err)
				return
			}
			defer conn.Close()
			status, err := get(conn, bufio.NewReader(conn), newID())
			k.bench.record("new consumer %d: answer %d, error %v", i, status, err)
			if err == nil {
				served.Add(1)
			}
		})
	}
	all.Wait()
	return served.Load()
}

// descriptors: more consumers than usual connect to a daemon for some seconds, so that it
// has no descriptor left. When they have gone, it must take new connections again.
func descriptors(b *bench, trouble bool) ([]string, error) {
	r := route{Name: "r1", Prefix: "/r/", Type: "safe", Service: "release", TimeoutS: 2, SloLatencyS: 0.6, MaxAttempts: 2}
	if err := b.configure(3, []service{{Name: "release", HealthPath: "/healthz", MaxConnections: 121}}, []route{r}); err != nil {
		return nil, err
	}
	for i := range 6 {
		if _, err := b.addTarget(targetOptions{id: fmt.Sprintf("i-%d", i+1), service: "release", slots: 4, workTime: 5 * time.Millisecond}); err != nil {
			return nil, err
		}
	}
	b.maxFiles = maxFiles
	if err := b.addDaemons(2); err != nil {
		return nil, err
	}
	if err := b.awaitReady(); err != nil {
		return nil, err
	}
	k := &kept{bench: b, daemon: b.daemons[0]}
	stop := make(chan struct{})
	probes := k.probe(stop)
	k.add(usualConsumers, usualLength+burstLength)
	time.Sleep(usualLength - time.Second)
	if trouble {
		more := int(usualConsumers*burstFactor) - usualConsumers
		b.record("burst: %d more consumers", more)
		k.add(more, burstLength)
	}
	k.consumers.Wait()
	b.record("all these consumers have closed their connections")
	time.Sleep(settleTime)
	served := k.tryNew()
	close(stop)
	ready := <-probes
	b.record("%d of %d new consumers were answered", served, newConsumers)
	last := ready[len(ready)-int(contact/time.Second):]
	for _, isReady := range last {
		if !isReady {
			return nil, fmt.Errorf("the daemon is not ready: %v", last)
		}
	}
	if served == 0 {
		return []string{fmt.Sprintf("RECOVER: the daemon says that it is ready and takes no new connection for %v, while %d consumers try", contact, newConsumers)}, nil
	}
	return nil, nil
}
