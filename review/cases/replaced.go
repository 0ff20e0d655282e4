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
	"github.com/chicorylug/chicorylug/internal/platform"
)

// Planned work, final fault and traffic of the case replaced.
const (
	machines      = 6
	replacements  = 6 // at most
	replacePeriod = 5 * time.Second
	finalDelay    = 200 * time.Millisecond  // from the last SIGTERM to the final fault
	downTime      = 1400 * time.Millisecond // of the final fault
	recoverTime   = 15 * time.Second        // RecoverS
	recoveredTime = 15 * time.Second        // for which requests are judged after that
	recoverCallsS = 40
	recoverShare  = 4 // at least one in so many must be served
)

// keeperName returns the name of the daemon that the store records as the keeper of the
// keyed service, or an empty text.
func (b *bench) keeperName() string {
	name := follow.OwnersRecordName(keyedService, platform.FirstEra)
	value, ok := b.store.Value("chicorylug", name)
	if !ok {
		return ""
	}
	owners, err := follow.DecodeOwners(platform.Record{Name: name, Value: value})
	if err != nil {
		return ""
	}
	return string(owners.Keeper)
}

// keeperRuns reports whether the machine that the store records as the keeper is in rotation.
func (b *bench) keeperRuns() bool {
	name := b.keeperName()
	return slices.ContainsFunc(b.inRotation(), func(d *daemon) bool { return d.name == name })
}

// replaceKeeper replaces the machine of the keeper for good: a new one comes first, at other
// addresses, then the old one gets SIGTERM and never returns. With the same set, the machine
// itself starts again instead.
func (b *bench) replaceKeeper(number int, same bool) error {
	name := b.keeperName()
	for i, d := range b.daemons {
		if d.name != name || d.removed {
			continue
		}
		if !same {
			if err := b.addMachine(fmt.Sprintf("edge-new-%d", number)); err != nil {
				return err
			}
		}
		b.mu.Lock()
		b.daemons[i].removed = true
		b.mu.Unlock()
		b.record("platform: %s, the keeper, gets SIGTERM", d.name)
		if err := d.process.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if same {
			go b.restartAfterEnd(d)
		}
		return nil
	}
	return fmt.Errorf("the keeper %q is not running", name)
}

// restartAfterEnd starts a daemon again when its process has ended.
func (b *bench) restartAfterEnd(d *daemon) {
	<-d.ended
	if err := d.start(); err != nil {
		b.record("%s could not be started: %v", d.name, err)
		return
	}
	for !d.isReady() {
		time.Sleep(50 * time.Millisecond)
	}
	b.mu.Lock()
	d.removed = false
	b.mu.Unlock()
}

// replaced: machines are replaced for good, one after the other. Then all processes are
// killed and start again.
func replaced(b *bench, trouble bool) ([]string, error) {
	s := service{Name: keyedService, HealthPath: "/healthz", MaxConnections: 121, Sharded: true, WarmS: 5}
	r := route{Name: "r1", Prefix: "/k/", Type: "safe", Service: keyedService, TimeoutS: 3, SloLatencyS: 0.5, MaxAttempts: 2}
	if err := b.configure(3, []service{s}, []route{r}); err != nil {
		return nil, err
	}
	for i := range 6 {
		o := targetOptions{id: fmt.Sprintf("i-%d", i+1), service: keyedService, keyed: true, slots: 4, workTime: 20 * time.Millisecond}
		if _, err := b.addTarget(o); err != nil {
			return nil, err
		}
	}
	if err := b.addDaemons(machines); err != nil {
		return nil, err
	}
	if err := b.awaitReady(); err != nil {
		return nil, err
	}
	before := &load{bench: b, method: http.MethodGet, prefix: "/k/", phase: "before-", keyed: true, perS: recoverCallsS, deadline: 3 * time.Second}
	after := &load{bench: b, method: http.MethodGet, prefix: "/k/", phase: "after-", keyed: true, perS: recoverCallsS, deadline: 3 * time.Second}
	var traffic sync.WaitGroup
	traffic.Go(func() { before.run(replacements * replacePeriod) })
	if err := b.replaceInTurn(trouble); err != nil {
		return nil, err
	}
	time.Sleep(finalDelay)
	if err := b.killAll(); err != nil {
		return nil, err
	}
	traffic.Wait()
	time.Sleep(recoverTime)
	after.run(recoveredTime)
	return b.judgeRecovery(), nil
}

// replaceInTurn replaces the machine that is the keeper, one after the other, until no machine
// that runs is the keeper. Without trouble, these machines return.
func (b *bench) replaceInTurn(trouble bool) error {
	began := time.Now()
	for number := range replacements {
		time.Sleep(time.Until(began.Add(time.Duration(number+1)*replacePeriod - time.Second)))
		if !b.keeperRuns() {
			b.record("no machine that runs is the keeper")
			continue
		}
		if err := b.replaceKeeper(number+1, !trouble); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all processes. Those of machines in rotation start again; one that is just
// restarting does so by itself.
func (b *bench) killAll() error {
	b.record("final fault: all processes are killed")
	b.mu.Lock()
	all := slices.Clone(b.daemons)
	b.mu.Unlock()
	returning := b.inRotation()
	for _, d := range all {
		_ = d.process.Process.Kill() // it may have ended already
	}
	time.Sleep(downTime)
	for _, d := range returning {
		<-d.ended
		if err := d.start(); err != nil {
			return err
		}
	}
	b.record("all machines are back")
	return nil
}

// judgeRecovery returns a break of RECOVER.
func (b *bench) judgeRecovery() []string {
	l := b.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, served := map[string]int{}, map[string]int{}
	for id, status := range l.answers {
		when, _, _ := strings.Cut(id, "-")
		sent[when]++
		if status == http.StatusOK {
			served[when]++
		}
	}
	b.record("before the final fault %d of %d requests served; from %v after it on %d of %d", served["before"], sent["before"], recoverTime, served["after"], sent["after"])
	if served["before"]*recoverShare < sent["before"] || served["after"]*recoverShare >= sent["after"] {
		return nil
	}
	return []string{fmt.Sprintf("RECOVER: %d of %d requests served that were sent more than %v after the machines were back, and %d of %d before the final fault",
		served["after"], sent["after"], recoverTime, served["before"], sent["before"])}
}
