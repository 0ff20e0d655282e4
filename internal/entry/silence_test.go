package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chicorylug/chicorylug/internal/wire"
)

// silentDispatcher answers nothing, questions included, until it is released.
// The request that waits for it then gets the late answer, others get "again".
func silentDispatcher(b *bench) (release func()) {
	released := make(chan struct{})
	b.answerWith(func(number int, g got) string {
		if number == 1 {
			<-released
			return fixed("late")
		}
		<-released
		return fixed("again")
	})
	return func() { close(released) }
}

func (b *bench) awaitSilence() {
	for !b.silent() {
		time.Sleep(lookPeriod)
	}
}

func (b *bench) silent() bool {
	silent := false
	b.entry.peers.byAddress.each(func(p *peer) { silent = silent || p.silent.Load() })
	return silent
}

func TestRequestLeavesADispatcherThatDoesNotAnswer(t *testing.T) {
	b := startBench(t)
	release := silentDispatcher(b)
	done := make(chan string)
	go func() { done <- string(b.send(t, get("/drafts/a")).body) }()
	b.awaitSilence()
	release()
	must.Eq(t, "again", <-done)
	must.NotNil(t, b.entry.metrics.Map("retries").Get("dispatcher_lost"))
}

func TestOnceRequestWaitsForASilentDispatcher(t *testing.T) {
	b := startBench(t)
	release := silentDispatcher(b)
	done := make(chan string)
	go func() {
		post := "POST /drafts/a HTTP/1.1\r\nHost: h\r\n" + wire.HeaderIdempotencyKey + ": k\r\nContent-Length: 0\r\n\r\n"
		done <- string(b.send(t, post).body)
	}()
	b.awaitSilence()
	release()
	must.Eq(t, "late", <-done)
}
