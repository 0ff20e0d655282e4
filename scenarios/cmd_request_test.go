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

// observation is what a caller saw of one request.
type observation struct {
	Request     model.RequestID
	Idempotency string
	Method      string
	Path        string
	Status      int
	Server      string
	Dispatcher  string
	Epoch       string
	Refusal     *reason.Error
	Err         error  // the caller got no answer, or a cut one
	Fault       string // why an answer of status 200 is not whole or not the caller's own
	Sent, Got   time.Time
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

var callers = &fasthttp.Client{
	MaxIdemponentCallAttempts: 1,
	RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	MaxConnsPerHost:           4096,
}

// cmdRequest sends requests and checks what the caller sees:
//
//	request [--to d1,d2] [--n N] [--parallel P] [--status S] [--reason R] [--outcome O] [--header n=v] [--body SIZE] METHOD PATH
func cmdRequest(w *world, ts *testscript.TestScript, _ bool, args []string) {
	var o requestOptions
	rest := parse(ts, &o, args)
	if len(rest) != 2 {
		ts.Fatalf("usage: request [options] METHOD PATH")
	}
	results := w.sendAll(ts, &o, rest[0], rest[1])
	for _, seen := range results {
		if problem := o.problem(&seen); problem != "" {
			ts.Fatalf("%s %s: %s", seen.Method, seen.Path, problem)
		}
	}
}

func (w *world) sendAll(ts *testscript.TestScript, o *requestOptions, method, path string) []observation {
	entries := w.entries(ts, o.To)
	results := make([]observation, o.Count)
	limit := make(chan struct{}, o.Parallel)
	var all sync.WaitGroup
	for i := range o.Count {
		limit <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			defer func() { <-limit }()
			results[i] = w.send(o, entries[i%len(entries)], method, numbered(path, i))
		}()
	}
	all.Wait()
	return results
}

func numbered(text string, number int) string {
	return strings.ReplaceAll(text, "{n}", strconv.Itoa(number))
}

func (w *world) entries(ts *testscript.TestScript, names string) []string {
	var addresses []string
	for _, name := range strings.Split(names, ",") {
		addresses = append(addresses, w.daemon(ts, name).conf.CallerAddress)
	}
	return addresses
}

func (o *requestOptions) problem(seen *observation) string {
	switch {
	case seen.Fault != "":
		return seen.Fault
	case o.Status == "any":
		return ""
	case seen.Err != nil:
		return seen.Err.Error()
	case strconv.Itoa(seen.Status) != o.Status:
		return fmt.Sprintf("status %d, want %s: %v", seen.Status, o.Status, seen.Refusal)
	case o.Reason != "" && (seen.Refusal == nil || string(seen.Refusal.Code) != o.Reason):
		return fmt.Sprintf("refusal %v, want reason %s", seen.Refusal, o.Reason)
	case o.Outcome != "" && (seen.Refusal == nil || string(seen.Refusal.Outcome) != o.Outcome):
		return fmt.Sprintf("refusal %v, want outcome %s", seen.Refusal, o.Outcome)
	default:
		return ""
	}
}

// send sends one request and records what the caller saw.
func (w *world) send(o *requestOptions, entry, method, path string) observation {
	request := fasthttp.AcquireRequest()
	answer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI("http://" + entry + path)
	request.Header.SetMethod(method)
	for _, header := range o.Headers {
		name, value, _ := strings.Cut(header, "=")
		request.Header.Set(name, value)
	}
	if o.Body > 0 {
		body := bytes.Repeat([]byte("u"), o.Body)
		request.SetBody(body)
		request.Header.Set(wire.HeaderBodySHA256, digest(body))
	}
	timeout, err := time.ParseDuration(o.Timeout)
	if err != nil {
		timeout = callTimeout
	}
	seen := observation{Method: method, Path: path, Idempotency: string(request.Header.Peek(wire.HeaderIdempotencyKey)), Sent: time.Now()}
	seen.Err = callers.DoTimeout(request, answer, timeout)
	seen.Got = time.Now()
	if seen.Err == nil {
		seen.read(answer)
	}
	w.mu.Lock()
	w.observed = append(w.observed, seen)
	w.mu.Unlock()
	return seen
}

