package event

import "go.uber.org/zap/zapcore"

// Events of single requests of callers.
var (
	RequestEnded    = Event{2001, zapcore.InfoLevel, "request ended"}
	RequestRefused  = Event{2002, zapcore.InfoLevel, "request refused by admission control"}
	RequestUnrouted = Event{2003, zapcore.InfoLevel, "request without a route or a configuration"}
	RequestRejected = Event{2004, zapcore.InfoLevel, "request rejected by a check of this daemon"}
	KeyRefused      = Event{2006, zapcore.InfoLevel, "request refused because its caller is not authenticated"}
	KeyWithdrawn    = Event{2007, zapcore.InfoLevel, "API key was withdrawn while a request with it waited"}
	AccountsChanged = Event{2008, zapcore.InfoLevel, "client accounts changed"}
	RequestUnparsed = Event{2005, zapcore.InfoLevel, "request rejected by the HTTP parser"}
)
