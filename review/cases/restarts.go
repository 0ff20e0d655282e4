package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// Planned work and load of the case restarts.
const (
	restartMachines  = 4
	restartBodyBytes = 31 << 19        // of one answer: 15.5 MiB
	restartRate      = 3 << 20         // bytes a second that a consumer's connection carries: 48 KiB a round trip of 16 ms
	restartConsumers = 24              // with one kept connection each
	restartIdle      = 6 * time.Second // of a connection between two requests; within four fifths of IdleTimeoutS
	restartTime      = 70 * time.Second
	restartQuiet     = 4 * time.Second // before the first restart and after each
	probePeriod      = time.Second     // of the platform, which asks each machine whether it is ready
	missesToLeave    = 2               // of these questions
	grace            = 6 * time.Second // GraceS
	lastCounted      = 3 * time.Second // requests that were sent so long after SIGTERM still count
)

// restartCase holds what the platform and the callers saw.
type restartCase struct {
	bench *bench

	mu       sync.Mutex
	sigterms map[string]time.Time // last SIGTERM of each machine
	breaks   []string
	ended    int // downloads that came whole
}

// balance takes machines out of the rotation that are not ready twice in a row, and puts
// them back when they are.
func (c *restartCase) balance(d *daemon, stop <-chan struct{}) {
	misses := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(probePeriod):
		}
		if d.isReady() {
			misses = 0
		} else {
			misses++
		}
		c.bench.mu.Lock()
		d.removed = misses >= missesToLeave
		c.bench.mu.Unlock()
	}
}

// consume fetches answers, one after the other on a kept connection, until the given time.
// When the connection has ended, the next one leads to a machine in rotation.
func (c *restartCase) consume(end time.Time) {
	for time.Now().Before(end) {
		machines := c.bench.inRotation()
		d := machines[rand.IntN(len(machines))]
		conn, reader, err := c.bench.connect(d)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for reusable := true; reusable && time.Now().Before(end); {
			reusable = c.call(conn, reader, d)
			time.Sleep(restartIdle/2 + rand.N(restartIdle))
		}
		_ = conn.Close()
	}
}

// call fetches one answer. It is a break of LOST if the connection of a request that was
// passed on, and that was sent no later than lastCounted after a SIGTERM, ends without a
// complete answer.
func (c *restartCase) call(conn net.Conn, reader *bufio.Reader, d *daemon) (reusable bool) {
	sent, id := time.Now(), "download-"+newID()
	whole, reusable := c.bench.downloadOn(conn, reader, d, id, restartRate)
	took := time.Since(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if whole {
		c.ended++
		return reusable
	}
	term, known := c.sigterms[d.name]
	servers := c.bench.ledger.ranAt(id)
	if !known || len(servers) == 0 || sent.Sub(term) > lastCounted || time.Since(term) > grace+time.Second || took >= downloadTimeout {
		return false
	}
	text := fmt.Sprintf("LOST: a request was sent to %s %v after its SIGTERM, %v had answered it, and %v later its connection ended without a complete answer",
		d.name, sent.Sub(term).Round(time.Millisecond), servers, took.Round(time.Millisecond))
	c.bench.record("%s", text)
	c.breaks = append(c.breaks, text)
	return false
}

// stopAndStart stops a machine as the platform does, and starts it again.
func (c *restartCase) stopAndStart(d *daemon) error {
	c.mu.Lock()
	c.sigterms[d.name] = time.Now()
	c.mu.Unlock()
	c.bench.record("platform: %s gets SIGTERM", d.name)
	if err := d.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-d.ended:
	case <-time.After(grace):
		c.bench.record("platform: %s is killed after %v", d.name, grace)
		d.kill()
	}
	time.Sleep(restartDelay)
	return d.start()
}

// restarts: callers fetch large answers while the machines are stopped and started in turn.
func restarts(b *bench, trouble bool) ([]string, error) {
	s := service{Name: "climate-log", HealthPath: "/healthz", MaxConnections: 121}
	r := route{Name: "r1", Prefix: "/d/", Type: "safe", Service: s.Name, TimeoutS: 10, SloLatencyS: 5, Priority: 2, MaxAttempts: 2}
	if err := b.configure(3, []service{s}, []route{r}); err != nil {
		return nil, err
	}
	for i := range 4 {
		o := targetOptions{id: fmt.Sprintf("i-%d", i+1), service: s.Name, slots: 8, workTime: 100 * time.Millisecond, bodyBytes: restartBodyBytes}
		if _, err := b.addTarget(o); err != nil {
			return nil, err
		}
	}
	if err := b.addDaemons(restartMachines); err != nil {
		return nil, err
	}
	if err := b.awaitReady(); err != nil {
		return nil, err
	}
	c := &restartCase{bench: b, sigterms: map[string]time.Time{}}
	return c.play(trouble)
}

func (c *restartCase) play(trouble bool) ([]string, error) {
	stop := make(chan struct{})
	end := time.Now().Add(restartTime)
	var background, calls sync.WaitGroup
	for _, d := range c.bench.daemons {
		background.Go(func() { c.balance(d, stop) })
	}
	for range restartConsumers {
		calls.Go(func() { c.consume(end) })
	}
	for i := 0; time.Now().Add(grace + restartQuiet).Before(end); i++ {
		time.Sleep(restartQuiet)
		if !trouble {
			continue
		}
		if err := c.stopAndStart(c.bench.daemons[i%restartMachines]); err != nil {
			return nil, err
		}
	}
	calls.Wait()
	close(stop)
	background.Wait()
	c.bench.record("%d answers came whole", c.ended)
	return c.breaks, nil
}
