package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a server.
const (
	beatPeriod = 870 * time.Millisecond  // between two reports to the store
	zoneDelay  = 1400 * time.Microsecond // one way, between the keeper's zone and the servers' one
	dialDelays = 3                       // one-way trips until the first call on a new connection arrives
	lastKey    = 65535
)

// target is one process of a server that follows the platform's pages.
type target struct {
	bench    *bench
	id       string
	service  string
	keyed    bool
	slots    int
	workTime time.Duration
	// bodyBytes is the size of an answer; 0 for a short text.
	bodyBytes int
	born      int64
	listener  net.Listener
	// copies says for which answers an extra copy follows late: at the point where the next
	// answer on the connection is expected. Nil for none.
	copies func(path string, status int) bool
	// crashes says which requests end the process when it begins them. Nil for none.
	crashes func(path string) bool

	mu           sync.Mutex
	up           bool
	state        string // as registered; empty for none
	sequence     int
	running      int
	runningByKey map[int]int
	grants       [lastKey + 1]grant
	conns        map[net.Conn]bool
	answers      int // sent
	extras       int // of these, those that a copy followed
}

// grant is what a server knows of one key.
type grant struct {
	fence    uint64 // highest seen
	released bool
	holdEnds time.Time // of the last grant, also after a release
}

func (g grant) holds(now time.Time) bool { return !g.released && now.Before(g.holdEnds) }

// targetOptions are the properties of a server.
type targetOptions struct {
	id, service string
	keyed       bool
	slots       int
	workTime    time.Duration
	copies      func(path string, status int) bool
	crashes     func(path string) bool
	bodyBytes   int // of an answer; 0 for a short text
}

// addTarget starts a server and registers it.
func (b *bench) addTarget(o targetOptions) (*target, error) {
	listener, err := net.Listen("tcp", b.freeAddress())
	if err != nil {
		return nil, err
	}
	t := &target{
		bench: b, id: o.id, service: o.service, keyed: o.keyed, slots: o.slots, workTime: o.workTime,
		copies: o.copies, crashes: o.crashes, bodyBytes: o.bodyBytes,
		born: time.Now().UnixMilli(), listener: listener, up: true, state: "ready", runningByKey: map[int]int{}, conns: map[net.Conn]bool{},
	}
	b.mu.Lock()
	b.targets = append(b.targets, t)
	b.mu.Unlock()
	b.record("%s: started at %s", t.id, listener.Addr())
	go t.accept()
	t.report()
	go t.reportLoop()
	return t, nil
}

// otherTargets returns all servers but one.
func (b *bench) otherTargets(t *target) []*target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var others []*target
	for _, other := range b.targets {
		if other != t {
			others = append(others, other)
		}
	}
	return others
}

func (t *target) reportLoop() {
	for t.isUp() {
		time.Sleep(beatPeriod)
		t.report()
	}
}

func (t *target) isUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.up
}

// report writes the server's entry to the store.
func (t *target) report() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up || t.state == "" {
		return
	}
	t.sequence++
	body, err := json.Marshal(map[string]any{
		"Service": t.service, "Address": t.listener.Addr().String(), "Zone": "zone-1", "Version": "v1", "Capacity": t.slots,
		"State": t.state, "WarmupLeftS": 0, "Sequence": t.sequence, "born": t.born,
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	t.bench.store.PutRow("servers", t.id, body)
}

// crash ends the server: its connections are reset.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.up = false
	_ = t.listener.Close()
	for conn := range t.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (t *target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.mu.Unlock()
		go t.serve(conn)
	}
}

// answer is what the server sends for one request.
type answer struct {
	status int
	header http.Header
	body   string
}

func (a answer) bytes() []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	_ = a.header.Write(&text) // a buffer takes all
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return text.Bytes()
}

// serve answers one request after the other.
func (t *target) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var late []byte // copy of the last answer
	trips := dialDelays
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		isKeepers := strings.HasPrefix(request.URL.Path, "/-/")
		if isKeepers {
			time.Sleep(time.Duration(trips) * zoneDelay)
		}
		trips = 1
		arrived := time.Now()
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			_, _ = conn.Write(late) // a failure shows at the next write
			late = nil
		}
		a := t.handle(request, body, arrived)
		a.header.Set("Chicorylug-Instance-Id", t.id)
		if id := request.Header.Get("Chicorylug-Attempt-Id"); id != "" {
			a.header.Set("Chicorylug-Attempt-Id", id)
		}
		if isKeepers {
			time.Sleep(zoneDelay)
		}
		if _, err := conn.Write(a.bytes()); err != nil {
			return
		}
		if t.chooseExtra(request.URL.Path, a.status) {
			late = a.bytes()
			t.bench.record("%s: an extra copy of its answer %d to %s %s will follow late", t.id, a.status, request.URL.Path, request.Header.Get("Chicorylug-Attempt-Id"))
		}
	}
}

// Bounds of the fault by which a copy of an answer follows late, as the site has them.
const (
	maxExtraShare = 0.03            // of the answers of each faulty server
	extraSpan     = 5 * time.Second // the fault lasts so long,
	extraPause    = 2 * time.Second // and so long it doesn't, by turns
)

