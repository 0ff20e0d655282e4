package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Traffic and planned work of the case crashing.
const (
	crashPath       = "/r/crash"
	crashPeriod     = time.Second // between two sends of the request that crashes servers
	crashMachines   = 8
	crashServers    = 8
	serverReturn    = 2 * time.Second // from a server's crash to its next start
	rollGap         = 4 * time.Second
	rollTime        = 95 * time.Second
	calmTime        = 10 * time.Second // before the machines are restarted
	usualCallsS     = 20
	crashesToJudge  = 3 // BUDGET counts from so many crashes on
	allowedArrivals = 3 // of BUDGET
)

// crashCase holds what the case has seen of the request that crashes servers.
type crashCase struct {
	bench *bench

	mu        sync.Mutex
	starts    map[string]time.Time // of the machines: their last start, or their SIGTERM
	senders   map[string]string    // machine that got an attempt, by its id
	crashedAt []time.Time
	counted   int // arrivals that BUDGET counts
	serial    int // of the last server
}

// addServer starts a server that ends when it begins the crashing request, and that returns
// under a new id some seconds later.
func (c *crashCase) addServer() error {
	c.mu.Lock()
	c.serial++
	id := fmt.Sprintf("i-%d", c.serial)
	c.mu.Unlock()
	_, err := c.bench.addTarget(targetOptions{
		id: id, service: "release", slots: 4, workTime: 100 * time.Millisecond,
		crashes: func(path string) bool { return path == crashPath },
	})
	return err
}

// arrived records that an attempt of the crashing request was begun by a server.
func (c *crashCase) arrived(attempt, server string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	machine := c.senders[attempt]
	inTouch := now.Sub(c.starts[machine]) >= contact
	late := len(c.crashedAt) >= crashesToJudge && now.Sub(c.crashedAt[crashesToJudge-1]) > contact
	c.crashedAt = append(c.crashedAt, now)
	if inTouch && late {
		c.counted++
	}
	c.bench.record("crash %d: %s by attempt %s from %s, in touch %t, counted so far %d", len(c.crashedAt), server, attempt, machine, inTouch, c.counted)
}

// watchServers looks for servers that crashed: their entries lapse, and they start again.
func (c *crashCase) watchServers(stop <-chan struct{}, failed chan<- error) {
	gone := map[string]bool{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, t := range c.bench.otherTargets(nil) {
			if gone[t.id] || t.isUp() {
				continue
			}
			gone[t.id] = true
			c.arrived(c.bench.ledger.lastAt(t.id), t.id)
			go func() {
				time.Sleep(serverReturn)
				if err := c.addServer(); err != nil {
					failed <- err
				}
				time.Sleep(3*beatPeriod - serverReturn)
				c.bench.store.DeleteRow("servers", t.id)
			}()
		}
	}
}

// sendCrashing sends the crashing request again and again, at any machine.
func (c *crashCase) sendCrashing(end time.Time) {
	body := bytes.Repeat([]byte("order 17 "), 30)
	var requests sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(crashPeriod)
		machines := c.bench.inRotation()
		to := machines[rand.IntN(len(machines))]
		id := "crash-" + newID()
		c.mu.Lock()
		c.senders[id] = to.name
		c.mu.Unlock()
		requests.Go(func() { c.send(to, id, body) })
	}
	requests.Wait()
}

func (c *crashCase) send(to *daemon, id string, body []byte) {
	request, err := http.NewRequest(http.MethodPost, "http://"+to.callers+crashPath, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address and the path are always valid
	}
	request.Host = callerHost
	request.Header.Set("Chicorylug-Attempt-Id", id)
	request.Header.Set("Chicorylug-Request-Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	client := http.Client{Timeout: callDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		c.bench.record("caller: %s at %s ended without an answer: %v", id, to.name, err)
		return
	}
	_ = response.Body.Close() // the status is enough
	c.bench.record("caller: %s at %s answered %d", id, to.name, response.StatusCode)
}

// restartMachines has the machines stopped and started in turn, until the given time.
func (c *crashCase) restartMachines(end time.Time) error {
	for i := 0; time.Now().Before(end); i++ {
		d := c.bench.daemons[i%len(c.bench.daemons)]
		c.setRotation(d, false)
		c.bench.record("platform: %s gets SIGTERM", d.name)
		if err := d.process.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		<-d.ended
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			return err
		}
		for !d.isReady() {
			time.Sleep(20 * time.Millisecond)
		}
		c.setRotation(d, true)
		time.Sleep(rollGap)
	}
	return nil
}

// setRotation takes a machine out of the balancer's rotation or puts it back, and notes the time.
func (c *crashCase) setRotation(d *daemon, in bool) {
	c.mu.Lock()
	c.starts[d.name] = time.Now()
	c.mu.Unlock()
	c.bench.mu.Lock()
	defer c.bench.mu.Unlock()
	d.removed = !in
}

// crashing: a request ends each server that begins it, and comes again at any machine. The
// machines are stopped and started in turn.
func crashing(b *bench, trouble bool) ([]string, error) {
	s := service{Name: "release", HealthPath: "/healthz", MaxConnections: 303}
	r := route{Name: "r1", Prefix: "/r/", Type: "unsafe", Service: "release", TimeoutS: 4, SloLatencyS: 0.6, Priority: 1, MaxAttempts: 2}
	if err := b.configure(3, []service{s}, []route{r}); err != nil {
		return nil, err
	}
	c := &crashCase{bench: b, starts: map[string]time.Time{}, senders: map[string]string{}}
	for range crashServers {
		if err := c.addServer(); err != nil {
			return nil, err
		}
	}
	if err := b.addDaemons(crashMachines); err != nil {
		return nil, err
	}
	if err := b.awaitReady(); err != nil {
		return nil, err
	}
	return c.play(trouble)
}

func (c *crashCase) play(trouble bool) ([]string, error) {
	stop, failed := make(chan struct{}), make(chan error, crashServers)
	end := time.Now().Add(rollTime)
	usual := &load{bench: c.bench, method: http.MethodPost, prefix: "/r/", phase: "usual-", perS: usualCallsS, deadline: callDeadline, bodySize: 300}
	var watcher, traffic sync.WaitGroup
	watcher.Go(func() { c.watchServers(stop, failed) })
	traffic.Go(func() { c.sendCrashing(end) })
	traffic.Go(func() { usual.run(rollTime) })
	time.Sleep(calmTime)
	if trouble {
		if err := c.restartMachines(end.Add(-calmTime)); err != nil {
			return nil, err
		}
	}
	traffic.Wait()
	close(stop)
	watcher.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
	}
	return c.judge(), nil
}

// judge returns a break of BUDGET.
func (c *crashCase) judge() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := 0
	c.bench.ledger.mu.Lock()
	for id, status := range c.bench.ledger.answers {
		if strings.HasPrefix(id, "usual-") && status == http.StatusBadGateway {
			lost++
		}
	}
	c.bench.ledger.mu.Unlock()
	c.bench.record("%d servers crashed, %d of them by requests that BUDGET counts; %d other requests that may run once were answered 502", len(c.crashedAt), c.counted, lost)
	if c.counted <= allowedArrivals {
		return nil
	}
	return []string{fmt.Sprintf("BUDGET: a request that had crashed %d servers reached servers %d times, later than %v after that and from machines in touch",
		crashesToJudge, c.counted, contact)}
}
