// Package event defines the numbered log events of kingcupwood. Every log line of a daemon carries
// one event, so that operators can look it up in docs/events.md and alert on the number.
package event

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
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

// Logger writes numbered events.
type Logger struct {
	zap *zap.Logger
}

// NewLogger returns a Logger that writes JSON lines to standard error.
func NewLogger(level zapcore.Level) (*Logger, error) {
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(level)
	config.Sampling = nil
	config.DisableStacktrace = true
	config.DisableCaller = true
	config.EncoderConfig.TimeKey = "time"
	config.EncoderConfig.EncodeTime = encodeTime
	base, err := config.Build()
	if err != nil {
		return nil, err
	}
	return &Logger{zap: base}, nil
}

// encodeTime writes the time in UTC with milliseconds, so that the lines of many instances can be
// compared by eye.
func encodeTime(t time.Time, encoder zapcore.PrimitiveArrayEncoder) {
	encoder.AppendString(t.UTC().Format("2006-01-02T15:04:05.000Z"))
}

// Nop returns a Logger that drops everything.
func Nop() *Logger { return &Logger{zap: zap.NewNop()} }

// Wrap returns a Logger that writes to base.
func Wrap(base *zap.Logger) *Logger { return &Logger{zap: base} }

// With returns a Logger that adds fields to every event.
func (l *Logger) With(fields ...zap.Field) *Logger {
	return &Logger{zap: l.zap.With(fields...)}
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
