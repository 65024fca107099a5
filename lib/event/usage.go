package event

import "go.uber.org/zap/zapcore"

// Events of the usage caps of client accounts.
var (
	UsageMalformed        = Event{4110, zapcore.WarnLevel, "message about usage caps is not usable and was ignored"}
	UsageShareChanged     = Event{4111, zapcore.InfoLevel, "share of the usage caps that this daemon lends changed"}
	UsageBucketsDiscarded = Event{4112, zapcore.InfoLevel, "usage counts discarded after a pause of this daemon"}
	UsageOwnerChanged     = Event{4113, zapcore.DebugLevel, "usage cap of an account has another owner"}
	UsageOwnerAbsent      = Event{4114, zapcore.WarnLevel, "owner of a usage cap does not answer"}
)
