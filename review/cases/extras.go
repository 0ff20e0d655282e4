package main

import (
	"fmt"
	"net/http"
	"time"
)

// keyedService is the service whose keys the servers own.
const keyedService = "holdings"

// A small deployment with the servers and the traffic of both cases.
const (
	daemonCount   = 3
	serverCount   = 10
	faultyServers = 6 // of these, the largest share that the site has
	serverSlots   = 4
	serverWork    = 190 * time.Millisecond
	callsPerS     = 80
	uploadsPerS   = 100
	callDeadline  = 4 * time.Second
)

// playExtras plays traffic over a route of the given kind to the keyed service, whose busy
// keys change. Copies of some answers of the faulty servers follow late.
func (b *bench) playExtras(kind, method string, bodySize, perS int, playTime time.Duration, copies func(path string, status int) bool) error {
	r := route{Name: "r1", Prefix: "/r/", Type: kind, Service: keyedService, TimeoutS: 4, SloLatencyS: 0.6, Priority: 1, MaxAttempts: 2}
	s := service{Name: keyedService, HealthPath: "/healthz", MaxConnections: 121, Sharded: true, WarmS: 5}
	if err := b.configure(3, []service{s}, []route{r}); err != nil {
		return err
	}
	for i := range serverCount {
		o := targetOptions{id: fmt.Sprintf("i-%d", i+1), service: keyedService, keyed: true, slots: serverSlots, workTime: serverWork}
		if i < faultyServers {
			o.copies = copies
		}
		if _, err := b.addTarget(o); err != nil {
			return err
		}
	}
	if err := b.addDaemons(daemonCount); err != nil {
		return err
	}
	if err := b.awaitReady(); err != nil {
		return err
	}
	l := &load{bench: b, method: method, prefix: "/r/", keyed: true, perS: perS, deadline: callDeadline, bodySize: bodySize}
	l.run(playTime)
	b.record("%s", b.ledger.summary())
	for _, t := range b.targets {
		t.mu.Lock()
		b.record("%s: a copy followed %d of its %d answers", t.id, t.extras, t.answers)
		t.mu.Unlock()
	}
	return nil
}

// extraRejection: servers send the answer 421 to a request for a key that they don't hold
// yet, and late a copy of it. The daemon sends the request again meanwhile, as it may.
func extraRejection(b *bench, trouble bool) ([]string, error) {
	var copies func(string, int) bool
	if trouble {
		copies = func(_ string, status int) bool { return status == http.StatusMisdirectedRequest }
	}
	err := b.playExtras("upload", http.MethodPost, 20000, uploadsPerS, 105*time.Second, copies)
	return b.ledger.judgeAtMostOnce(), err
}

// extraRelease: servers answer the release of keys, and late send a copy of the answer.
func extraRelease(b *bench, trouble bool) ([]string, error) {
	var copies func(string, int) bool
	if trouble {
		copies = func(path string, _ int) bool { return path == "/-/release" }
	}
	err := b.playExtras("safe", http.MethodGet, 0, callsPerS, 60*time.Second, copies)
	return b.ledger.ownership, err
}
