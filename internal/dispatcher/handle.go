package dispatcher

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/journal"
	"github.com/chicorylug/chicorylug/internal/ownership"
	"github.com/chicorylug/chicorylug/internal/reason"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// handle serves one request of an entry.
func (d *Dispatcher) handle(ctx *fasthttp.RequestCtx) {
	work, err := wire.ReadWork(&ctx.Request.Header)
	if err != nil {
		d.refuse(ctx, nil, reason.New(reason.BadRequest, "dispatch", ctx.RemoteAddr().String(), "%v", err))
		return
	}
	if refusal := d.dispatch(ctx, work); refusal != nil {
		d.refuse(ctx, work, refusal)
	}
}

func (d *Dispatcher) refuse(ctx *fasthttp.RequestCtx, work *wire.Work, refusal *reason.Error) {
	d.metrics.Refused(refusal.Code)
	if work != nil {
		refusal.RequestID = work.Request
		d.trace(work, "refused", refusal.Error())
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(refusal.Code.Status())
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(wire.HeaderReason, string(refusal.Code))
	ctx.SetBody(refusal.JSON())
}

func (d *Dispatcher) trace(work *wire.Work, step, detail string) {
	d.journal.Trace(journal.Step{
		Request: work.Request,
		Pool:    work.Server.Pool,
		Key:     work.Key,
		Step:    "dispatcher: " + step,
		Detail:  detail,
	})
}

// dispatch queues the request, sends it and sets the answer to be streamed.
func (d *Dispatcher) dispatch(ctx *fasthttp.RequestCtx, work *wire.Work) *reason.Error {
	s, refusal := d.serverFor(work.Server)
	if refusal != nil {
		return refusal
	}
	if refusal := d.gate.Check(work.Server, work.Shard, work.Epoch, time.Now()); refusal != nil {
		return refusal
	}
	rank := d.directory.Load().Settings.RankIndex[work.Rank]
	if refusal := s.queue.Acquire(context.Background(), rank, work.Deadline); refusal != nil {
		return refusal
	}
	sent, refusal := d.send(ctx, s, work)
	if refusal != nil {
		s.queue.Release()
		return refusal
	}
	d.stream(ctx, s, work, sent)
	return nil
}

// sent is a request whose answer has begun.
type sent struct {
	exchange *httplink.Exchange
	answer   *fasthttp.Response
	ticket   *ownership.Ticket
	cancel   context.CancelFunc
}

func (s *sent) end() {
	_ = s.exchange.Close()
	s.ticket.Done()
	s.cancel()
	fasthttp.ReleaseResponse(s.answer)
}

func (d *Dispatcher) send(ctx *fasthttp.RequestCtx, s *server, work *wire.Work) (*sent, *reason.Error) {
	deadline := d.attemptDeadline(work, time.Now())
	attempt, cancel := context.WithDeadline(context.Background(), deadline)
	attempt, ticket, refusal := d.gate.Begin(attempt, work.Server, work.Shard, work.Epoch, time.Now())
	if refusal != nil {
		cancel()
		return nil, refusal
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	d.prepare(ctx, request, work, deadline)
	answer := fasthttp.AcquireResponse()
	exchange, failure := s.pool.Do(attempt, request, answer)
	result := &sent{exchange: exchange, answer: answer, ticket: ticket, cancel: cancel}
	if failure != nil {
		refusal := d.failed(attempt, s, work, failure)
		ticket.Done()
		cancel()
		fasthttp.ReleaseResponse(answer)
		return nil, refusal
	}
	d.answered(s, &answer.Header, "request answered")
	if refusal := notRun(work, answer); refusal != nil {
		result.end()
		return nil, refusal
	}
	return result, nil
}

// prepare copies the caller's request and adds what servers need.
func (d *Dispatcher) prepare(ctx *fasthttp.RequestCtx, request *fasthttp.Request, work *wire.Work, deadline time.Time) {
	ctx.Request.Header.CopyTo(&request.Header)
	request.Header.Set(wire.HeaderDispatcher, string(d.config.Name))
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	request.UseHostHeader = true
	if length := ctx.Request.Header.ContentLength(); length != 0 && ctx.RequestBodyStream() != nil {
		request.SetBodyStream(ctx.RequestBodyStream(), length)
	} else {
		request.SetBodyRaw(ctx.PostBody())
	}
}

// failed turns a failed exchange into a refusal and reports the server.
func (d *Dispatcher) failed(attempt context.Context, s *server, work *wire.Work, failure *httplink.Failure) *reason.Error {
	peer := work.Server.String()
	var abandoned *ownership.AbandonedError
	if errors.As(context.Cause(attempt), &abandoned) {
		return outcome(failure.Sent, reason.ServerLost, peer, abandoned.Error())
	}
	if errors.Is(context.Cause(attempt), context.DeadlineExceeded) {
		return outcome(failure.Sent, reason.DeadlinePassed, peer, failure.Error())
	}
	if errors.Is(failure, httplink.ErrPoolFull) {
		return reason.New(reason.QueueFull, "connect", peer, "%v", failure)
	}
	d.connectionFailed(s, failure)
	return outcome(failure.Sent, reason.ServerUnreachable, peer, failure.Error())
}

// connectionFailed reports a failed connection, or probes when a connection
// ended that had stood: a server also resets the requests that it gives up.
func (d *Dispatcher) connectionFailed(s *server, failure *httplink.Failure) {
	if failure.Stage == httplink.StageDial {
		d.unanswered(s, failure)
		return
	}
	d.startProbe(s)
}

func outcome(reached bool, code reason.Code, peer, message string) *reason.Error {
	if reached {
		return reason.NewUnknown(reason.ServerLost, "send", peer, "%s", message)
	}
	return reason.New(code, "send", peer, "%s", message)
}

// notRun reads the server's own word that it did not run the request.
func notRun(work *wire.Work, answer *fasthttp.Response) *reason.Error {
	if string(answer.Header.Peek(wire.HeaderNotRun)) != "1" {
		return nil
	}
	return reason.New(reason.ServerShed, "send", work.Server.String(), "the server did not run the request")
}

// stream sets the answer; the slot is released when its last byte was relayed.
func (d *Dispatcher) stream(ctx *fasthttp.RequestCtx, s *server, work *wire.Work, result *sent) {
	result.answer.Header.CopyTo(&ctx.Response.Header)
	ctx.Response.Header.Set(wire.HeaderServer, string(work.Server.Server))
	ctx.Response.Header.Set(wire.HeaderEpoch, strconv.FormatUint(uint64(work.Epoch), 10))
	ctx.Response.Header.Set(wire.HeaderDispatcher, string(d.config.Name))
	d.trace(work, "answered", "status "+strconv.Itoa(result.answer.StatusCode()))
	body := &relay{sent: result, queue: s.queue}
	ctx.Response.SetBodyStream(body, result.exchange.Length())
}

// relay reads an answer's body and frees what the request held when it is closed.
type relay struct {
	sent  *sent
	queue *Queue
	ended bool
}

// Read implements io.Reader.
func (r *relay) Read(p []byte) (int, error) { return r.sent.exchange.Read(p) }

// Close implements io.Closer.
func (r *relay) Close() error {
	if r.ended {
		return nil
	}
	r.ended = true
	if r.sent.exchange.Length() == 0 {
		r.sent.ticket.Answered()
	}
	r.sent.end()
	r.queue.Release()
	return nil
}
