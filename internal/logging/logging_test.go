package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/chicorylug/chicorylug/internal/logging"
)

// buffer is an output whose writes block until unblock is closed, if it is set.
type buffer struct {
	mu      sync.Mutex
	text    bytes.Buffer
	unblock chan struct{}
}

func (b *buffer) Write(p []byte) (int, error) {
	if b.unblock != nil {
		<-b.unblock
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func TestErrorsAreWrittenWithoutStacks(t *testing.T) {
	out := &buffer{}
	log, err := logging.New("info", out)
	must.NoError(t, err)
	log.Info("kind", zap.Error(errors.New("cause")))
	log.Close()
	must.StrContains(t, out.String(), `"error":"cause"`)
	must.StrNotContains(t, out.String(), "errorVerbose")
}

func TestLinesWithOneMessageAreRateLimited(t *testing.T) {
	out := &buffer{}
	log, err := logging.New("info", out)
	must.NoError(t, err)
	for range 5000 {
		log.Info("flood")
	}
	log.Info("other")
	log.Close()
	must.StrContains(t, out.String(), "other")
	must.Less(t, 1000, strings.Count(out.String(), "flood"))
	overLimit, _ := log.Dropped()
	must.Greater(t, 4000, overLimit)
}

func TestBlockedOutputNeverBlocksLogging(t *testing.T) {
	out := &buffer{unblock: make(chan struct{})}
	log, err := logging.New("info", out)
	must.NoError(t, err)
	done := make(chan struct{})
	go func() {
		for i := range 20_000 {
			log.Info(strings.Repeat("x", i%200))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked")
	}
	close(out.unblock)
	log.Close()
}
