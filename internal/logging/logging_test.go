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

// buffer is a reader that may be slow.
type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
	hold chan struct{}
}

func (b *buffer) Write(p []byte) (int, error) {
	if b.hold != nil {
		<-b.hold
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

func TestLinesOfOneKindAreBounded(t *testing.T) {
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
	bound, _ := log.Dropped()
	must.Greater(t, 4000, bound)
}

func TestAReaderThatStandsStillNeverBlocks(t *testing.T) {
	out := &buffer{hold: make(chan struct{})}
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
	close(out.hold)
	log.Close()
}
