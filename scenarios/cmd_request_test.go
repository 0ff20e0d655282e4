package scenarios

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/model"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

func init() {
	commands["request"] = cmdRequest
	commands["load"] = cmdLoad
	commands["owner"] = cmdOwner
	commands["served"] = cmdServed
}

// observation is what the caller of one request saw.
type observation struct {
	Request        model.RequestID
	Idempotency    string
	Method         string
	Path           string
	Status         int
	Server         string
	Dispatcher     string
	Epoch          string
	Refusal        *reason.Error
	Err            error  // the caller got no response, or an incomplete one
	BodyProblem    string // why a response of status 200 is incomplete or belongs to another request; "" if it is correct
	Sent, Received time.Time
}

type requestOptions struct {
	To       string   `long:"to" default:"d1" description:"daemons, separated by commas"`
	Count    int      `long:"n" default:"1" description:"number of requests; {n} in the path is the number"`
	Parallel int      `long:"parallel" default:"1"`
	Status   string   `long:"status" default:"200" description:"wanted status, or any"`
	Reason   string   `long:"reason" description:"wanted reason"`
	Outcome  string   `long:"outcome" description:"wanted outcome"`
	Headers  []string `long:"header" description:"name=value"`
	Body     int      `long:"body" description:"size of the body in bytes"`
	Timeout  string   `long:"timeout" default:"30s"`
}

// callerClient sends the callers' requests. It never retries, so that each observation
// is of one request.
var callerClient = &fasthttp.Client{
	MaxIdemponentCallAttempts: 1,
	RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	MaxConnsPerHost:           4096,
}

// cmdRequest sends requests and checks what their callers see:
//
//	request [--to d1,d2] [--n N] [--parallel P] [--status S] [--reason R] [--outcome O] [--header n=v] [--body SIZE] METHOD PATH
func cmdRequest(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	var o requestOptions
	rest := parse(ts, &o, args)
	if len(rest) != 2 {
		ts.Fatalf("usage: request [options] METHOD PATH")
	}
	results := sc.sendAll(ts, &o, rest[0], rest[1])
	for _, obs := range results {
		if problem := o.problem(&obs); problem != "" {
			ts.Fatalf("%s %s: %s", obs.Method, obs.Path, problem)
		}
	}
}

// sendAll sends o.Count requests, o.Parallel at a time, to the daemons of o.To in turn.
func (sc *scenario) sendAll(ts *testscript.TestScript, o *requestOptions, method, path string) []observation {
	addresses := sc.callerAddresses(ts, o.To)
	results := make([]observation, o.Count)
	semaphore := make(chan struct{}, o.Parallel)
	var wg sync.WaitGroup
	for i := range o.Count {
		semaphore <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			results[i] = sc.send(o, addresses[i%len(addresses)], method, expandNumber(path, i))
		}()
	}
	wg.Wait()
	return results
}

// expandNumber replaces {n} in a text by a number.
func expandNumber(text string, number int) string {
	return strings.ReplaceAll(text, "{n}", strconv.Itoa(number))
}

// callerAddresses returns the caller addresses of daemons; names are separated by commas.
func (sc *scenario) callerAddresses(ts *testscript.TestScript, names string) []string {
	var addresses []string
	for _, name := range strings.Split(names, ",") {
		addresses = append(addresses, sc.daemon(ts, name).conf.CallerAddress)
	}
	return addresses
}

// problem tells how an observation differs from what the options want, or "".
func (o *requestOptions) problem(obs *observation) string {
	switch {
	case obs.BodyProblem != "":
		return obs.BodyProblem
	case o.Status == "any":
		return ""
	case obs.Err != nil:
		return obs.Err.Error()
	case strconv.Itoa(obs.Status) != o.Status:
		return fmt.Sprintf("status %d, want %s; refusal %v", obs.Status, o.Status, obs.Refusal)
	case o.Reason != "" && (obs.Refusal == nil || string(obs.Refusal.Code) != o.Reason):
		return fmt.Sprintf("refusal %v, want reason %s", obs.Refusal, o.Reason)
	case o.Outcome != "" && (obs.Refusal == nil || string(obs.Refusal.Outcome) != o.Outcome):
		return fmt.Sprintf("refusal %v, want outcome %s", obs.Refusal, o.Outcome)
	default:
		return ""
	}
}

// send sends one request and records what the caller saw.
func (sc *scenario) send(o *requestOptions, address, method, path string) observation {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(method)
	for _, header := range o.Headers {
		name, value, _ := strings.Cut(header, "=")
		request.Header.Set(name, value)
	}
	if o.Body > 0 {
		body := bytes.Repeat([]byte("u"), o.Body)
		request.SetBody(body)
		request.Header.Set(wire.HeaderBodySHA256, sha256Hex(body))
	}
	timeout, err := time.ParseDuration(o.Timeout)
	if err != nil {
		timeout = callTimeout
	}
	obs := observation{Method: method, Path: path, Idempotency: string(request.Header.Peek(wire.HeaderIdempotencyKey)), Sent: time.Now()}
	obs.Err = callerClient.DoTimeout(request, response, timeout)
	obs.Received = time.Now()
	if obs.Err == nil {
		obs.readResponse(response)
	}
	sc.mu.Lock()
	sc.observed = append(sc.observed, obs)
	sc.mu.Unlock()
	return obs
}

