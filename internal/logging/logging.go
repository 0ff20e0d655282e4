// Package logging makes the daemon's logger: JSON lines, bounded in number for
// each kind of line, and written by a goroutine of their own, so that a reader
// that is slow or gone costs lines and never time.
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
	waitingLines  = 4096        // lines that wait for the reader; more are dropped
	samplePeriod  = time.Second // lines of one kind are counted over this time
	linesOfAKind  = 200         // lines of one kind that are written in that time
	summaryPeriod = 5 * time.Second
)

// Logger is a zap logger with what it dropped.
type Logger struct {
	*zap.Logger
	writer *writer
	bound  atomic.Uint64
	stop   chan struct{}
}

// New returns a logger of a level's lines and above.
func New(level string, out io.Writer) (*Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log_level")
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	l := &Logger{writer: newWriter(out), stop: make(chan struct{})}
	core := zapcore.Core(plainErrors{zapcore.NewCore(zapcore.NewJSONEncoder(encoding), l.writer, parsed)})
	sampled := zapcore.NewSamplerWithOptions(core, samplePeriod, linesOfAKind, 0, zapcore.SamplerHook(l.sampled))
	l.Logger = zap.New(sampled)
	go l.summarize(zap.New(core))
	return l, nil
}

// plainErrors writes errors as their text, without the stacks that they carry.
type plainErrors struct{ zapcore.Core }

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(plain(fields))}
}

// Check implements zapcore.Core.
func (c plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, plain(fields))
}

func plain(fields []zapcore.Field) []zapcore.Field {
	for i, field := range fields {
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			fields[i] = zap.String(field.Key, err.Error())
		}
	}
	return fields
}

func (l *Logger) sampled(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		l.bound.Add(1)
	}
}

// Dropped returns the lines that were not written: those above the bound of
// their kind, and those for which the reader was too slow.
func (l *Logger) Dropped() (bound, slow uint64) { return l.bound.Load(), l.writer.dropped.Load() }

// summarize says now and then how many lines were dropped.
func (l *Logger) summarize(out *zap.Logger) {
	ticker := time.NewTicker(summaryPeriod)
	defer ticker.Stop()
	var saidBound, saidSlow uint64
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		bound, slow := l.Dropped()
		if bound != saidBound || slow != saidSlow {
			out.Warn("log lines dropped", zap.Uint64("over_bound", bound-saidBound), zap.Uint64("slow_reader", slow-saidSlow))
			saidBound, saidSlow = bound, slow
		}
	}
}

// Close writes the lines that wait, for a short time.
func (l *Logger) Close() {
	close(l.stop)
	l.writer.close()
}

// writer hands lines to a goroutine.
type writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

const closeWait = 200 * time.Millisecond // time for the waiting lines at the end

func newWriter(out io.Writer) *writer {
	w := &writer{out: out, lines: make(chan []byte, waitingLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks.
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

func (w *writer) close() {
	select {
	case w.lines <- nil:
	default:
		return
	}
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}
