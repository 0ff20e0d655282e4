package dispatcher

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/poison"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

const maxHeldBytes = 64 * 1024 // bodies up to this size are held, larger ones are streamed

// request is one request of an entry while the dispatcher works on it.
type request struct {
	dispatcher  *Dispatcher
	http        *fasthttp.RequestCtx
	conn        net.Conn
	work        *wire.Work
	server      *server
	rank        int
	arrived     time.Time
	body        []byte // the held body, when it is not streamed
	fingerprint poison.Fingerprint
	alone       bool
	waiter      Waiter

	// ctx ends at the request's deadline, or when its entry goes away.
	ctx         context.Context
	cancel      context.CancelCauseFunc
	endDeadline context.CancelFunc

	// The attempt at the server.
	attempt    context.Context
	ticket     *ownership.Ticket
	exchange   *httplink.Exchange
	answer     *fasthttp.Response
	began      time.Time
	unhook     func() bool
	endAttempt context.CancelFunc
	freeOnce   sync.Once
	tallied    func(refused bool) // counts the end of the request
	refused    bool
	streams    bool // the answer's body is read after the handler returned
}

// run takes the request from its arrival to the begin of its answer.
func (r *request) run() *reason.Error {
	if refusal := r.admit(); refusal != nil {
		return refusal
	}
	r.dispatcher.callers.add(r)
	if refusal := r.server.queue.Acquire(r); refusal != nil {
		return refusal
	}
	if refusal := r.send(); refusal != nil {
		return refusal
	}
	return r.pass()
}

// admit refuses what may not run at the server, before it waits.
func (r *request) admit() *reason.Error {
	d := r.dispatcher
	s, refusal := d.serverFor(r.work.Server)
	if refusal != nil {
		return refusal
	}
	r.server = s
	if refusal := d.gate.Check(r.work.Server, r.work.Shard, r.work.Epoch, r.arrived); refusal != nil {
		return refusal
	}
	if refusal := s.leaving(r.arrived); refusal != nil {
		return refusal
	}
	rank, known := s.config.Load().settings.RankIndex[r.work.Rank]
	if !known {
		return reason.New(reason.BadRequest, "dispatch", s.ref.String(), "no rank %q", r.work.Rank)
	}
	r.rank = rank
	s.load.count(r.work.Shard, r.work.Key)
	if refusal := r.readBody(); refusal != nil {
		return refusal
	}
	return r.judge()
}

// readBody holds a small body, so that it can be told from others.
func (r *request) readBody() *reason.Error {
	length := r.http.Request.Header.ContentLength()
	stream := r.http.RequestBodyStream()
	if stream == nil || length <= 0 || length > maxHeldBytes {
		return nil
	}
	r.body = make([]byte, length)
	if _, err := io.ReadFull(stream, r.body); err != nil {
		return reason.New(reason.ShortUpload, "dispatch", r.conn.RemoteAddr().String(), "%v", err)
	}
	return nil
}

// judge refuses a request that crashed servers, and lets a suspect run alone.
func (r *request) judge() *reason.Error {
	r.fingerprint = poison.NewFingerprint(r.http.Method(), r.http.RequestURI(), r.content())
	verdict := r.dispatcher.poison.Decide(r.fingerprint, r.arrived)
	r.alone = verdict == poison.Isolate || r.work.Death != ""
	switch verdict {
	case poison.Reject:
		return reason.New(reason.SuspectedCrash, "dispatch", r.server.ref.String(), "two servers crashed while the request ran; it is not run again")
	case poison.Hold:
		refusal := reason.New(reason.SuspectedCrash, "dispatch", r.server.ref.String(), "the request ran at two servers that crashed, beside others")
		refusal.RetryAfter = poison.HoldPeriod
		return refusal
	default:
		return nil
	}
}

// content is what tells a request from others of its method and path.
func (r *request) content() []byte {
	if r.body != nil {
		return r.body
	}
	if digest := r.http.Request.Header.Peek(wire.HeaderBodySHA256); len(digest) > 0 {
		return digest
	}
	return []byte(r.work.Idempotency)
}

