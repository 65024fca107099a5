// Package event defines the numbered log events of kingcupwood. Every log line of a daemon has the
// number of one event, so that operators can look it up in docs/events.md and alert on it.
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
	// requestLinesPerSecond and requestLinesBurst limit the log lines about single requests of a
	// process. A line has about 400 bytes, so a sustained rate of lines is at most 20 kB/s.
	requestLinesPerSecond = 50
	requestLinesBurst     = 200
	// rejectionLinesPerSecond and rejectionLinesBurst limit the lines about requests that a check of the
	// process rejected. They have a limit of their own because they are rare and final for the caller,
	// and an overload would use up the limit above.
	rejectionLinesPerSecond = 10
	rejectionLinesBurst     = 50
	// sampleInterval is the number of routine request events for each one that is logged.
	sampleInterval = 200
)

// Logger writes numbered events.
type Logger struct {
	zap    *zap.Logger
	writer *writer
	// requests limits the rate of lines about single requests.
	requests *rate.Limiter
	// rejections limits the rate of lines about rejected requests.
	rejections *rate.Limiter
	counts     *counts
}

// counts has the lines about requests dropped by the rate limit, and the routine request events
// before sampling. Loggers derived with With share it.
type counts struct{ limited, routine atomic.Uint64 }

// NewLogger returns a Logger that writes JSON lines to standard output and never blocks on it.
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

// LogRequest writes an event about a single request. Events with a routine outcome, such as a
// success, are sampled, and the rate of all request events together is limited. Lines dropped by
// the limit are counted.
func (l *Logger) LogRequest(e Event, routine bool, fields func() []zap.Field) {
	if l.zap.Core().Enabled(e.Level) {
		if routine && l.counts.routine.Add(1)%sampleInterval != 0 {
			return
		}
		if !l.requests.Allow() {
			l.counts.limited.Add(1)
			return
		}
		l.Log(e, fields()...)
	}
}

// LogRejection writes an event about a single request that a check of this process rejected. It is
// never sampled, and only the rate of such events is limited. Lines dropped by the limit are counted.
func (l *Logger) LogRejection(e Event, fields func() []zap.Field) {
	if !l.zap.Core().Enabled(e.Level) {
		return
	}
	if !l.rejections.Allow() {
		l.counts.limited.Add(1)
		return
	}
	l.Log(e, fields()...)
}

// Dropped returns the numbers of dropped lines: limited counts lines about requests dropped by the
// rate limit, and blocked counts lines of any kind dropped because the output was blocked or they
// were too long.
func (l *Logger) Dropped() (limited, blocked uint64) {
	if l.writer != nil {
		blocked = l.writer.dropped.Load()
	}
	return l.counts.limited.Load(), blocked
}

// encodeTime writes the time in UTC with milliseconds, so that people can compare the lines of many
// instances.
func encodeTime(t time.Time, encoder zapcore.PrimitiveArrayEncoder) {
	encoder.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z"))
}

// Nop returns a Logger that discards all events.
func Nop() *Logger { return Wrap(zap.NewNop()) }

// Wrap returns a Logger that writes to base.
func Wrap(base *zap.Logger) *Logger {
	return &Logger{
		zap: base, counts: &counts{},
		requests:   rate.NewLimiter(requestLinesPerSecond, requestLinesBurst),
		rejections: rate.NewLimiter(rejectionLinesPerSecond, rejectionLinesBurst),
	}
}

// With returns a Logger that adds fields to every event.
func (l *Logger) With(fields ...zap.Field) *Logger {
	with := *l
	with.zap = l.zap.With(fields...)
	return &with
}

// Log writes e with fields.
func (l *Logger) Log(e Event, fields ...zap.Field) {
	checked := l.zap.Check(e.Level, e.Text)
	if checked == nil {
		return
	}
	for n, f := range fields {
		fields[n] = withoutStack(f)
	}
	checked.Write(append(fields, zap.Int("event", int(e.ID)))...)
}

// withoutStack replaces an error field by the error's message. zap would otherwise add the stack
// trace recorded by pkg/errors, which is several kilobytes per line.
func withoutStack(f zap.Field) zap.Field {
	if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
		return zap.String(f.Key, err.Error())
	}
	return f
}

// Sync flushes buffered log lines.
func (l *Logger) Sync() { _ = l.zap.Sync() }
