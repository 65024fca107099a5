package event

import "go.uber.org/zap/zapcore"

// Events of the stop of a daemon.
var (
	DrainIncomplete = Event{1005, zapcore.WarnLevel, "requests in flight did not finish within the stop time"}
	KeysHandedOver  = Event{1006, zapcore.InfoLevel, "idempotency keys handed over"}
	KeysMoved       = Event{1007, zapcore.InfoLevel, "idempotency keys moved to another daemon"}
)
