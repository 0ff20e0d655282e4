package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// load sends requests to all daemons in turn, each on a new connection and without retries.
type load struct {
	bench    *bench
	method   string
	prefix   string
	phase    string // of the case; attempt ids begin with it
	keyed    bool
	perS     int
	deadline time.Duration
	bodySize int
	onSend   func(id string) // called before each request is sent; nil for none

	requests sync.WaitGroup
	sent     int
}

// run sends requests for a time and waits for all answers.
func (l *load) run(d time.Duration) {
	end := time.Now().Add(d)
	ticker := time.NewTicker(time.Second / time.Duration(l.perS))
	defer ticker.Stop()
	for time.Now().Before(end) {
		<-ticker.C
		l.sent++
		id := l.phase + newID()
		daemons := l.bench.inRotation()
		to := daemons[l.sent%len(daemons)]
		key := l.nextKey()
		l.requests.Go(func() { l.send(id, to, key) })
	}
	l.requests.Wait()
}

// Busy keys: a share of the requests is about a few neighbouring keys, which change.
const (
	busyShare  = 0.4
	busyKeys   = 60
	busyPeriod = 2500 * time.Millisecond
)

// nextKey returns the key of the next request.
func (l *load) nextKey() int {
	if rand.Float64() >= busyShare {
		return rand.IntN(lastKey + 1)
	}
	period := int(time.Since(l.bench.started) / busyPeriod)
	return period*7919%(lastKey-busyKeys) + rand.IntN(busyKeys)
}

// send sends one request and records its answer.
func (l *load) send(id string, to *daemon, key int) {
	request, err := http.NewRequest(l.method, "http://"+to.callers+l.prefix+id, bytes.NewReader(make([]byte, l.bodySize)))
	if err != nil {
		panic(err) // the address and the path are always valid
	}
	request.Host = callerHost
	request.Header.Set("Chicorylug-Attempt-Id", id)
	request.Header.Set("Chicorylug-Request-Deadline-Ms", strconv.FormatInt(l.deadline.Milliseconds(), 10))
	if l.keyed {
		request.Header.Set("Chicorylug-Shard-Key", strconv.Itoa(key))
	}
	client := http.Client{Timeout: l.deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	l.bench.record("caller: sends %s to %s, key %d", id, to.name, key)
	if l.onSend != nil {
		l.onSend(id)
	}
	response, err := client.Do(request)
	if err != nil {
		l.bench.ledger.answered(id, 0)
		l.bench.record("caller: %s ended without an answer: %v", id, err)
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close() // it has been read
	if err != nil {
		l.bench.ledger.answered(id, 0)
		l.bench.record("caller: %s ended within its answer: %v", id, err)
		return
	}
	l.bench.ledger.answered(id, response.StatusCode)
	l.bench.record("caller: %s answered %d", id, response.StatusCode)
}
