package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/chicorylug/chicorylug/internal/httplink"
	"github.com/chicorylug/chicorylug/internal/kernel"
	"github.com/chicorylug/chicorylug/internal/wire"
)

// Bounds of a dispatcher's silence.
const (
	lookPeriod  = 100 * time.Millisecond // time between two looks at the dispatchers
	silentAfter = 250 * time.Millisecond // silence after which a dispatcher that owes answers is asked
	askTimeout  = 250 * time.Millisecond // bound of one question
	silentAsks  = 2                      // questions in a row without an answer that make it silent
)

// errSilent says that a dispatcher answers neither requests nor questions.
var errSilent = errors.New("the dispatcher does not answer")

// peers watches the dispatchers that owe answers. One that is paused or cut off
// keeps its connections open, so that only a question tells it from a slow one.
type peers struct {
	background kernel.Background
	byAddress  *lazyMap[string, *peer]
}

// peer is one dispatcher as this entry sees it.
type peer struct {
	asks   *httplink.Pool
	heard  atomic.Int64 // Unix nanoseconds of the last answer
	silent atomic.Bool
	asking atomic.Bool
	failed int // questions in a row without an answer; used while asking

	mu      sync.Mutex
	waiting map[*waiter]struct{}
}

// waiter is a request whose answer has not begun.
type waiter struct {
	peer *peer
	// giveUp ends the attempt; nil for a request that may not be sent again.
	giveUp context.CancelCauseFunc
}

func newPeers(dial httplink.Dial) *peers {
	return &peers{byAddress: newLazyMap(func(address string) *peer {
		return &peer{asks: httplink.NewPool(address, 1, dial), waiting: map[*waiter]struct{}{}}
	})}
}

// start looks at the dispatchers until stop.
func (p *peers) start() { p.background.Go(p.run) }

func (p *peers) stop() { p.background.Stop() }

func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.look(ctx, now)
		}
	}
}

func (p *peers) look(ctx context.Context, now time.Time) {
	p.byAddress.each(func(one *peer) {
		if one.due(now) && one.asking.CompareAndSwap(false, true) {
			go one.ask(ctx)
		}
	})
}

// of returns the watch of a dispatcher.
func (p *peers) of(address string) *peer { return p.byAddress.of(address) }

// begin notes an attempt. Its context ends with errSilent when the dispatcher
// turns out to be silent, unless the request may not be sent again.
func (p *peer) begin(ctx context.Context, repeatable bool) (context.Context, *waiter) {
	w := &waiter{peer: p}
	if repeatable {
		ctx, w.giveUp = context.WithCancelCause(ctx)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[w] = struct{}{}
	return ctx, w
}

// end notes that the attempt failed or that its answer has begun.
func (w *waiter) end(answered bool) {
	w.peer.mu.Lock()
	delete(w.peer.waiting, w)
	w.peer.mu.Unlock()
	if answered {
		w.peer.heard.Store(time.Now().UnixNano())
	} else if w.giveUp != nil {
		w.giveUp(nil)
	}
}

// due reports that the dispatcher owes answers, or was silent, and has not
// answered for a while.
func (p *peer) due(now time.Time) bool {
	if now.Sub(time.Unix(0, p.heard.Load())) < silentAfter {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) > 0 || p.silent.Load()
}

// ask puts one question. A refused connection is no silence: the attempts of a
// process that is gone end by themselves.
func (p *peer) ask(ctx context.Context) {
	defer p.asking.Store(false)
	failure := p.question(ctx)
	if failure == nil || errors.Is(failure, syscall.ECONNREFUSED) {
		p.failed = 0
		p.silent.Store(false)
		p.heard.Store(time.Now().UnixNano())
		return
	}
	p.failed++
	if p.failed >= silentAsks {
		p.silent.Store(true)
		p.giveUp()
	}
}

func (p *peer) question(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	answer := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI(wire.PathHealth)
	request.Header.SetHost("dispatcher")
	exchange, failure := p.asks.Do(ctx, request, answer)
	if failure != nil {
		return failure
	}
	return exchange.Close()
}

// giveUp ends the attempts that wait for the dispatcher and may be sent again.
func (p *peer) giveUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for w := range p.waiting {
		if w.giveUp != nil {
			w.giveUp(errSilent)
		}
	}
}