func (seen *observation) read(answer *fasthttp.Response) {
	seen.Status = answer.StatusCode()
	seen.Request = model.RequestID(answer.Header.Peek(wire.HeaderRequestID))
	seen.Server = string(answer.Header.Peek(wire.HeaderServer))
	seen.Dispatcher = string(answer.Header.Peek(wire.HeaderDispatcher))
	seen.Epoch = string(answer.Header.Peek(wire.HeaderEpoch))
	body := answer.Body()
	if len(answer.Header.Peek(wire.HeaderReason)) > 0 {
		seen.Refusal, seen.Err = reason.Parse(body)
		return
	}
	if seen.Status == fasthttp.StatusOK {
		seen.Fault = fault(seen, answer, body)
	}
}

// fault tells why an answer is not whole or not the caller's own, or "".
func fault(seen *observation, answer *fasthttp.Response, body []byte) string {
	if want := string(answer.Header.Peek(wire.HeaderBodySHA256)); want != digest(body) {
		return fmt.Sprintf("the answer of %d bytes has another digest than the server's", len(body))
	}
	if !bytes.HasPrefix(body, []byte("request="+string(seen.Request)+" ")) {
		return fmt.Sprintf("the answer to request %s begins with %.60q", seen.Request, body)
	}
	return ""
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// cmdOwner asks for a key and sets VAR to the owning server and VAR_EPOCH to its epoch:
//
//	owner [--to d1] PATH VAR
func cmdOwner(w *world, ts *testscript.TestScript, _ bool, args []string) {
	var o requestOptions
	rest := parse(ts, &o, args)
	if len(rest) != 2 {
		ts.Fatalf("usage: owner [--to d1] PATH VAR")
	}
	var seen observation
	await(ts, awaitTimeout, "owner of "+rest[0], func() error {
		seen = w.send(&o, w.entries(ts, o.To)[0], fasthttp.MethodGet, rest[0])
		if problem := o.problem(&seen); problem != "" {
			return fmt.Errorf("%s", problem)
		}
		return nil
	})
	ts.Setenv(rest[1], seen.Server)
	ts.Setenv(rest[1]+"_EPOCH", seen.Epoch)
}

// cmdServed waits until each key is answered whole at each entry:
//
//	served [--to d1,d2] [--n KEYS] PATH
func cmdServed(w *world, ts *testscript.TestScript, _ bool, args []string) {
	var o requestOptions
	rest := parse(ts, &o, args)
	if len(rest) != 1 {
		ts.Fatalf("usage: served [--to d1,d2] [--n KEYS] PATH")
	}
	for _, entry := range w.entries(ts, o.To) {
		for i := range o.Count {
			path := numbered(rest[0], i)
			await(ts, awaitTimeout, path+" served", func() error {
				seen := w.send(&o, entry, fasthttp.MethodGet, path)
				if problem := o.problem(&seen); problem != "" {
					return fmt.Errorf("%s", problem)
				}
				return nil
			})
		}
	}
}

// load sends requests in the background until it is stopped.
type load struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func (l *load) stop() {
	l.cancel()
	l.done.Wait()
}

type loadOptions struct {
	requestOptions
	Keys    int    `long:"keys" default:"50" description:"number of keys; {n} in the path"`
	Every   string `long:"every" default:"20ms" description:"period of each sender"`
	Senders int    `long:"senders" default:"4"`
}

// cmdLoad sends requests in the background; what callers see is checked by "check":
//
//	load start NAME [--to d1,d2] [--keys N] [--every 20ms] [--senders N] [--header n=v] METHOD PATH
//	load stop NAME
//
// {n} in path and headers is the key, {id} is unique to each request.
func cmdLoad(w *world, ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: load start|stop NAME ... or load await N")
	}
	switch args[0] {
	case "stop":
		w.loads[args[1]].stop()
		return
	case "await":
		// Goes on with the load until callers have got N answers of status 200.
		least := number(ts, args, 1)
		await(ts, awaitTimeout, "answers", func() error {
			if problem := w.fewAnswers(least); problem != "" {
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
	w.loads[args[1]] = l
	entries := w.entries(ts, o.To)
	for sender := range o.Senders {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			w.sendLoad(ctx, &o, entries, every, sender, rest[0], rest[1])
		}()
	}
}

func (w *world) sendLoad(ctx context.Context, o *loadOptions, entries []string, every time.Duration, sender int, method, path string) {
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
		fill := func(text string) string { return strings.ReplaceAll(numbered(text, key), "{id}", id) }
		one := o.requestOptions
		one.Headers = nil
		for _, header := range o.Headers {
			one.Headers = append(one.Headers, fill(header))
		}
		w.send(&one, entries[(number+sender)%len(entries)], method, fill(path))
	}
}