// send passes the gate and sends the request to the server.
func (r *request) send() *reason.Error {
	r.began = time.Now()
	if refusal := r.begin(); refusal != nil {
		r.free(0)
		return refusal
	}
	r.server.add(r)
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	r.prepare(out)
	r.answer = fasthttp.AcquireResponse()
	exchange, failure := r.server.links.Do(r.attempt, out, r.answer)
	if failure != nil {
		refusal := r.failed(failure)
		if !failure.Sent {
			r.ticket.MarkAnswered()
		}
		r.free(r.spent(refusal))
		r.releaseAnswer()
		return refusal
	}
	r.exchange = exchange
	r.unhook = context.AfterFunc(r.attempt, r.expire)
	return nil
}

// begin passes the gate. The attempt ends at the earliest of the request's
// deadline, the bound of one attempt and, where a shard's owner must be the only
// one, the end of the permission.
func (r *request) begin() *reason.Error {
	pool := r.server.config.Load().pool
	until := earlier(r.work.Deadline, r.began.Add(pool.AttemptTimeout()))
	if permit := r.dispatcher.gate.Permit(r.work.Server); permit != nil && permit.Keyed {
		until = earlier(until, permit.Until)
	}
	bounded, cancel := context.WithDeadline(r.ctx, until)
	attempt, ticket, refusal := r.dispatcher.gate.Begin(bounded, r.work.Server, r.work.Shard, r.work.Epoch, r.began)
	if refusal != nil {
		cancel()
		return refusal
	}
	r.attempt, r.ticket, r.endAttempt = attempt, ticket, cancel
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// prepare copies the caller's request and adds what servers need.
func (r *request) prepare(out *fasthttp.Request) {
	r.http.Request.Header.CopyTo(&out.Header)
	deadline, _ := r.attempt.Deadline()
	out.Header.Set(wire.HeaderDispatcher, string(r.dispatcher.config.Name))
	out.Header.Set(wire.HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	out.Header.Del(wire.HeaderDeath)
	out.UseHostHeader = true
	stream := r.http.RequestBodyStream()
	length := r.http.Request.Header.ContentLength()
	if r.body != nil || stream == nil || length == 0 {
		out.SetBodyRaw(r.body)
		return
	}
	out.SetBodyStream(stream, length)
}

// spent returns the service time that a failed attempt shows, zero when it shows none.
func (r *request) spent(refusal *reason.Error) time.Duration {
	if refusal.Code != reason.ServerTimeout {
		return 0
	}
	return time.Since(r.began)
}

// expire frees what the request holds when its attempt ends before its answer
// was read, also while the entry does not take the answer.
func (r *request) expire() {
	r.exchange.Abort()
	r.free(0)
}

// free gives back slot and ticket.
func (r *request) free(service time.Duration) {
	r.freeOnce.Do(func() {
		r.server.remove(r)
		if r.ticket != nil {
			r.ticket.Done()
			r.endAttempt()
		}
		r.server.queue.Release(&r.waiter, service)
	})
}

// done ends an attempt whose answer was read to its end.
func (r *request) done() {
	r.unhook()
	_ = r.exchange.Close()
	r.ticket.MarkAnswered()
	r.free(time.Since(r.began))
	if r.alone {
		r.dispatcher.poison.Clear(r.fingerprint, poison.CrashID(r.work.Death), time.Now())
		r.trace("cleared", "the request completed alone")
	}
}

// abandon ends an attempt whose answer was not read to its end.
func (r *request) abandon() {
	r.unhook()
	_ = r.exchange.Close()
	r.free(0)
}

func (r *request) releaseAnswer() {
	fasthttp.ReleaseResponse(r.answer)
	r.answer = nil
}

// end frees what the request itself holds.
func (r *request) end() {
	r.tallied(r.refused)
	r.dispatcher.callers.remove(r)
	r.cancel(nil)
	r.endDeadline()
}

// ended tells why the request's own context ended.
func (r *request) ended(outcome reason.Outcome, step string) *reason.Error {
	code := reason.DeadlinePassed
	if errors.Is(context.Cause(r.ctx), errCallerGone) {
		code = reason.CallerGone
	}
	refusal := reason.New(code, step, r.work.Server.String(), "%v", context.Cause(r.ctx))
	refusal.Outcome = outcome
	return refusal
}

// trace keeps a step of the request for operators.
func (r *request) trace(step, detail string) {
	r.dispatcher.journal.Trace(journal.Step{
		Request: r.work.Request,
		Pool:    r.work.Server.Pool,
		Key:     r.work.Key,
		Step:    "dispatcher: " + step,
		Detail:  detail,
	})
}
