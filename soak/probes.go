package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Every other probe is one of the newest versions, the others are of older ones: in a storm of
// configurations, a daemon that is late uses one that was replaced long ago.
const (
	probePause  = 20 * time.Millisecond
	probedNew   = 3  // newest versions
	probedOld   = 12 // versions before these
	firstProbed = 2  // version of the first configuration
)

// probe asks each daemon again and again which versions of the configuration it uses,
// until ctx is done.
func probe(ctx context.Context, f *Fleet) {
	var all sync.WaitGroup
	for _, d := range f.daemons {
		p := &prober{daemon: d, monitor: f.monitor}
		all.Go(func() { p.run(ctx) })
	}
	all.Wait()
}

// prober knows which version of the configuration a daemon has used.
type prober struct {
	daemon      *daemonProc
	monitor     *Monitor
	probes      int
	incarnation int
	newest      int       // version that this incarnation was seen to use
	seen        time.Time // when it was seen first
}

func (p *prober) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.connected(ctx)
		time.Sleep(probePause)
	}
}

// connected probes on one connection until it ends.
func (p *prober) connected(ctx context.Context) {
	incarnation, running := p.daemon.current()
	if !running {
		return
	}
	conn, err := net.DialTimeout("tcp", p.daemon.config.CallerAddress, connectLimit)
	if err != nil {
		return // the daemon has not started yet, or has ended
	}
	defer func() { _ = conn.Close() }() // its end is no finding
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		open, err := p.probe(conn, reader, p.nextVersion(), incarnation)
		if err != nil || !open {
			return
		}
		time.Sleep(probePause)
	}
}

// nextVersion returns the version to probe next.
func (p *prober) nextVersion() int {
	back := p.probes / 2 % probedNew
	if p.probes%2 == 1 {
		back = probedNew + p.probes/2%probedOld
	}
	return max(firstProbed, p.monitor.newestVersion()-back)
}

// probe sends one request on the route of a version, and reports whether the connection
// stays open.
func (p *prober) probe(conn net.Conn, reader *bufio.Reader, version, incarnation int) (open bool, err error) {
	p.probes++
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	o := Outcome{ID: fmt.Sprintf("%s-probe-%d", p.daemon.name, p.probes), Daemon: p.daemon.name, Incarnation: incarnation}
	fillRequest(req, fasthttp.MethodGet, probePrefix(version), o.ID, maxDeadline)
	p.monitor.Requested(plainService, time.Now())
	if err := exchange(conn, reader, req, resp, &o); err != nil {
		return false, err
	}
	o.Ended, o.Status = time.Now(), resp.StatusCode()
	if now, running := p.daemon.current(); running && now == incarnation {
		p.check(o, version)
	}
	return !resp.ConnectionClose(), nil
}

// check compares an answer with the versions that the daemon used before and should use.
// Only statuses 200 and 404 tell whether it uses a version.
func (p *prober) check(o Outcome, version int) {
	if p.incarnation != o.Incarnation {
		p.incarnation, p.newest = o.Incarnation, 0
	}
	uses, lacks := o.Status == fasthttp.StatusOK, o.Status == fasthttp.StatusNotFound
	settled := p.newest > 0 && o.Sent.Sub(p.seen) > rollbackSlack
	if uses && settled && version < p.newest {
		p.monitor.Broken("settings went back", o.ID, "%s used version %d after version %d", p.daemon.name, version, p.newest)
	}
	if lacks && settled && version == p.newest && version == p.monitor.newestVersion() {
		p.monitor.Broken("settings went back", o.ID, "%s no longer used version %d", p.daemon.name, version)
	}
	p.monitor.checkVersion(o, version, uses, lacks)
	if uses && version > p.newest {
		p.newest, p.seen = version, o.Ended
		p.monitor.Used(p.daemon.name, usedVersion{incarnation: o.Incarnation, version: version, seen: o.Ended})
	}
}

// checkVersion checks that a calm daemon does not use a version of the configuration long after
// the next one was written, and does not lack the newest one long after it was written.
func (m *Monitor) checkVersion(o Outcome, version int, uses, lacks bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	due, replaced := m.successor(version)
	if !replaced {
		due = m.newest()
	}
	old := uses && replaced || lacks && version == due.version
	late := o.Sent.Sub(due.at)
	if old && late > configApply && m.daemonCalm(o.Daemon, o.Sent, o.Ended) {
		m.breakPromise("stale settings", o.ID, "%s did not use version %d %v after it was written", o.Daemon, due.version, late.Round(time.Millisecond))
	}
}
