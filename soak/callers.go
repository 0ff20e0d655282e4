package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/standin/fenced"
)

// Load of the callers.
const (
	callerCount   = 40
	callerPause   = 60 * time.Millisecond // between two requests of a caller
	callTimeout   = 3 * time.Second
	minDeadline   = 300 * time.Millisecond // that requests state
	maxDeadline   = 2 * time.Second
	connectLimit  = time.Second
	keyCount      = 65536
	readShare     = 0.5
	sealShare     = 0.35
	maxBodyBytes  = 64 << 10
	maxQueryBytes = 3000 // the stand-in server reads 4096 bytes of headers
)

// caller sends requests one after the other. It keeps its connection until that ends.
type caller struct {
	name     string
	rng      *rand.Rand
	fleet    *Fleet
	monitor  *Monitor
	requests int
	daemon   *daemonProc // of the connection
	conn     net.Conn    // nil while there is none
	reader   *bufio.Reader
}

// call sends requests of all callers until ctx is done.
func call(ctx context.Context, f *Fleet, seed uint64) {
	var all sync.WaitGroup
	for i := range callerCount {
		c := &caller{name: fmt.Sprintf("c%d", i), rng: rand.New(rand.NewPCG(seed, uint64(i))), fleet: f, monitor: f.monitor}
		all.Go(func() { c.run(ctx) })
	}
	all.Wait()
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.monitor.Observe(c.request())
		time.Sleep(callerPause)
	}
	c.hangUp()
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close() // a lost connection is what callers report
		c.conn = nil
	}
}

// request sends one request of a random kind and returns its outcome.
func (c *caller) request() Outcome {
	c.requests++
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	o := Outcome{ID: fmt.Sprintf("%s-%d", c.name, c.requests)}
	o.AtMostOnce = c.fill(req, o.ID)
	if err := c.connect(); err != nil {
		o.Daemon, o.Sent, o.Ended, o.Result = c.daemon.name, time.Now(), time.Now(), NoConn
		return o
	}
	o.Daemon = c.daemon.name
	o.Incarnation, _ = c.daemon.current()
	c.monitor.Requested(requestedService(req), time.Now())
	err := exchange(c.conn, c.reader, req, resp, &o)
	o.Ended = time.Now()
	if err != nil {
		c.hangUp()
		o.Result = Closed
		if errors.Is(err, os.ErrDeadlineExceeded) {
			o.Result = GaveUp
		}
		return o
	}
	o.Status, o.Result = resp.StatusCode(), resultOf(resp.StatusCode())
	if o.Result == Served {
		o.Server, err = checkAnswer(req, resp)
		if err != nil {
			c.monitor.Broken("own answer", o.ID, "%s: %v", o.Daemon, err)
		}
	}
	if resp.ConnectionClose() {
		c.hangUp()
	}
	return o
}

// connect connects to a random daemon unless there is a connection.
func (c *caller) connect() error {
	if c.conn != nil {
		return nil
	}
	c.daemon = c.fleet.daemons[c.rng.IntN(len(c.fleet.daemons))]
	conn, err := net.DialTimeout("tcp", c.daemon.toCallers.address, connectLimit)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// fill makes a request of a random kind and reports whether it may run at most once.
func (c *caller) fill(req *fasthttp.Request, id string) (atMostOnce bool) {
	filler := strings.Repeat("q", c.rng.IntN(maxQueryBytes))
	deadline := randomDuration(c.rng, minDeadline, maxDeadline)
	switch kind := c.rng.Float64(); {
	case kind < readShare:
		fillRequest(req, fasthttp.MethodGet, readPrefix+"x?"+id+filler, id, deadline)
		req.Header.Set(fenced.HeaderKey, strconv.Itoa(c.rng.IntN(keyCount)))
		return false
	case kind < readShare+sealShare:
		fillRequest(req, fasthttp.MethodPost, "/seal/x?"+id+filler, id, deadline)
		req.SetBodyString("order")
	default:
		fillRequest(req, fasthttp.MethodPost, "/plan/x?"+id, id, deadline)
		req.SetBodyString(strings.Repeat("p", c.rng.IntN(maxBodyBytes)))
	}
	return true
}

// requestedService returns the service that the configuration's route of a request leads to.
func requestedService(req *fasthttp.Request) string {
	if bytes.HasPrefix(req.RequestURI(), []byte(readPrefix)) {
		return keyedService
	}
	return plainService
}

func fillRequest(req *fasthttp.Request, method, path, id string, deadline time.Duration) {
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.UseHostHeader = true
	req.Header.SetHost(routeHost)
	req.Header.Set(fenced.HeaderAttemptID, id)
	req.Header.Set(fenced.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
}

// exchange sends a request on a connection and reads the answer. It sets the time of
// sending in o, which is the time of the last byte.
func exchange(conn net.Conn, reader *bufio.Reader, req *fasthttp.Request, resp *fasthttp.Response, o *Outcome) error {
	o.Sent = time.Now()
	if err := conn.SetDeadline(o.Sent.Add(callTimeout)); err != nil {
		return err
	}
	writer := bufio.NewWriter(conn)
	if err := req.Write(writer); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	o.Sent = time.Now()
	return resp.Read(reader)
}

// unframedSignature is the signature of the stand-in's answers without a length.
const unframedSignature = "x"

// checkAnswer checks that a successful answer is the whole one to this request, and
// returns the server that made it.
func checkAnswer(req *fasthttp.Request, resp *fasthttp.Response) (server string, err error) {
	server, _, _ = strings.Cut(string(resp.Body()), " ")
	want := fmt.Sprintf("%s %s %s %d", server, req.Header.Method(), req.Header.RequestURI(), len(req.Body()))
	if got := string(resp.Body()); got != want {
		return server, errors.Errorf("body is %.100q, want %.100q (%d and %d bytes)", got, want, len(got), len(want))
	}
	signature := string(resp.Header.Peek(fenced.HeaderSignature))
	if signature != "signed."+server && signature != unframedSignature {
		return server, errors.Errorf("signature %q of server %s", signature, server)
	}
	if id := string(resp.Header.Peek(fenced.HeaderAttemptID)); id != string(req.Header.Peek(fenced.HeaderAttemptID)) {
		return server, errors.Errorf("attempt ID %q", id)
	}
	return server, nil
}