// chooseExtra counts an answer and reports whether a copy of it follows late.
func (t *target) chooseExtra(path string, status int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers++
	now := time.Since(t.bench.started) % (extraSpan + extraPause)
	if t.copies == nil || now > extraSpan || !t.copies(path, status) || float64(t.extras+1) > maxExtraShare*float64(t.answers) {
		return false
	}
	t.extras++
	return true
}

func (t *target) handle(r *http.Request, body []byte, arrived time.Time) answer {
	a := answer{status: http.StatusOK, header: http.Header{}}
	expected := r.Header.Get("Chicorylug-Expected-Instance")
	switch {
	case expected != "" && expected != t.id:
		return refusal(http.StatusMisdirectedRequest)
	case r.URL.Path == "/healthz":
		return a
	case r.URL.Path == "/-/grant":
		return t.handleGrant(body, arrived)
	case r.URL.Path == "/-/release":
		return t.handleRelease(body)
	}
	return t.handleRequest(r, len(body))
}

// refusal says that the request was not run.
func refusal(status int) answer {
	return answer{status: status, header: http.Header{"Chicorylug-Not-Executed": {"1"}}}
}

// handleRequest runs a request if a slot is free and the server holds the request's key.
func (t *target) handleRequest(r *http.Request, length int) answer {
	id := r.Header.Get("Chicorylug-Attempt-Id")
	key, err := strconv.Atoi(r.Header.Get("Chicorylug-Shard-Key"))
	if err != nil {
		key = -1
	}
	t.mu.Lock()
	switch {
	case id == "":
		t.mu.Unlock()
		return refusal(http.StatusBadRequest)
	case t.keyed && (key < 0 || !t.grants[key].holds(time.Now())):
		t.mu.Unlock()
		t.bench.record("%s: 421 to %s, key %d", t.id, id, key)
		return refusal(http.StatusMisdirectedRequest)
	case t.running >= t.slots:
		t.mu.Unlock()
		t.bench.record("%s: 503 to %s", t.id, id)
		return refusal(http.StatusServiceUnavailable)
	}
	t.running++
	t.runningByKey[key]++
	load := fmt.Sprintf("%d,0,%d", t.running, t.slots)
	t.mu.Unlock()
	t.bench.ledger.runStarted(id, t.id)
	t.bench.record("%s: runs %s, key %d", t.id, id, key)
	if t.crashes != nil && t.crashes(r.URL.Path) {
		t.crash()
		t.bench.record("%s: %s ended the process", t.id, id)
	}
	time.Sleep(t.workTime)
	t.mu.Lock()
	t.running--
	t.runningByKey[key]--
	t.mu.Unlock()
	a := answer{status: http.StatusOK, header: http.Header{}, body: fmt.Sprintf("%s %s %s %d", t.id, r.Method, r.URL.Path, length)}
	if t.bodyBytes > 0 {
		a.body = strings.Repeat("x", t.bodyBytes)
	}
	a.header.Set("Chicorylug-Server-Signature", "signed."+id)
	a.header.Set("Chicorylug-Instance-Load", load)
	return a
}

// keyRange is the body of a grant or a release.
type keyRange struct {
	From, To int
	Fence    uint64 `json:"fence"`
	HoldS    float64
}

func (t *target) handleGrant(body []byte, arrived time.Time) answer {
	var g keyRange
	if json.Unmarshal(body, &g) != nil || g.From < 0 || g.To > lastKey || g.From > g.To {
		return refusal(http.StatusBadRequest)
	}
	until := arrived.Add(time.Duration(g.HoldS * float64(time.Second)))
	t.mu.Lock()
	isNew := false
	for key := g.From; key <= g.To; key++ {
		if t.grants[key].fence > g.Fence {
			t.mu.Unlock()
			return answer{status: http.StatusConflict, header: http.Header{}}
		}
	}
	for key := g.From; key <= g.To; key++ {
		isNew = isNew || !t.grants[key].holds(arrived)
		t.grants[key] = grant{fence: g.Fence, holdEnds: until}
	}
	t.mu.Unlock()
	if isNew {
		t.bench.record("%s: granted keys %d to %d, fence %d, for %.1f s", t.id, g.From, g.To, g.Fence, g.HoldS)
		t.bench.ledger.grantAccepted(t, g.From, g.To)
	}
	return answer{status: http.StatusOK, header: http.Header{}}
}

// handleRelease stops new work on the keys at once, and answers when the running work on
// them has ended.
func (t *target) handleRelease(body []byte) answer {
	var g keyRange
	if json.Unmarshal(body, &g) != nil || g.From < 0 || g.To > lastKey || g.From > g.To {
		return refusal(http.StatusBadRequest)
	}
	t.mu.Lock()
	for key := g.From; key <= g.To; key++ {
		t.grants[key].released = true
	}
	t.mu.Unlock()
	t.bench.record("%s: releases keys %d to %d, work on them running: %t", t.id, g.From, g.To, t.works(g.From, g.To))
	for t.works(g.From, g.To) {
		time.Sleep(time.Millisecond)
	}
	t.bench.record("%s: released keys %d to %d", t.id, g.From, g.To)
	a := answer{status: http.StatusOK, header: http.Header{}}
	a.header.Set("Chicorylug-Handover", fmt.Sprintf("%s-%d-%d", t.id, g.From, g.To))
	return a
}

// works reports whether a request runs on one of the keys.
func (t *target) works(from, to int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, count := range t.runningByKey {
		if key >= from && key <= to && count > 0 {
			return true
		}
	}
	return false
}
