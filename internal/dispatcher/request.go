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

const maxBufferedBytes = 64 * 1024 // bodies up to this size are buffered, larger ones are streamed

// request is the state of one request from an entry while the dispatcher handles it.
type request struct {
	dispatcher  *Dispatcher
	http        *fasthttp.RequestCtx
	conn        net.Conn
	work        *wire.Work // what the entry sent about the request, in headers
	server      *server
	rank        int // index of the rank; 0 is the most urgent
	arrived     time.Time
	body        []byte // the buffered body; nil when the body is empty or streamed
	fingerprint poison.Fingerprint
	alone       bool // suspected of crashing a server; runs while no other request does
	waiter      Waiter

	// ctx ends at the request's deadline, or when its entry closes the connection.
	ctx            context.Context
	cancel         context.CancelCauseFunc
	cancelDeadline context.CancelFunc

	// The fields below describe the attempt at the server.
	attempt       context.Context
	ticket        *ownership.Ticket  // nil until the gate admits the request
	exchange      *httplink.Exchange // source of the response body
	response      *fasthttp.Response
	began         time.Time   // start of the attempt
	stopAbortHook func() bool // keeps abortAttempt from being called when attempt ends
	cancelAttempt context.CancelFunc
	releaseOnce   sync.Once
	countEnd      func(refused bool) // counts the end of the request in the metrics
	refused       bool               // run returned a refusal
	streaming     bool               // the response body is streamed after the handler has returned
}

// run handles the request from its arrival until its response is buffered or
// begins to be streamed.
func (r *request) run() *reason.Error {
	if refusal := r.admit(); refusal != nil {
		return refusal
	}
	r.dispatcher.disconnects.add(r)
	if refusal := r.server.queue.Acquire(r); refusal != nil {
		return refusal
	}
	if refusal := r.send(); refusal != nil {
		return refusal
	}
	return r.forwardResponse()
}

// admit refuses a request that must not be sent to the server, before it is queued.
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
	if refusal := s.drainingRefusal(r.arrived); refusal != nil {
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
	return r.checkSuspected()
}

// readBody buffers a small body, so that it can be part of the request's fingerprint.
func (r *request) readBody() *reason.Error {
	length := r.http.Request.Header.ContentLength()
	stream := r.http.RequestBodyStream()
	if stream == nil || length <= 0 || length > maxBufferedBytes {
		return nil
	}
	r.body = make([]byte, length)
	if _, err := io.ReadFull(stream, r.body); err != nil {
		return reason.New(reason.ShortUpload, "dispatch", r.conn.RemoteAddr().String(), "%v", err)
	}
	return nil
}

