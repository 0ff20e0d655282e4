package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/wire"
)

// blockDispatcher makes the fake dispatcher answer nothing, health probes included,
// until release is called. Then the first request gets the response "late" and all
// others get "again".
func blockDispatcher(h *harness) (release func()) {
	released := make(chan struct{})
	h.respondWith(func(number int, req receivedRequest) string {
		if number == 1 {
			<-released
			return fixedResponse("late")
		}
		<-released
		return fixedResponse("again")
	})
	return func() { close(released) }
}

// awaitUnresponsive waits until the entry judges the fake dispatcher unresponsive.
func (h *harness) awaitUnresponsive() {
	for !h.dispatcherUnresponsive() {
		time.Sleep(checkPeriod)
	}
}

func (h *harness) dispatcherUnresponsive() bool {
	unresponsive := false
	h.entry.monitors.byAddress.each(func(m *dispatcherMonitor) { unresponsive = unresponsive || m.unresponsive.Load() })
	return unresponsive
}

func TestRequestIsSentAgainWhenDispatcherIsUnresponsive(t *testing.T) {
	h := startHarness(t)
	release := blockDispatcher(h)
	done := make(chan string)
	go func() { done <- string(h.send(t, get("/drafts/a")).body) }()
	h.awaitUnresponsive()
	release()
	must.Eq(t, "again", <-done)
	must.NotNil(t, h.entry.metrics.Map("retries").Get("dispatcher_lost"))
}

func TestAtMostOnceRequestWaitsForUnresponsiveDispatcher(t *testing.T) {
	h := startHarness(t)
	release := blockDispatcher(h)
	done := make(chan string)
	go func() {
		post := "POST /drafts/a HTTP/1.1\r\nHost: h\r\n" + wire.HeaderIdempotencyKey + ": k\r\nContent-Length: 0\r\n\r\n"
		done <- string(h.send(t, post).body)
	}()
	h.awaitUnresponsive()
	release()
	must.Eq(t, "late", <-done)
}
