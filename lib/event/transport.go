package event

import "go.uber.org/zap/zapcore"

// Events of the backend server and of the calls between daemons.
var (
	BackendAnnounced  = Event{3001, zapcore.InfoLevel, "backend server announced a new state"}
	BackendGone       = Event{3002, zapcore.WarnLevel, "backend server is gone"}
	BackendConnFailed = Event{3003, zapcore.WarnLevel, "cannot open a connection to the backend server"}
	AnnounceRejected  = Event{3004, zapcore.WarnLevel, "announcement rejected"}
	WaitingRefused    = Event{3005, zapcore.InfoLevel, "waiting requests refused because the backend server takes no new ones"}
	// DepartureUnknown and DepartureNotRecorded report that the platform cannot be reached for the
	// departures of the backend server.
	DepartureUnknown     = Event{3006, zapcore.WarnLevel, "cannot read the last departure of a backend server"}
	DepartureNotRecorded = Event{3007, zapcore.WarnLevel, "departure of the backend server not confirmed because it cannot be recorded"}
	BadResponse          = Event{3008, zapcore.WarnLevel, "response of the backend server has no valid status"}
	DepartureNoted       = Event{3009, zapcore.InfoLevel, "departure of a backend server noted"}
	DepartedIgnored      = Event{3010, zapcore.InfoLevel, "announcement ignored because its backend server has left"}
	DepartureRefuted     = Event{3011, zapcore.WarnLevel, "backend server in use again because its announcements went on after its departure"}
	AnnounceUncovered    = Event{3012, zapcore.WarnLevel, "backend server in use again although an announcement that has expired seems to be newer"}

	CallConnRejected   = Event{4301, zapcore.WarnLevel, "call connection closed because of a protocol error"}
	CallConnLimit      = Event{4302, zapcore.WarnLevel, "call connection refused at the connection limit"}
	CallAttemptRefused = Event{4303, zapcore.WarnLevel, "attempt refused because it is fenced or a duplicate"}
	CallResponseLost   = Event{4304, zapcore.DebugLevel, "response could not be delivered to the sending daemon"}
	CallFenceFailed    = Event{4305, zapcore.WarnLevel, "fence got no answer"}

	// Events of the stand-in backend server.
	StandinBackendStarted  = Event{8101, zapcore.InfoLevel, "stand-in backend server started"}
	StandinBackendDraining = Event{8102, zapcore.InfoLevel, "stand-in backend server is draining"}
	StandinBackendStopped  = Event{8103, zapcore.InfoLevel, "stand-in backend server stopped"}
	StandinAnnounceFailed  = Event{8104, zapcore.WarnLevel, "stand-in backend server cannot announce itself"}
)