// checkSuspected refuses a request that probably crashed two servers. A request that
// was in progress at one crash is only marked to run alone.
func (r *request) checkSuspected() *reason.Error {
	r.fingerprint = poison.NewFingerprint(r.http.Method(), r.http.RequestURI(), r.identity())
	decision := r.dispatcher.poison.Decide(r.fingerprint, r.arrived)
	r.alone = decision == poison.Isolate || r.work.CrashID != ""
	switch decision {
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

// identity returns bytes that distinguish the request from others with the same
// method and path: the buffered body, else the body's digest, else the idempotency key.
func (r *request) identity() []byte {
	if r.body != nil {
		return r.body
	}
	if digest := r.http.Request.Header.Peek(wire.HeaderBodySHA256); len(digest) > 0 {
		return digest
	}
	return []byte(r.work.IdempotencyKey)
}

// send sends the request to the server and receives the header of the response. The
// request holds a slot and releases it when send fails.
func (r *request) send() *reason.Error {
	r.began = time.Now()
	if refusal := r.beginAttempt(); refusal != nil {
		r.release(0)
		return refusal
	}
	r.server.addRunning(r)
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	r.prepare(out)
	r.response = fasthttp.AcquireResponse()
	exchange, failure := r.server.conns.Do(r.attempt, out, r.response)
	if failure != nil {
		refusal := r.refusalFor(failure)
		if !failure.Sent {
			r.ticket.MarkAnswered()
		}
		r.release(r.failedServiceTime(refusal))
		r.releaseResponse()
		return refusal
	}
	r.exchange = exchange
	r.stopAbortHook = context.AfterFunc(r.attempt, r.abortAttempt)
	return nil
}

// beginAttempt takes a ticket from the gate, which checks the permit. The attempt
// ends at the earliest of the request's deadline, the attempt timeout of the pool
// and, in a pool whose servers own keys exclusively, the end of the permit.
func (r *request) beginAttempt() *reason.Error {
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
	r.attempt, r.ticket, r.cancelAttempt = attempt, ticket, cancel
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// prepare copies the entry's request to out and sets the headers for the server.
func (r *request) prepare(out *fasthttp.Request) {
	r.http.Request.Header.CopyTo(&out.Header)
	deadline, _ := r.attempt.Deadline()
	out.Header.Set(wire.HeaderDispatcher, string(r.dispatcher.config.Name))
	out.Header.Set(wire.HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	out.Header.Del(wire.HeaderCrashID)
	out.UseHostHeader = true
	stream := r.http.RequestBodyStream()
	length := r.http.Request.Header.ContentLength()
	if r.body != nil || stream == nil || length == 0 {
		out.SetBodyRaw(r.body)
		return
	}
	out.SetBodyStream(stream, length)
}

// failedServiceTime returns the service time to count for a failed attempt: the time
// spent if the attempt timed out, otherwise zero for none.
func (r *request) failedServiceTime(refusal *reason.Error) time.Duration {
	if refusal.Code != reason.ServerTimeout {
		return 0
	}
	return time.Since(r.began)
}

// abortAttempt closes the connection and releases the slot when the attempt's
// context ends before the response was read completely, even while the entry does
// not read the response.
func (r *request) abortAttempt() {
	r.exchange.Abort()
	r.release(0)
}

// release releases the slot and the ticket. Only the first call has an effect.
func (r *request) release(serviceTime time.Duration) {
	r.releaseOnce.Do(func() {
		r.server.removeRunning(r)
		if r.ticket != nil {
			r.ticket.Done()
			r.cancelAttempt()
		}
		r.server.queue.Release(&r.waiter, serviceTime)
	})
}

// finishComplete ends an attempt whose response was read completely. A request that
// ran alone without crashing the server is cleared of suspicion.
func (r *request) finishComplete() {
	r.stopAbortHook()
	_ = r.exchange.Close()
	r.ticket.MarkAnswered()
	r.release(time.Since(r.began))
	if r.alone {
		r.dispatcher.poison.Clear(r.fingerprint, poison.CrashID(r.work.CrashID), time.Now())
		r.trace("cleared", "the request completed alone")
	}
}

// finishIncomplete ends an attempt whose response was not read completely.
func (r *request) finishIncomplete() {
	r.stopAbortHook()
	_ = r.exchange.Close()
	r.release(0)
}

func (r *request) releaseResponse() {
	fasthttp.ReleaseResponse(r.response)
	r.response = nil
}

// close releases what outlasts the attempt: the contexts and the disconnect watch.
func (r *request) close() {
	r.countEnd(r.refused)
	r.dispatcher.disconnects.remove(r)
	r.cancel(nil)
	r.cancelDeadline()
}

// contextRefusal returns the refusal for the end of r.ctx: the entry disconnected or
// the deadline passed.
func (r *request) contextRefusal(outcome reason.Outcome, step string) *reason.Error {
	code := reason.DeadlinePassed
	if errors.Is(context.Cause(r.ctx), errEntryDisconnected) {
		code = reason.CallerGone
	}
	refusal := reason.New(code, step, r.work.Server.String(), "%v", context.Cause(r.ctx))
	refusal.Outcome = outcome
	return refusal
}

// trace records a step of the request in the journal for operators.
func (r *request) trace(step, detail string) {
	r.dispatcher.journal.Trace(journal.Step{
		Request: r.work.Request,
		Pool:    r.work.Server.Pool,
		Key:     r.work.Key,
		Step:    "dispatcher: " + step,
		Detail:  detail,
	})
}
