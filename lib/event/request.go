package event

import "go.uber.org/zap/zapcore"

// Events of single requests of callers.
var (
	RequestEnded    = Event{2001, zapcore.InfoLevel, "request ended"}
	RequestRefused  = Event{2002, zapcore.InfoLevel, "request refused by admission control"}
	RequestUnrouted = Event{2003, zapcore.InfoLevel, "request without a route or a configuration"}
)