// readResponse fills in what the response tells. A refusal is recognized by its header.
func (obs *observation) readResponse(response *fasthttp.Response) {
	obs.Status = response.StatusCode()
	obs.Request = model.RequestID(response.Header.Peek(wire.HeaderRequestID))
	obs.Server = string(response.Header.Peek(wire.HeaderServer))
	obs.Dispatcher = string(response.Header.Peek(wire.HeaderDispatcher))
	obs.Epoch = string(response.Header.Peek(wire.HeaderEpoch))
	body := response.Body()
	if len(response.Header.Peek(wire.HeaderReason)) > 0 {
		obs.Refusal, obs.Err = reason.Parse(body)
		return
	}
	if obs.Status == fasthttp.StatusOK {
		obs.BodyProblem = checkBody(obs, response, body)
	}
}

// checkBody tells why a response is incomplete or belongs to another request, or "". The
// stand-in servers send the digest of the body in a header and begin the body with the
// request ID.
func checkBody(obs *observation, response *fasthttp.Response, body []byte) string {
	if want := string(response.Header.Peek(wire.HeaderBodySHA256)); want != sha256Hex(body) {
		return fmt.Sprintf("the response of %d bytes has another SHA-256 than the server sent", len(body))
	}
	if !bytes.HasPrefix(body, []byte("request="+string(obs.Request)+" ")) {
		return fmt.Sprintf("the response to request %s begins with %.60q", obs.Request, body)
	}
	return ""
}

func sha256Hex(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// cmdOwner sends requests for a key until one succeeds, and sets VAR to the server that
// responded and VAR_EPOCH to its epoch:
//
//	owner [--to d1] PATH VAR
func cmdOwner(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	var o requestOptions
	rest := parse(ts, &o, args)
	if len(rest) != 2 {
		ts.Fatalf("usage: owner [--to d1] PATH VAR")
	}
	var obs observation
	await(ts, awaitTimeout, "owner of "+rest[0], func() error {
		obs = sc.send(&o, sc.callerAddresses(ts, o.To)[0], fasthttp.MethodGet, rest[0])
		if problem := o.problem(&obs); problem != "" {
			return fmt.Errorf("%s", problem)
		}
		return nil
	})
	ts.Setenv(rest[1], obs.Server)
	ts.Setenv(rest[1]+"_EPOCH", obs.Epoch)
}

// cmdServed waits until each key gets a complete response at each entry:
//
//	served [--to d1,d2] [--n KEYS] PATH
func cmdServed(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	var o requestOptions
	rest := parse(ts, &o, args)
	if len(rest) != 1 {
		ts.Fatalf("usage: served [--to d1,d2] [--n KEYS] PATH")
	}
	for _, address := range sc.callerAddresses(ts, o.To) {
		for i := range o.Count {
			path := expandNumber(rest[0], i)
			await(ts, awaitTimeout, path+" served", func() error {
				obs := sc.send(&o, address, fasthttp.MethodGet, path)
				if problem := o.problem(&obs); problem != "" {
					return fmt.Errorf("%s", problem)
				}
				return nil
			})
		}
	}
}

// load sends requests in the background until it is stopped.
type load struct {
	cancel  context.CancelFunc
	senders sync.WaitGroup
}

func (l *load) stop() {
	l.cancel()
	l.senders.Wait()
}

type loadOptions struct {
	requestOptions
	Keys    int    `long:"keys" default:"50" description:"number of keys; {n} in the path"`
	Every   string `long:"every" default:"20ms" description:"period of each sender"`
	Senders int    `long:"senders" default:"4"`
}

// cmdLoad sends requests in the background; "check" asserts on what their callers saw:
//
//	load start NAME [--to d1,d2] [--keys N] [--every 20ms] [--senders N] [--header n=v] METHOD PATH
//	load stop NAME
//	load await N      waits until callers have got N responses of status 200
//
// {n} in path and headers is replaced by the number of the key, {id} by a text unique to
// each request.
func cmdLoad(sc *scenario, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: load start|stop NAME ... or load await N")
	}
	switch args[0] {
	case "stop":
		sc.loads[args[1]].stop()
		return
	case "await":
		least := intArg(ts, args, 1)
		await(ts, awaitTimeout, args[1]+" responses of status 200", func() error {
			if problem := sc.checkAnswered(least); problem != "" {
				return errors.New(problem)
			}
			return nil
		})
		return
	}
	var o loadOptions
	rest := parse(ts, &o, args[2:])
	if len(rest) != 2 {
		ts.Fatalf("usage: load start NAME [options] METHOD PATH")
	}
	every, err := time.ParseDuration(o.Every)
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	sc.loads[args[1]] = l
	addresses := sc.callerAddresses(ts, o.To)
	for sender := range o.Senders {
		l.senders.Add(1)
		go func() {
			defer l.senders.Done()
			sc.sendLoad(ctx, &o, addresses, every, sender, rest[0], rest[1])
		}()
	}
}

func (sc *scenario) sendLoad(ctx context.Context, o *loadOptions, addresses []string, every time.Duration, sender int, method, path string) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		key := (number*o.Senders + sender) % o.Keys
		id := fmt.Sprintf("%d-%d", sender, number)
		expand := func(text string) string { return strings.ReplaceAll(expandNumber(text, key), "{id}", id) }
		options := o.requestOptions
		options.Headers = nil
		for _, header := range o.Headers {
			options.Headers = append(options.Headers, expand(header))
		}
		sc.send(&options, addresses[(number+sender)%len(addresses)], method, expand(path))
	}
}
