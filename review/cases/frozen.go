package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chicorylug/chicorylug/internal/follow"
	"github.com/chicorylug/chicorylug/internal/model"
)

// A deployment in one zone, whose operator changes the desired state while a few machines
// are frozen.
const (
	frozenFleet    = 30
	frozenMachines = 3 // a tenth of the machines
	freezeTime     = 4 * time.Second
	freezeRounds   = 4
	roundTime      = 16 * time.Second
	changeDelay    = 50 * time.Millisecond // from the freeze to the change
	configApply    = 2 * time.Second       // ConfigApplyS
	frozenCallsS   = 270
	oldService     = "old"
	newService     = "new"
)

// change is a version of the desired state that moves the route to another service.
type change struct {
	at      time.Time // of the confirmation
	version int
	service string
}

// frozenCase holds the changes and the times of the requests.
type frozenCase struct {
	bench *bench

	mu      sync.Mutex
	changes []change
	sent    map[string]time.Time
	version int
}

// storeFollowers returns the machines that follow the store for the others of their zone.
func (b *bench) storeFollowers() []*daemon {
	sorted := slices.Clone(b.daemons)
	score := func(d *daemon) float64 {
		return follow.Daemon{Name: model.DaemonID(d.name), Cores: coreShare}.Score(string(follow.ServiceName))
	}
	slices.SortFunc(sorted, func(x, y *daemon) int {
		if score(x) > score(y) {
			return -1
		}
		return 1
	})
	return sorted[:frozenMachines]
}

// changeRoute moves the route to a service.
func (c *frozenCase) changeRoute(to string) error {
	services := []service{
		{Name: oldService, HealthPath: "/healthz", MaxConnections: 303},
		{Name: newService, HealthPath: "/healthz", MaxConnections: 303},
	}
	r := route{Name: "r1", Prefix: "/r/", Type: "safe", Service: to, TimeoutS: 2, SloLatencyS: 0.6, MaxAttempts: 2}
	c.mu.Lock()
	c.version += 7
	version := c.version
	c.mu.Unlock()
	if err := c.bench.configure(version, services, []route{r}); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, change{at: time.Now(), version: version, service: to})
	return nil
}

// frozen: machines stand still for a few seconds while the operator moves a route to
// another service.
func frozen(b *bench, trouble bool) ([]string, error) {
	c := &frozenCase{bench: b, sent: map[string]time.Time{}}
	if err := c.changeRoute(oldService); err != nil {
		return nil, err
	}
	for i := range 8 {
		o := targetOptions{id: fmt.Sprintf("i-%d", i+1), service: oldService, slots: 8, workTime: 50 * time.Millisecond}
		if i%2 == 1 {
			o.service = newService
		}
		o.id = o.service + "-" + o.id
		if _, err := b.addTarget(o); err != nil {
			return nil, err
		}
	}
	if err := b.addDaemons(frozenFleet); err != nil {
		return nil, err
	}
	if err := b.awaitReady(); err != nil {
		return nil, err
	}
	var traffic sync.WaitGroup
	l := &load{bench: b, method: http.MethodGet, prefix: "/r/", perS: frozenCallsS, deadline: 2 * time.Second, onSend: c.recordSent}
	traffic.Go(func() { l.run((freezeRounds + 1) * roundTime) })
	for round := range freezeRounds {
		time.Sleep(roundTime)
		to := newService
		if round%2 == 1 {
			to = oldService
		}
		if err := c.playRound(to, trouble); err != nil {
			return nil, err
		}
	}
	traffic.Wait()
	return c.judge(), nil
}

// recordSent notes when a request was sent.
func (c *frozenCase) recordSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[id] = time.Now()
}

// playRound freezes machines, which then get no new requests, and moves the route.
func (c *frozenCase) playRound(to string, trouble bool) error {
	if trouble {
		for _, d := range c.bench.storeFollowers() {
			if err := c.bench.freeze(d); err != nil {
				return err
			}
		}
	}
	time.Sleep(changeDelay)
	return c.changeRoute(to)
}

// freeze stops a machine's process, and lets it go on after freezeTime.
func (b *bench) freeze(d *daemon) error {
	b.mu.Lock()
	d.removed = true
	b.mu.Unlock()
	b.record("%s stands still", d.name)
	if err := d.process.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(freezeTime, func() {
		_ = d.process.Process.Signal(syscall.SIGCONT) // it may have ended with the case
		b.record("%s goes on", d.name)
		time.AfterFunc(contact, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			d.removed = false
		})
	})
	return nil
}

// judge returns a break of CONFIG: requests that were sent later than configApply after the
// confirmation of a version, and run by a service that only an older version allows.
func (c *frozenCase) judge() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	stale, latest := 0, time.Duration(0)
	for id, sent := range c.sent {
		newest := -1
		for i, ch := range c.changes {
			if sent.Sub(ch.at) > configApply {
				newest = i
			}
		}
		if newest < 0 {
			continue
		}
		for _, server := range c.bench.ledger.ranAt(id) {
			if c.allowedSince(newest, server) {
				continue
			}
			stale++
			age := sent.Sub(c.changes[newest].at)
			latest = max(latest, age)
			c.bench.record("stale: %s was sent %v after the confirmation of version %d and ran at %s", id, age, c.changes[newest].version, server)
		}
	}
	if stale == 0 {
		return nil
	}
	return []string{fmt.Sprintf("CONFIG: %d requests were sent later than %v, up to %v, after the confirmation of a version and run by a service that only an older one allows",
		stale, configApply, latest.Round(time.Millisecond))}
}

// allowedSince reports whether the version at an index or a later one allows a server.
func (c *frozenCase) allowedSince(index int, server string) bool {
	return slices.ContainsFunc(c.changes[index:], func(ch change) bool { return strings.HasPrefix(server, ch.service+"-") })
}
