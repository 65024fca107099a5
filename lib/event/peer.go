package event

import "go.uber.org/zap/zapcore"

// Events of the probes, the membership and the distribution of configurations between daemons.
var (
	ProbeReceiveFailed  = Event{4101, zapcore.WarnLevel, "probe socket: receiving failed"}
	ProbeSendFailed     = Event{4102, zapcore.DebugLevel, "probe socket: sending failed"}
	DomainReachability  = Event{4103, zapcore.WarnLevel, "reachability of a failure domain changed"}
	ProbeRejected       = Event{4104, zapcore.WarnLevel, "probe refused by its authentication"}
	ProbeMalformed      = Event{4105, zapcore.WarnLevel, "part of a probe is not usable and was ignored"}
	PeerJoined          = Event{4201, zapcore.InfoLevel, "joined the membership"}
	PeerJoinFailed      = Event{4202, zapcore.WarnLevel, "joining the membership failed, will be retried"}
	AntiEntropyFailed   = Event{4203, zapcore.DebugLevel, "anti-entropy exchange with a member failed"}
	VersionApplied      = Event{5101, zapcore.InfoLevel, "configuration version is in force"}
	VersionRefused      = Event{5102, zapcore.ErrorLevel, "configuration version was refused"}
	VersionFloorKnown   = Event{5103, zapcore.InfoLevel, "version floor determined"}
	VersionFloorUnknown = Event{5104, zapcore.WarnLevel, "version floor unknown, nobody answered"}
	DomainLeaseAcquired = Event{5105, zapcore.InfoLevel, "lease of the failure domain acquired"}
	DomainLeaseLost     = Event{5106, zapcore.WarnLevel, "lease of the failure domain lost"}
	ParentFailed        = Event{5107, zapcore.DebugLevel, "long poll at the parent failed, trying the next one"}
	SourceLost          = Event{5109, zapcore.WarnLevel, "source of the configuration does not answer"}
	SourceRegained      = Event{5110, zapcore.InfoLevel, "source of the configuration answers again"}
	ProvidersChanged    = Event{5111, zapcore.InfoLevel, "daemons from which new versions are expected have changed"}
	QuestionFailed      = Event{5112, zapcore.WarnLevel, "question for a new version failed"}
	DirectoryFailed     = Event{4204, zapcore.WarnLevel, "directory of the daemons does not answer, will be retried"}
	EntriesSkipped      = Event{4205, zapcore.WarnLevel, "entries that name no daemon were passed over"}
	StaleEntryRemoved   = Event{4206, zapcore.InfoLevel, "entry of a daemon that is gone removed from the directory"}
	HeadReadFailed      = Event{5108, zapcore.WarnLevel, "reading the head from the platform failed"}
)
