package rollouts

import (
	"time"

	"go.uber.org/zap"

	"kingcupwood.example/kingcupwood/lib/event"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/rollout"
)

// recentWindow is the time over which recent responses are judged beside all of them, since a fault may
// appear only later.
const recentWindow = 2 * time.Second

// formerDecision is the reason for a roll-back that a former coordinator has decided.
const formerDecision = "the former coordinator has decided so"

// run is one order and its roll-out. Coordinator.mu guards it.
type run struct {
	order  Order
	target string
	// seen is when the order was first seen, or earlier if its former coordinator has stated its age.
	seen time.Time
	// settled means that the store has the final state of the order, or that the order has been replaced.
	settled bool
	// written is the last state that the store has confirmed.
	written State
	// inForce means that the store had the state completed, perhaps before it was restored.
	inForce bool

	// active means that this daemon carries out the roll-out; the following fields are valid then.
	active   bool
	from     string
	canary   int
	progress rollout.Progress
	reason   string
	// ended is when the final phase was reached, zero before.
	ended time.Time
	// targetSince is when the first target server was seen ready, zero if none is.
	targetSince time.Time
	// polled is when the daemons were last asked; pushed means that they were told the final phase.
	polled time.Time
	pushed bool
	counts counts
}

// age returns the time since the order.
func (r *run) age(now time.Time) time.Duration { return now.Sub(r.seen) }

// isRepeatedBy reports whether o is the order of r as it was first seen after the store was restored from an
// older copy: it was in the copy, or the operator has written it again. It is then no new order.
func (r *run) isRepeatedBy(o *Order) bool {
	return eraOf(o.Number) > eraOf(r.order.Row) && o.Target == r.order.Target && o.Duration == r.order.Duration
}

// stop ends the part of this daemon in the roll-out.
func (r *run) stop() {
	r.active, r.pushed, r.progress, r.ended = false, false, rollout.Progress{}, time.Time{}
	r.counts = counts{}
}

// wanted returns the state that the store should have.
func (r *run) wanted() State {
	switch r.progress.Phase {
	case rollout.Completed:
		return Completed
	case rollout.RolledBack:
		return RolledBack
	}
	return Running
}

// entry returns what is published of the roll-out, and whether anything is. The target is in force only
// when the store has recorded that.
func (r *run) entry(token uint64) (rollout.Entry, bool) {
	e := rollout.Entry{
		Service: r.order.Service, From: r.from, Target: r.target, Order: r.order.Number, Token: token,
		Share: r.progress.Share, Phase: r.progress.Phase,
	}
	if e.Phase == rollout.Completed && !r.inForce {
		if e.Phase = rollout.Handover; r.from == r.target {
			return e, false // the order for the version in force has no handover
		}
	}
	return e, r.active && e.Phase > 0
}

// notified reports whether a daemon beside a target server has counted too many bad responses.
func (r *run) notified(view *endpoint.View) bool {
	if r.progress.Phase.Final() {
		return false
	}
	for _, record := range view.ByService[r.order.Service] {
		if record.RolloutBad == r.order.Number {
			return true
		}
	}
	return false
}

// advance starts or advances a roll-out; the caller holds c.mu and the lease.
func (c *Coordinator) advance(r *run, now time.Time) {
	last, base := c.cfg.Tracker.Entry(r.order.Service)
	switch {
	case r.settled:
		return
	case last.Order > r.order.Number:
		c.replace(r, now)
		return
	case last.Order == r.order.Number && last.Token > c.lease.token:
		c.stepDown("another coordinator has a later token")
		return
	case !r.active:
		c.start(r, &last, base, now)
		return
	case r.progress.Phase.Final():
		return
	case last.Order == r.order.Number && last.Phase == rollout.RolledBack:
		r.progress, r.reason = rollout.Progress{Phase: rollout.RolledBack, Since: r.age(now)}, formerDecision
		c.logProgress(r, now)
		return
	}
	o := c.observation(r, now)
	next := r.progress.Next(&o)
	if next == r.progress {
		return
	}
	if next.Share != r.progress.Share {
		r.counts.beginStep(now, next.Share)
	}
	r.progress = next
	c.logProgress(r, now)
}

// replace ends a roll-out whose order is no longer the newest one of the service.
func (c *Coordinator) replace(r *run, now time.Time) {
	r.settled, r.ended = true, now
	if r.active && !r.progress.Phase.Final() {
		r.progress, r.reason = rollout.Progress{Phase: rollout.RolledBack, Since: r.age(now)}, "the order was replaced or withdrawn"
		c.logProgress(r, now)
	}
}

