// Package logging creates the daemon's logger. It writes JSON lines, limits the rate of
// lines with the same level and message, and writes them on a separate goroutine, so that
// a slow or closed output loses lines but never blocks the daemon.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	queueCapacity   = 4096            // lines that wait to be written; more are dropped
	samplePeriod    = time.Second     // period over which maxLinesPerKind applies
	maxLinesPerKind = 200             // lines with the same level and message that are written per period
	summaryPeriod   = 5 * time.Second // interval between log lines that report dropped lines
)

// Logger is a zap logger that counts the lines it drops.
type Logger struct {
	*zap.Logger
	writer    *writer
	overLimit atomic.Uint64 // lines dropped above maxLinesPerKind
	stop      chan struct{}
}

// New returns a logger that writes lines of the given level and above to out. Close must
// be called at the end.
func New(level string, out io.Writer) (*Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log_level")
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	l := &Logger{writer: newWriter(out), stop: make(chan struct{})}
	core := zapcore.Core(stacklessCore{zapcore.NewCore(zapcore.NewJSONEncoder(encoding), l.writer, parsed)})
	sampled := zapcore.NewSamplerWithOptions(core, samplePeriod, maxLinesPerKind, 0, zapcore.SamplerHook(l.countOverLimit))
	l.Logger = zap.New(sampled)
	go l.summarize(zap.New(core))
	return l, nil
}

// stacklessCore encodes errors as their message only, without the stack traces that
// pkg/errors attaches.
type stacklessCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (c stacklessCore) With(fields []zapcore.Field) zapcore.Core {
	return stacklessCore{c.Core.With(withoutStacks(fields))}
}

// Check implements zapcore.Core.
func (c stacklessCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c stacklessCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, withoutStacks(fields))
}

func withoutStacks(fields []zapcore.Field) []zapcore.Field {
	for i, field := range fields {
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			fields[i] = zap.String(field.Key, err.Error())
		}
	}
	return fields
}

func (l *Logger) countOverLimit(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		l.overLimit.Add(1)
	}
}

// Dropped returns the numbers of lines that were not written: those above
// maxLinesPerKind, and those that found the queue full or whose write failed.
func (l *Logger) Dropped() (overLimit, slowOutput uint64) {
	return l.overLimit.Load(), l.writer.dropped.Load()
}

// summarize logs every summaryPeriod how many lines were dropped since the last report.
func (l *Logger) summarize(out *zap.Logger) {
	ticker := time.NewTicker(summaryPeriod)
	defer ticker.Stop()
	var reportedOverLimit, reportedSlowOutput uint64
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		overLimit, slowOutput := l.Dropped()
		if overLimit != reportedOverLimit || slowOutput != reportedSlowOutput {
			out.Warn("log lines dropped", zap.Uint64("over_bound", overLimit-reportedOverLimit), zap.Uint64("slow_reader", slowOutput-reportedSlowOutput))
			reportedOverLimit, reportedSlowOutput = overLimit, slowOutput
		}
	}
}

// Close writes the queued lines, for at most closeTimeout. It must be called once.
func (l *Logger) Close() {
	close(l.stop)
	l.writer.close()
}

// writer queues lines for a goroutine that writes them to out.
type writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64 // lines that found the queue full or whose write failed
	done    chan struct{}
}

const closeTimeout = 200 * time.Millisecond // bound on writing the queued lines at the end

func newWriter(out io.Writer) *writer {
	w := &writer{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks: when the queue is full, it drops the line.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *writer) Sync() error { return nil }

// run writes the queued lines until it receives nil, which close sends.
func (w *writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// close ends run after the queued lines, unless the queue is full, which means that the
// output does not accept lines.
func (w *writer) close() {
	select {
	case w.lines <- nil:
	default:
		return
	}
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
