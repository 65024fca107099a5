package agent

import (
	"time"

	"kingcupwood.example/kingcupwood/agent/rollouts"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
)

// buildRollouts creates the components of roll-outs if they are switched on.
func (d *Daemon) buildRollouts(self endpoint.InstanceID) {
	s := &d.settings.Rollouts
	if s.ExposureShare <= 0 || d.adapter == nil {
		return
	}
	d.versions = rollouts.NewTracker(rollouts.TrackerConfig{
		Instance: self, Log: d.log, Now: time.Now, Joined: d.follower.Joined,
		// Every deadline is after the zero time.
		RefuseWaiting: func() int { return d.receiver.admission.RefuseAfter(time.Time{}) },
	})
	d.receiver.versions = d.versions
	d.rollouts = rollouts.New(rollouts.Config{
		Instance: self, Store: d.adapter.Rollouts(), Tracker: d.versions, View: d.prober.View,
		Publish: d.record.setRollouts, Dial: d.dialPeer, Log: d.log, Now: time.Now,
		ExposureShare: s.ExposureShare, ExposureSlack: s.ExposureSlack, RollbackTime: s.RollbackTime,
	})
}

// updateSelection passes changes of the endpoints, and of the versions that get requests, to the
// selection.
func (d *Daemon) updateSelection(next, last *inputs) {
	if d.versions == nil {
		if next.view != last.view {
			d.selector.Update(next.view)
		}
		return
	}
	d.versions.Update(next.view, next.status.Service, next.status.Version)
	traffic, changes := d.versions.Traffic()
	next.traffic = changes
	if next.view != last.view || changes != last.traffic {
		d.selector.UpdateTraffic(next.view, traffic)
	}
	if next.bad = d.versions.BadOrder(); next.bad != last.bad {
		d.record.setRolloutBad(next.bad)
	}
}
