package event

import "go.uber.org/zap/zapcore"

// Events of the shutdown of a daemon.
var (
	DrainIncomplete = Event{1005, zapcore.WarnLevel, "requests in flight did not finish within the stop time"}
	KeysHandedOver  = Event{1006, zapcore.InfoLevel, "idempotency keys handed over"}
	KeysMoved       = Event{1007, zapcore.InfoLevel, "idempotency keys moved to another daemon"}
)

// PanicContained reports a programming error that affected one message only.
var PanicContained = Event{1014, zapcore.ErrorLevel, "panic contained"}

// Events of the authentication between daemons and of the reload of its settings.
var (
	Unauthenticated     = Event{1008, zapcore.WarnLevel, "daemons are not authenticated to each other"}
	CredentialsReloaded = Event{1009, zapcore.InfoLevel, "changed key files are in use"}
	CredentialsRefused  = Event{1010, zapcore.ErrorLevel, "changed key files refused; the former ones stay in use"}
	SettingsReloaded    = Event{1012, zapcore.InfoLevel, "changed settings are in use"}
	SettingsRefused     = Event{1013, zapcore.ErrorLevel, "changed settings refused; the former ones stay in use"}
	CertificateExpires  = Event{1011, zapcore.WarnLevel, "certificate expires within 14 days"}
	PeerRefused         = Event{4306, zapcore.WarnLevel, "connection refused by its authentication"}
)