// start begins a roll-out, or continues it after another coordinator. It waits if the record has no room
// for a further entry.
func (c *Coordinator) start(r *run, last *rollout.Entry, base string, now time.Time) {
	r.from = base
	view := c.cfg.View()
	if last.Phase.Final() && last.Target == r.target && eraOf(last.Order) < eraOf(r.order.Number) {
		r.order.Number = last.Order // this daemon sees the order for the first time, after a restore of the store
	}
	old, _ := r.servers(view)
	r.canary = rollout.CanaryShare(c.cfg.ExposureShare, c.cfg.ExposureSlack, len(view.Records), max(old, 1))
	switch {
	case last.Order == r.order.Number:
		r.from = last.From
		r.progress = rollout.Progress{Phase: last.Phase, Share: last.Share, Since: r.age(now)}
		switch last.Phase {
		case rollout.Completed:
			r.inForce = true // it was published only when the store had it
		case rollout.RolledBack:
			r.reason = formerDecision
		}
	case base == r.target:
		r.progress = rollout.Progress{Phase: rollout.Completed, Share: rollout.FullShare, Since: r.age(now)}
	default:
		r.progress = rollout.Progress{Phase: rollout.Canary, Share: r.canary, Since: r.age(now)}
	}
	r.active = true
	if !c.fits() {
		r.active = false
		return
	}
	c.cfg.Log.Log(event.RolloutStarted, zap.String("service", r.order.Service), zap.String("from", r.from), zap.String("target", r.order.Target),
		zap.Uint64("order", r.order.Number), zap.Uint64("token", c.lease.token), zap.Duration("age", r.age(now)),
		zap.Stringer("phase", r.progress.Phase), zap.Int("share", r.progress.Share))
	if r.progress.Phase.Final() {
		c.logProgress(r, now)
	}
}

// fits reports whether the record has room for the entries of all roll-outs in progress.
func (c *Coordinator) fits() bool {
	var entries []rollout.Entry
	for _, r := range c.runs {
		if e, ok := r.entry(c.lease.token); ok && r.ended.IsZero() {
			entries = append(entries, e)
		}
	}
	_, fitting := rollout.Encode(entries)
	return fitting == len(entries)
}

// servers returns the number of ready servers of other versions and of the target.
func (r *run) servers(view *endpoint.View) (old, target int) {
	for _, record := range view.ByService[r.order.Service] {
		switch {
		case record.State != endpoint.Ready || view.Unreachable[record.Domain]:
		case record.Version == r.target:
			target++
		default:
			old++
		}
	}
	return old, target
}

// observation returns what is known of a roll-out in progress.
func (c *Coordinator) observation(r *run, now time.Time) rollout.Observation {
	view := c.cfg.View()
	_, target := r.servers(view)
	switch {
	case target == 0:
		r.targetSince = time.Time{}
	case r.targetSince.IsZero():
		r.targetSince = now
	}
	o := rollout.Observation{
		Age: r.age(now), Duration: r.order.Duration, CanaryShare: r.canary, TargetReady: target,
		Responses: r.counts.target.Responses(), OldIdle: r.counts.oldIdle(r.target, view, r.order.Service),
		MayAdvance: now.Before(c.lease.validUntil),
	}
	if target > 0 {
		o.TargetReadyFor = now.Sub(r.targetSince)
	}
	if reason := r.counts.judge(now); reason != "" {
		o.Bad, r.reason = true, reason
	}
	return o
}

// logProgress logs and counts the last change of a roll-out.
func (c *Coordinator) logProgress(r *run, now time.Time) {
	fields := []zap.Field{
		zap.String("service", r.order.Service), zap.String("target", r.order.Target), zap.Uint64("order", r.order.Number),
		zap.Duration("age", r.age(now)), zap.Uint64("responses", r.counts.target.Responses()),
	}
	switch r.progress.Phase {
	case rollout.RolledBack:
		r.ended = now
		if r.reason == "" {
			r.reason = "there were no ready servers of the target version for long enough"
		}
		c.metrics.rolledBack.Add(1)
		c.cfg.Log.Log(event.RolloutRolledBack, append(fields, zap.String("reason", r.reason))...)
	case rollout.Completed:
		r.ended = now
		c.metrics.completed.Add(1)
		c.cfg.Log.Log(event.RolloutCompleted, append(fields, zap.Strings("not_idle", r.counts.notIdle))...)
	default:
		c.cfg.Log.Log(event.RolloutAdvanced, append(fields, zap.Stringer("phase", r.progress.Phase), zap.Int("share", r.progress.Share))...)
	}
}
