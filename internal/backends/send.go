package backends

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/catalog"
	"github.com/chicorylug/chicorylug/internal/dialect"
	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/model"
)

const (
	maxAnswerBytes = 16 << 20              // an answer is held whole up to this size
	answerSlack    = 10 * time.Millisecond // time kept back for the way of the answer
)

// Ran says whether an attempt ran at its server.
type Ran int

// What is known of an attempt.
const (
	// RanNot: no byte reached the server, or the server said that it did not run it.
	RanNot Ran = iota
	// RanMaybe: the request was sent and no answer of its own came.
	RanMaybe
	// RanYes: the server answered it.
	RanYes
)

// Attempt is a request on its way to one server.
type Attempt struct {
	ID      model.RequestID
	Server  *catalog.Server
	Keyed   bool
	Request *fasthttp.Request
	// Until is the moment by which the answer is wanted.
	Until time.Time
}

// Result is the outcome of one attempt.
type Result struct {
	Ran Ran
	// Answer is the server's whole answer; it is nil unless Ran is RanYes.
	Answer *fasthttp.Response
	// Misdirected says that the server does not own the key or is another one.
	Misdirected bool
	// Arrived says that the server saw the request, run or not.
	Arrived bool
	// Why tells what went wrong; nil when the answer is the server's own.
	Why  error
	Took time.Duration
}

// Errors of answers.
var (
	errOtherRequest = errors.New("the answer is for another request")
	errUnsigned     = errors.New("the answer bears no signature")
	errEncoded      = errors.New("the answer is encoded")
	errLarge        = errors.New("the answer is too large")
	errNotRun       = errors.New("the server did not run the request")
)

// Send sends a request to a server once and reads the whole answer.
func (b *Backends) Send(ctx context.Context, a *Attempt) Result {
	l := b.link(a.Server)
	began := time.Now()
	b.dialect.WriteServerRequest(&a.Request.Header, time.Until(a.Until)-answerSlack, a.Server.ID)
	l.state.began()
	defer l.state.ended()
	answer := fasthttp.AcquireResponse()
	result := b.exchange(ctx, l, a, answer)
	result.Took = time.Since(began)
	b.note(l, a, &result, ctx.Err() != nil)
	if result.Answer == nil {
		fasthttp.ReleaseResponse(answer)
	}
	return result
}

func (b *Backends) exchange(ctx context.Context, l *link, a *Attempt, answer *fasthttp.Response) Result {
	exchange, failure := l.pool.Do(ctx, a.Request, answer)
	if failure != nil {
		if failure.Sent {
			return Result{Ran: RanMaybe, Arrived: true, Why: failure}
		}
		return Result{Ran: RanNot, Why: failure}
	}
	defer exchange.Close()
	said := b.dialect.ReadServerResponse(answer)
	if said.ID != "" && said.ID != a.ID {
		exchange.Abort()
		return Result{Ran: RanMaybe, Arrived: true, Why: errOtherRequest}
	}
	body, err := readAll(exchange)
	if err != nil {
		exchange.Abort()
		return Result{Ran: RanMaybe, Arrived: true, Why: err}
	}
	if said.HasLoad {
		l.state.reported(said.Load, time.Now())
	}
	if said.IdleTimeout > 0 {
		l.pool.SetIdleLimit(said.IdleTimeout)
	}
	answer.SetBodyRaw(body)
	return b.judge(answer, said)
}

// judge tells what a whole answer means.
func (b *Backends) judge(answer *fasthttp.Response, said dialect.ServerResponse) Result {
	switch {
	case said.Misdirected:
		return Result{Ran: RanNot, Arrived: true, Misdirected: true, Why: errNotRun}
	case said.NotRun:
		return Result{Ran: RanNot, Arrived: true, Why: errNotRun}
	case !said.Signed:
		return Result{Ran: RanMaybe, Arrived: true, Why: errUnsigned}
	case len(answer.Header.ContentEncoding()) > 0:
		return Result{Ran: RanMaybe, Arrived: true, Why: errEncoded}
	default:
		return Result{Ran: RanYes, Arrived: true, Answer: answer}
	}
}

func readAll(exchange *httplink.Exchange) ([]byte, error) {
	if length := exchange.Length(); length > maxAnswerBytes {
		return nil, errLarge
	}
	var body bytes.Buffer
	if length := exchange.Length(); length > 0 {
		body.Grow(length + bytes.MinRead)
	}
	read, err := io.Copy(&body, io.LimitReader(exchange, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if read > maxAnswerBytes {
		return nil, errLarge
	}
	return body.Bytes(), nil
}

// note learns from the outcome of an attempt.
func (b *Backends) note(l *link, a *Attempt, r *Result, gaveUp bool) {
	now := time.Now()
	l.state.mu.Lock()
	load := l.state.load
	l.state.mu.Unlock()
	switch {
	case r.Ran == RanYes:
		took := time.Duration(-1)
		if load.Waiting == 0 && load.Running <= a.Server.Slots {
			took = r.Took
			l.state.served(took)
		}
		b.stats.sized(a.Server.Service, len(r.Answer.Body()))
		l.state.outcome(r.Answer.StatusCode() >= fasthttp.StatusInternalServerError, now)
		b.stats.answered(a.Server.Service, a.Server.ID, a.Keyed, took, load.Running+load.Waiting)
	case r.Misdirected:
	case r.Ran == RanNot && r.Arrived:
		l.state.passOver(now, shedEjection)
		if a.Keyed {
			b.stats.shed(a.Server.Service, a.Server.ID, load.Running+load.Waiting)
		}
	case r.Ran == RanNot && errors.Is(r.Why, httplink.ErrPoolFull):
	case r.Ran == RanNot:
		l.state.outcome(true, now)
		l.state.passOver(now, refusedAgain)
	case gaveUp && now.Before(a.Until):
		// The caller left: the server is not to blame.
	default:
		l.state.outcome(true, now)
		l.state.passOver(now, silentEjection)
	}
}
