package event

import "go.uber.org/zap/zapcore"

// Each part of the system has its own range of event numbers: 1000 process start and stop, 2000
// request path, 3000 backend server, 4100 probes, 4200 membership, 4300 calls between daemons, 5000
// configuration and distribution, 6000 platform, 7000 administration API, 8000 stand-ins.

// Events of the start and stop of a process.
var (
	DaemonStarted  = Event{1001, zapcore.InfoLevel, "daemon started"}
	DaemonStopping = Event{1002, zapcore.InfoLevel, "daemon stopping"}
	DaemonStopped  = Event{1003, zapcore.InfoLevel, "daemon stopped"}
	ProcessFailed  = Event{1004, zapcore.ErrorLevel, "process failed"}
)
