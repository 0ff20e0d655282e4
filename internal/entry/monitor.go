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

// Times and limits for detecting an unresponsive dispatcher.
const (
	checkPeriod             = 100 * time.Millisecond // time between two checks of all dispatchers
	probeAfter              = 250 * time.Millisecond // time without a response after which a dispatcher with pending attempts is probed
	probeTimeout            = 250 * time.Millisecond // limit for one probe
	unresponsiveAfterProbes = 2                      // failed probes in a row after which a dispatcher is unresponsive
)

// errUnresponsive says that a dispatcher answers neither requests nor probes.
var errUnresponsive = errors.New("the dispatcher answers neither requests nor health probes")

// dispatcherMonitors detects unresponsive dispatchers among those with pending
// attempts. The connections to a dispatcher whose process is paused, or which a
// network partition separates from this daemon, stay open: only a health probe
// distinguishes it from a slow one.
type dispatcherMonitors struct {
	background kernel.Background
	byAddress  *lazyMap[string, *dispatcherMonitor]
}

// dispatcherMonitor is the state of one dispatcher as seen by this entry.
type dispatcherMonitor struct {
	probes       *httplink.Pool // connection for probes
	lastResponse atomic.Int64   // Unix nanoseconds of the last response, or of the last probe that did not fail
	unresponsive atomic.Bool    // the last unresponsiveAfterProbes probes failed
	probing      atomic.Bool    // a probe is in progress
	failedProbes int            // failed probes in a row; accessed only while probing is set

	mu      sync.Mutex
	pending map[*pendingAttempt]struct{}
}

// pendingAttempt is an attempt for which no response has been received yet.
type pendingAttempt struct {
	monitor *dispatcherMonitor
	// cancel ends the attempt's context. It is nil for a request that may not be
	// sent again.
	cancel context.CancelCauseFunc
}

func newDispatcherMonitors(dial httplink.Dial) *dispatcherMonitors {
	return &dispatcherMonitors{byAddress: newLazyMap(func(address string) *dispatcherMonitor {
		return &dispatcherMonitor{probes: httplink.NewPool(address, 1, dial), pending: map[*pendingAttempt]struct{}{}}
	})}
}

// start checks the dispatchers every checkPeriod until stop is called.
func (d *dispatcherMonitors) start() { d.background.Go(d.run) }

func (d *dispatcherMonitors) stop() { d.background.Stop() }

func (d *dispatcherMonitors) run(ctx context.Context) {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.probeDue(ctx, now)
		}
	}
}

// probeDue starts probes of the dispatchers that need one.
func (d *dispatcherMonitors) probeDue(ctx context.Context, now time.Time) {
	d.byAddress.each(func(m *dispatcherMonitor) {
		if m.needsProbe(now) && m.probing.CompareAndSwap(false, true) {
			go m.probe(ctx)
		}
	})
}

// get returns the monitor of the dispatcher at an address (host:port).
func (d *dispatcherMonitors) get(address string) *dispatcherMonitor { return d.byAddress.get(address) }

// begin registers an attempt. If the request is resendable, the returned context is
// cancelled with the cause errUnresponsive when the dispatcher is found unresponsive.
func (m *dispatcherMonitor) begin(ctx context.Context, resendable bool) (context.Context, *pendingAttempt) {
	a := &pendingAttempt{monitor: m}
	if resendable {
		ctx, a.cancel = context.WithCancelCause(ctx)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending[a] = struct{}{}
	return ctx, a
}

// end removes the attempt when its response has begun (answered) or it has failed.
func (a *pendingAttempt) end(answered bool) {
	a.monitor.mu.Lock()
	delete(a.monitor.pending, a)
	a.monitor.mu.Unlock()
	if answered {
		a.monitor.lastResponse.Store(time.Now().UnixNano())
	} else if a.cancel != nil {
		a.cancel(nil)
	}
}

// needsProbe reports whether the dispatcher has pending attempts or is unresponsive,
// and has not responded for probeAfter.
func (m *dispatcherMonitor) needsProbe(now time.Time) bool {
	if now.Sub(time.Unix(0, m.lastResponse.Load())) < probeAfter {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.pending) > 0 || m.unresponsive.Load()
}

// probe sends one health probe and updates the state. A refused connection does not
// count as a failed probe: the process has ended, so that its connections are closed
// and the pending attempts fail without help.
func (m *dispatcherMonitor) probe(ctx context.Context) {
	defer m.probing.Store(false)
	failure := m.sendProbe(ctx)
	if failure == nil || errors.Is(failure, syscall.ECONNREFUSED) {
		m.failedProbes = 0
		m.unresponsive.Store(false)
		m.lastResponse.Store(time.Now().UnixNano())
		return
	}
	m.failedProbes++
	if m.failedProbes >= unresponsiveAfterProbes {
		m.unresponsive.Store(true)
		m.cancelPending()
	}
}

func (m *dispatcherMonitor) sendProbe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(wire.PathHealth)
	request.Header.SetHost("dispatcher")
	exchange, failure := m.probes.Do(ctx, request, response)
	if failure != nil {
		return failure
	}
	return exchange.Close()
}

// cancelPending cancels the pending attempts whose requests may be sent again.
func (m *dispatcherMonitor) cancelPending() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for a := range m.pending {
		if a.cancel != nil {
			a.cancel(errUnresponsive)
		}
	}
}
