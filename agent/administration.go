package agent

import (
	"net/http"

	"kingcupwood.example/kingcupwood/agent/operator"
	"kingcupwood.example/kingcupwood/agent/store"
	"kingcupwood.example/kingcupwood/pkg/endpoint"
	"kingcupwood.example/kingcupwood/pkg/snapshot"
)

// administration returns the administration API of this daemon.
func (d *Daemon) administration() http.Handler {
	if d.adapter != nil {
		return d.metricsHandler()
	}
	return operator.New(operator.Config{Platform: d.platform, Daemon: daemonState{d}, Burn: burnReport{d.burn}}, d.log)
}

// daemonState provides the state of a daemon to the administration API.
type daemonState struct{ d *Daemon }

// Snapshot implements operator.Daemon.
func (s daemonState) Snapshot() *snapshot.Snapshot { return s.d.store.Load() }

// Endpoints implements operator.Daemon.
func (s daemonState) Endpoints() *endpoint.View { return s.d.prober.View() }

// LastRefused implements operator.Daemon.
func (s daemonState) LastRefused() (operator.Refusal, bool) {
	refusals := s.d.follower.Refusals()
	if len(refusals) == 0 {
		return operator.Refusal{}, false
	}
	last := refusals[len(refusals)-1]
	return operator.Refusal{Version: last.Version, Reason: last.Reason, At: last.Time}, true
}

// committed applies a version that was accepted through this daemon. It is distributed from here
// even if the platform fails before a lease holder has read it.
func (d *Daemon) committed(c store.Content) {
	// The follower logs and reports a refusal; the version remains accepted.
	_ = d.follower.ApplyAccepted(&c.Manifest, c.Hash, c.Objects)
}
