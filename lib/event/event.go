// Package event defines the numbered log events of kingcupwood. Every log line of a daemon carries
// one event, so that operators can look it up in docs/events.md and alert on the number.
package event

import (
	"io"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

// ID is the number of a log event. A number is never reused for another meaning.
type ID int

// Event is one entry of the catalogue.
type Event struct {
	ID    ID
	Level zapcore.Level
	// Text is the constant message of the event; details go into fields.
	Text string
}

const (
	// requestLines and requestBurst bound the lines about single requests of a process, per second and
	// at a time. A line has some 400 bytes, so they are 20 kB/s at most.
	requestLines = 50
	requestBurst = 200
	// sampledEvery is the number of requests that ended well for each of them that is logged.
	sampledEvery = 200
)

// Logger writes numbered events.
type Logger struct {
	zap    *zap.Logger
	writer *writer
	// requests bounds the lines about single requests; skipped counts those that were left out, sampled
	// the requests that ended well.
	requests *rate.Limiter
	counts   *counts
}

type counts struct{ skipped, sampled atomic.Uint64 }

// NewLogger returns a Logger that writes JSON lines to standard output without ever waiting for it.
func NewLogger(level zapcore.Level) *Logger { return newLogger(level, os.Stdout) }

func newLogger(level zapcore.Level, out io.Writer) *Logger {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = encodeTime
	w := newWriter(out)
	l := Wrap(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), w, level)))
	l.writer = w
	return l
}

// LogRequest writes an event about a single request. Those about requests that ended well are sampled, and all
// together are bounded; what is left out is counted.
func (l *Logger) LogRequest(e Event, endedWell bool, fields func() []zap.Field) {
	if l.zap.Core().Enabled(e.Level) {
		if endedWell && l.counts.sampled.Add(1)%sampledEvery != 0 {
			return
		}
		if !l.requests.Allow() {
			l.counts.skipped.Add(1)
			return
		}
		l.Log(e, fields()...)
	}
}

// Dropped returns the lines that were left out: about requests because of the limit, and any because the
// output did not take them.
func (l *Logger) Dropped() (limited, blocked uint64) {
	if l.writer != nil {
		blocked = l.writer.dropped.Load()
	}
	return l.counts.skipped.Load(), blocked
}

// encodeTime writes the time in UTC with milliseconds, so that the lines of many instances can be
// compared by eye.
func encodeTime(t time.Time, encoder zapcore.PrimitiveArrayEncoder) {
	encoder.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z"))
}

// Nop returns a Logger that drops everything.
func Nop() *Logger { return Wrap(zap.NewNop()) }

// Wrap returns a Logger that writes to base.
func Wrap(base *zap.Logger) *Logger {
	return &Logger{zap: base, requests: rate.NewLimiter(requestLines, requestBurst), counts: &counts{}}
}

// With returns a Logger that adds fields to every event.
func (l *Logger) With(fields ...zap.Field) *Logger {
	with := *l
	with.zap = l.zap.With(fields...)
	return &with
}

// Log writes e with fields.
func (l *Logger) Log(e Event, fields ...zap.Field) {
	entry := l.zap.Check(e.Level, e.Text)
	if entry == nil {
		return
	}
	for n, f := range fields {
		fields[n] = withoutStack(f)
	}
	entry.Write(append(fields, zap.Int("event", int(e.ID)))...)
}

// withoutStack replaces an error field by its message. zap would add the stack that pkg/errors
// records, several kilobytes for each line.
func withoutStack(f zap.Field) zap.Field {
	if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
		return zap.String(f.Key, err.Error())
	}
	return f
}

// Sync flushes buffered log lines.
func (l *Logger) Sync() { _ = l.zap.Sync() }
