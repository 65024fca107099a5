package rollout

import "time"

const (
	// judgeFrom and judgeBy are the parts of the duration between which a target is judged good. Later
	// faults show until then, and the rest of the duration suffices for the steps below.
	judgeFrom = 0.5
	judgeBy   = 0.55
	// enoughResponses is the number of responses of the target with which it is judged at judgeFrom.
	enoughResponses = 50
	// observeTarget is how long target servers must have been ready if they have not responded often.
	observeTarget = 2 * time.Second
	// rampStep is the time between two steps of the share. handoverAfter is the time at the full share
	// after which the old servers refuse: the full share is then known to the senders.
	rampStep      = 700 * time.Millisecond
	handoverAfter = 1200 * time.Millisecond
	// handoverReserve is the time before the end of the duration at which the roll-out is completed
	// although a daemon beside an old server has not reported that it is idle.
	handoverReserve = 500 * time.Millisecond
)

// rampShares are the shares after the judgement.
var rampShares = [...]int{250, 500, FullShare}

// Observation is what the coordinator knows at one time.
type Observation struct {
	// Age is the time since the order, Duration the time within which it is to be carried out.
	Age, Duration time.Duration
	// Bad means that the target is worse than the old version.
	Bad bool
	// CanaryShare is the share before the judgement.
	CanaryShare int
	// TargetReady is the number of ready target servers, TargetReadyFor how long there have been some.
	TargetReady    int
	TargetReadyFor time.Duration
	// Responses is the number of responses of the target.
	Responses uint64
	// OldIdle means that each reachable daemon beside a server of another version refuses requests and
	// has none in flight.
	OldIdle bool
	// MayAdvance means that no other daemon can be coordinator, so that the share may grow.
	MayAdvance bool
}

// Progress is the state of a roll-out at its coordinator.
type Progress struct {
	Phase Phase
	Share int
	// Since is the age of the order at the last change.
	Since time.Duration
}

// Next returns the progress after an observation. Phase Completed takes effect only when the store has
// recorded it; RolledBack takes effect at once.
func (p Progress) Next(o *Observation) Progress {
	if p.Phase.Final() {
		return p
	}
	// Without servers of the target nothing can be completed. In the handover, the old servers are needed
	// again at once.
	noTarget := o.TargetReady == 0 && (o.Age >= o.Duration || p.Phase == Handover)
	neverReady := p.Phase == Canary && o.Age >= o.Duration && !o.observed()
	if o.Bad || noTarget || neverReady {
		return Progress{Phase: RolledBack, Since: o.Age}
	}
	if !o.MayAdvance {
		return p
	}
	switch p.Phase {
	case Canary:
		return p.judge(o)
	case Ramp:
		return p.ramp(o)
	case Handover:
		if o.OldIdle || o.Age >= o.Duration-handoverReserve {
			return Progress{Phase: Completed, Share: FullShare, Since: o.Age}
		}
		return p
	}
	return Progress{Phase: Canary, Share: o.CanaryShare, Since: o.Age}
}

// observed reports whether there have been target servers for long enough to judge them.
func (o *Observation) observed() bool {
	return o.Responses >= enoughResponses || o.TargetReady > 0 && o.TargetReadyFor >= observeTarget
}

func (p Progress) judge(o *Observation) Progress {
	part := float64(o.Age) / float64(max(o.Duration, 1))
	if part >= judgeBy && o.observed() || part >= judgeFrom && o.Responses >= enoughResponses {
		return Progress{Phase: Ramp, Share: rampShares[0], Since: o.Age}
	}
	return p
}

func (p Progress) ramp(o *Observation) Progress {
	if o.TargetReady == 0 {
		return p
	}
	for _, share := range rampShares {
		if share > p.Share && o.Age-p.Since >= rampStep {
			return Progress{Phase: Ramp, Share: share, Since: o.Age}
		}
	}
	if p.Share == FullShare && o.Age-p.Since >= handoverAfter {
		return Progress{Phase: Handover, Share: FullShare, Since: o.Age}
	}
	return p
}
