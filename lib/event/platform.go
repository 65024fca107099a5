package event

import "go.uber.org/zap/zapcore"

// Events of the client of the table service and the object store, of the administration API and of
// the platform stand-in.
var (
	PlatformReadRetried      = Event{6001, zapcore.DebugLevel, "platform read failed; retrying after a delay"}
	PlatformUnavailable      = Event{6002, zapcore.WarnLevel, "platform did not answer within the retry limit"}
	PlatformWriteAmbiguous   = Event{6003, zapcore.InfoLevel, "platform write has an unknown outcome; reading back its token"}
	PlatformWriteResolved    = Event{6004, zapcore.InfoLevel, "platform write with a lost response took effect"}
	ConfigurationAccepted    = Event{6005, zapcore.InfoLevel, "configuration accepted"}
	ConfigurationConflict    = Event{6006, zapcore.InfoLevel, "configuration not accepted; another change came first"}
	ConfigurationUnknown     = Event{6007, zapcore.WarnLevel, "outcome of a configuration change is not known yet"}
	ConfigurationInvalid     = Event{6008, zapcore.InfoLevel, "configuration refused as invalid"}
	LeaseAcquired            = Event{6009, zapcore.InfoLevel, "lease acquired"}
	LeaseLost                = Event{6010, zapcore.WarnLevel, "lease lost to another holder"}
	LeaseReleased            = Event{6011, zapcore.InfoLevel, "lease released"}
	RolloutOrdered           = Event{6020, zapcore.InfoLevel, "roll-out ordered"}
	RolloutStarted           = Event{6021, zapcore.InfoLevel, "roll-out started or taken over"}
	RolloutAdvanced          = Event{6022, zapcore.InfoLevel, "roll-out advanced"}
	RolloutRolledBack        = Event{6023, zapcore.WarnLevel, "roll-out rolled back"}
	RolloutCompleted         = Event{6024, zapcore.InfoLevel, "roll-out completed"}
	RolloutLeaseAcquired     = Event{6025, zapcore.InfoLevel, "lease of the roll-outs acquired"}
	RolloutLeaseLost         = Event{6026, zapcore.WarnLevel, "lease of the roll-outs lost"}
	RolloutStoreFailed       = Event{6027, zapcore.WarnLevel, "store failed during a roll-out"}
	RolloutOrderUnreadable   = Event{6028, zapcore.WarnLevel, "order of a roll-out is not readable and was ignored"}
	RolloutRefusing          = Event{6029, zapcore.InfoLevel, "requests for the version of this server are refused or accepted again"}
	StoreRestored            = Event{6030, zapcore.WarnLevel, "platform store was restored from an older copy"}
	RowsRewritten            = Event{6031, zapcore.InfoLevel, "rows of this daemon are in the restored store again"}
	RewriteFailed            = Event{6032, zapcore.WarnLevel, "writing rows again after a restore failed, will be retried"}
	FloorRecorded            = Event{6033, zapcore.InfoLevel, "version floor written to the restored store"}
	FloorLost                = Event{6034, zapcore.InfoLevel, "restored store may lack a version that was in force, asking members"}
	AdministrationRefused    = Event{7001, zapcore.InfoLevel, "administration request refused"}
	AdministrationServed     = Event{7002, zapcore.DebugLevel, "administration request served"}
	StandinPlatformListening = Event{8001, zapcore.InfoLevel, "platform stand-in listening"}
	StandinFaultInjected     = Event{8002, zapcore.InfoLevel, "platform stand-in fault injected"}
	StandinPlatformStopped   = Event{8003, zapcore.InfoLevel, "platform stand-in stopped"}
)
