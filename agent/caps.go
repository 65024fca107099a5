package agent

import (
	"kingcupwood.example/kingcupwood/agent/peer/usage"
	"kingcupwood.example/kingcupwood/pkg/usagecap"
)

// usageCaps returns the usage caps of client accounts, which exchange messages over the socket of the probes.
func (d *Daemon) usageCaps() *usage.Caps {
	u := d.settings.UsageCaps
	caps := usage.New(usage.Config{
		Instance: d.settings.Daemon.Instance,
		Bounds:   usagecap.Bounds{Window: u.Window, Excess: u.Excess, Slack: float64(u.Slack)},
		Members:  d.prober, Known: d.knownDaemons, Snapshot: d.store.Load, Log: d.log,
	})
	d.prober.HandleOther(caps.Handle)
	return caps
}

// knownDaemons returns a lower bound of the number of daemons. Without a directory, a daemon that is ready without
// other members is the only one.
func (d *Daemon) knownDaemons() int {
	if d.adapter == nil && d.follower.Ready() {
		return 1
	}
	return d.follower.ListedDaemons()
}
